package jwclaim

import "time"

type itemKind string

const (
	claimItem   itemKind = "claim"
	releaseItem itemKind = "release"
	lookupItem  itemKind = "look" // reads only
)

// item is one wish of a slot's queue.
type item struct {
	kind       itemKind
	id         claimID
	key        keyHash
	call       *Call // claims only
	keyMemory  time.Duration
	waiters    int
	queuedAtOp uint64 // reads and writes of the slot cycleOp before the item came
	// uncertain says that a write with this row may have taken effect, on top of
	// the state at.
	uncertain    bool
	basePosition position
	// force writes a release even if its claim is not in the log: another
	// process, now gone, may still have the claim's write under way.
	force bool
	// set once resolved
	done       chan struct{}
	result     itemResult
	otherClaim liveClaim
	runGranted bool // a waiter has got the right to run
}

type itemResult string

const (
	resultWon      itemResult = "won"      // the claim is known to be written
	resultOccupied itemResult = "occupied" // another claim holds the key
	resultFree     itemResult = "free"     // nobody held the key at a moment since the item came
	resultUnread   itemResult = "unread"   // the claims could not be read
)

// plan is one write: the items it settles and the rows they add.
type plan struct {
	read     bool // the store has to be read before anything can be decided
	items    []*item
	rows     []row
	releases map[claimID]bool // claims that these rows release
}

// plan resolves the items that need no write and gathers those that do. Only
// items that came before the cycle, when cycleOp operations had cycleOp, may ask for
// a read: presses of one claimed key could otherwise keep all others waiting.
func (s *slot) plan(cycleOp uint64) plan {
	s.k.mu.Lock()
	defer s.k.mu.Unlock()
	now := s.k.now()
	p := plan{releases: map[claimID]bool{}}
	var kept []*item
	queue := s.queue
	for _, it := range queue {
		if len(p.items) == maxRowsPerWrite {
			kept = append(kept, it)
			continue
		}
		switch s.planItem(it, now, p.releases) {
		case actionRead:
			p.read = p.read || it.queuedAtOp <= cycleOp
			kept = append(kept, it)
		case actionWrite:
			p.items = append(p.items, it)
			p.rows = append(p.rows, it.row(now))
			if it.kind == releaseItem {
				p.releases[it.id] = true
			}
			kept = append(kept, it)
		case actionResolved:
		}
	}
	// A claim that is given back in this loop has added its release at the end.
	s.queue = append(kept, s.queue[len(queue):]...)
	return p
}

type planAction string

const (
	actionResolved planAction = "done"
	actionRead     planAction = "read"
	actionWrite    planAction = "write"
)

// planItem decides one item by the view and the releases written before it in the
// same group, and resolves it where it can; k.mu is held.
func (s *slot) planItem(it *item, now time.Time, releases map[claimID]bool) planAction {
	live := s.view.hasClaim(it.key, it.id)
	if it.uncertain && !live && it.basePosition != s.position() {
		it.uncertain = false // the state it was to extend is gone, so it can't land
	}
	switch it.kind {
	case releaseItem:
		if !live && !it.uncertain && !it.force {
			s.resolve(it, resultFree)
			return actionResolved
		}
		return actionWrite
	case lookupItem:
		if s.lastReadOp <= it.queuedAtOp {
			return actionRead
		}
		s.resolveFromView(it, now, releases)
		return actionResolved
	}
	other, found := s.view.find(it.key, now, s.k.MaxClockSkew)
	found = found && !releases[other.id]
	switch {
	case found && other.id == it.id:
		s.completeClaim(it, time.Unix(other.until, 0))
		return actionResolved
	case found && s.lastReadOp <= it.queuedAtOp:
		return actionRead // it may have been released since
	case found:
		s.resolveFromView(it, now, releases)
		return actionResolved
	case it.waiters > 0:
		return actionWrite
	case it.uncertain:
		// Nobody waits any more, yet the claim may still appear and hold the key
		// for good. Its release, written over the same state, either frees it or
		// keeps it from landing.
		s.convertToRelease(it)
		return actionWrite
	}
	s.resolve(it, resultUnread)
	return actionResolved
}

func (s *slot) resolveFromView(it *item, now time.Time, releases map[claimID]bool) {
	other, found := s.view.find(it.key, now, s.k.MaxClockSkew)
	if !found || releases[other.id] {
		s.resolve(it, resultFree)
		return
	}
	it.otherClaim = other
	s.resolve(it, resultOccupied)
}

// completeClaim hands the right to run to a waiter. A claim without one is given back,
// and so is one that comes through after the keeper was closed; k.mu is held.
func (s *slot) completeClaim(it *item, until time.Time) {
	c := it.call
	c.until = until
	// A write that hung for long lands with the memory of its own time. A caller
	// who came since would have its key forgotten too soon, and a later press
	// would run it again.
	expiresEarly := until.Before(s.k.now().Add(it.keyMemory))
	if it.waiters > 0 && !s.k.closed && !expiresEarly {
		c.state = stateHeld
		s.k.counts.Claims++
		s.resolve(it, resultWon)
		return
	}
	c.answer = notRunAnswer()
	c.settleAs(stateReleased)
	s.resolve(it, resultFree)
	s.k.releaseKey(c)
}

// convertToRelease turns a claim that nobody waits for into its own release.
func (s *slot) convertToRelease(it *item) {
	c := it.call
	c.answer = notRunAnswer()
	c.settleAs(stateReleased)
	it.kind = releaseItem
	it.call = nil
	s.k.removeCall(c)
}

// resolve ends an item and wakes its waiters; k.mu is held.
func (s *slot) resolve(it *item, r itemResult) {
	it.result = r
	close(it.done)
	switch {
	case it.kind == releaseItem && r == resultUnread:
		s.k.counts.UnwrittenReleases++
	case it.kind == claimItem && r != resultWon && !it.call.settled():
		it.call.answer = notRunAnswer()
		it.call.settleAs(stateReleased)
		s.k.removeCall(it.call)
	}
}

// row is what the item adds to the log; k.mu is held.
func (it *item) row(now time.Time) row {
	if it.kind == releaseItem {
		return row{ID: it.id, Key: it.key, Release: true}
	}
	// Rounded up, and with room for the write: a key is never remembered for less
	// than was asked by the last caller who waits for this claim.
	until := now.Add(it.keyMemory + it.call.k.ClaimTimeout + time.Second).Unix()
	return row{ID: it.id, Key: it.key, Body: it.call.bodyHash, Until: until}
}

// resolvePlan resolves the items of a plan that is written; k.mu is held.
func (s *slot) resolvePlan(p plan) {
	done := make(map[*item]bool, len(p.items))
	for i, it := range p.items {
		done[it] = true
		if it.kind == releaseItem {
			s.resolve(it, resultFree)
			continue
		}
		s.completeClaim(it, time.Unix(p.rows[i].Until, 0))
	}
	kept := s.queue[:0:0]
	for _, it := range s.queue {
		if !done[it] {
			kept = append(kept, it)
		}
	}
	s.queue = kept
}
