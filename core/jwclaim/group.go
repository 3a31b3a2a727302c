package jwclaim

import "time"

type itemKind string

const (
	claimItem   itemKind = "claim"
	releaseItem itemKind = "release"
	lookItem    itemKind = "look" // reads only
)

// item is one wish of a slot's queue.
type item struct {
	kind    itemKind
	id      claimID
	key     keyHash
	call    *Call // claims only
	memory  time.Duration
	waiters int
	reads   uint64 // reads and writes of the slot begun before the item came
	// doubt says that a write with this row may have taken effect, on top of
	// the state at.
	doubt bool
	at    position
	// force writes a release even if its claim is not in the log: another
	// process, now gone, may still have the claim's write under way.
	force bool
	// set once resolved
	done   chan struct{}
	result itemResult
	other  claimed
	taken  bool // a waiter has got the right to run
}

type itemResult string

const (
	won      itemResult = "won"      // the claim is known to be written
	occupied itemResult = "occupied" // another claim holds the key
	free     itemResult = "free"     // nobody held the key at a moment since the item came
	unread   itemResult = "unread"   // the claims could not be read
)

// plan is one write: the items it settles and the rows they add.
type plan struct {
	read     bool // the store has to be read before anything can be decided
	items    []*item
	rows     []row
	releases map[claimID]bool // claims that these rows release
}

// plan resolves the items that need no write and gathers those that do. Only
// items that came before the cycle, when begun operations had begun, may ask for
// a read: presses of one claimed key could otherwise keep all others waiting.
func (s *slot) plan(begun uint64) plan {
	s.k.mu.Lock()
	defer s.k.mu.Unlock()
	now := s.k.now()
	p := plan{releases: map[claimID]bool{}}
	var kept []*item
	queue := s.queue
	for _, it := range queue {
		if len(p.items) == rowsMax {
			kept = append(kept, it)
			continue
		}
		switch s.judge(it, now, p.releases) {
		case judgeRead:
			p.read = p.read || it.reads <= begun
			kept = append(kept, it)
		case judgeWrite:
			p.items = append(p.items, it)
			p.rows = append(p.rows, it.row(now))
			if it.kind == releaseItem {
				p.releases[it.id] = true
			}
			kept = append(kept, it)
		case judgeDone:
		}
	}
	// A claim that is given back in this loop has added its release at the end.
	s.queue = append(kept, s.queue[len(queue):]...)
	return p
}

type judgement string

const (
	judgeDone  judgement = "done"
	judgeRead  judgement = "read"
	judgeWrite judgement = "write"
)

// judge decides one item by the view and the releases written before it in the
// same group, and resolves it where it can; k.mu is held.
func (s *slot) judge(it *item, now time.Time, releases map[claimID]bool) judgement {
	live := s.view.holds(it.key, it.id)
	if it.doubt && !live && it.at != s.position() {
		it.doubt = false // the state it was to extend is gone, so it can't land
	}
	switch it.kind {
	case releaseItem:
		if !live && !it.doubt && !it.force {
			s.resolve(it, free)
			return judgeDone
		}
		return judgeWrite
	case lookItem:
		if s.reads <= it.reads {
			return judgeRead
		}
		s.resolveByView(it, now, releases)
		return judgeDone
	}
	other, found := s.view.find(it.key, now, s.k.Skew)
	found = found && !releases[other.id]
	switch {
	case found && other.id == it.id:
		s.win(it, time.Unix(other.until, 0))
		return judgeDone
	case found && s.reads <= it.reads:
		return judgeRead // it may have been released since
	case found:
		s.resolveByView(it, now, releases)
		return judgeDone
	case it.waiters > 0:
		return judgeWrite
	case it.doubt:
		// Nobody waits any more, yet the claim may still appear and hold the key
		// for good. Its release, written over the same state, either frees it or
		// keeps it from landing.
		s.abandon(it)
		return judgeWrite
	}
	s.resolve(it, unread)
	return judgeDone
}

func (s *slot) resolveByView(it *item, now time.Time, releases map[claimID]bool) {
	other, found := s.view.find(it.key, now, s.k.Skew)
	if !found || releases[other.id] {
		s.resolve(it, free)
		return
	}
	it.other = other
	s.resolve(it, occupied)
}

// win hands the right to run to a waiter. A claim without one is given back,
// and so is one that comes through after the keeper was closed; k.mu is held.
func (s *slot) win(it *item, until time.Time) {
	c := it.call
	c.until = until
	// A write that hung for long lands with the memory of its own time. A caller
	// who came since would have its key forgotten too soon, and a later press
	// would run it again.
	short := until.Before(s.k.now().Add(it.memory))
	if it.waiters > 0 && !s.k.closed && !short {
		c.state = held
		s.k.counts.Claims++
		s.resolve(it, won)
		return
	}
	c.answer = notRunAnswer()
	c.settle(released)
	s.resolve(it, free)
	s.k.giveBack(c)
}

// abandon turns a claim that nobody waits for into its own release.
func (s *slot) abandon(it *item) {
	c := it.call
	c.answer = notRunAnswer()
	c.settle(released)
	it.kind = releaseItem
	it.call = nil
	s.k.drop(c)
}

// resolve ends an item and wakes its waiters; k.mu is held.
func (s *slot) resolve(it *item, r itemResult) {
	it.result = r
	close(it.done)
	switch {
	case it.kind == releaseItem && r == unread:
		s.k.counts.UnwrittenReleases++
	case it.kind == claimItem && r != won && !it.call.settled():
		it.call.answer = notRunAnswer()
		it.call.settle(released)
		s.k.drop(it.call)
	}
}

// row is what the item adds to the log; k.mu is held.
func (it *item) row(now time.Time) row {
	if it.kind == releaseItem {
		return row{ID: it.id, Key: it.key, Release: true}
	}
	// Rounded up, and with room for the write: a key is never remembered for less
	// than was asked by the last caller who waits for this claim.
	until := now.Add(it.memory + it.call.k.ClaimWait + time.Second).Unix()
	return row{ID: it.id, Key: it.key, Body: it.call.body, Until: until}
}

// settle resolves the items of a plan that is written; k.mu is held.
func (s *slot) settle(p plan) {
	done := make(map[*item]bool, len(p.items))
	for i, it := range p.items {
		done[it] = true
		if it.kind == releaseItem {
			s.resolve(it, free)
			continue
		}
		s.win(it, time.Unix(p.rows[i].Until, 0))
	}
	kept := s.queue[:0:0]
	for _, it := range s.queue {
		if !done[it] {
			kept = append(kept, it)
		}
	}
	s.queue = kept
}
