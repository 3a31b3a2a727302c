package jwclaim

import "time"

type itemKind string

const (
	claimItem   itemKind = "claim"
	releaseItem itemKind = "release"
	lookupItem  itemKind = "look" // finds out whether a claim holds the key, writes nothing
)

// item is one request in the queue of a slot.
type item struct {
	kind       itemKind
	id         claimID
	key        keyHash
	call       *Call // for claims only
	keyMemory  time.Duration
	waiters    int
	queuedAtOp uint64 // slot.opCount when the item was queued
	// uncertain says that a write with this row may have taken effect on top of
	// basePosition.
	uncertain    bool
	basePosition position
	// force writes a release even if its claim is not in the log: the claim's
	// write by another process, which is gone, may still be in flight.
	force bool
	// done is closed when the item is resolved; result and otherClaim are set
	// by then.
	done       chan struct{}
	result     itemResult
	otherClaim liveClaim
	runGranted bool // a waiter has been given the right to run
}

type itemResult string

const (
	resultWon      itemResult = "won"      // the claim is known to be written
	resultOccupied itemResult = "occupied" // another claim holds the key
	resultFree     itemResult = "free"     // no claim held the key at some moment since the item was queued
	resultUnread   itemResult = "unread"   // the claims could not be read
)

// plan is one write: the items it resolves and the rows it adds for them.
type plan struct {
	read     bool // the store must be read before all items can be decided
	items    []*item
	rows     []row
	releases map[claimID]bool // the claims that these rows release
}

// plan resolves the items that need no write and collects those that do. Only
// items queued before the cycle, at operation cycleOp or earlier, may request a
// read of the store. Otherwise a stream of retries with one claimed key could
// keep all other items waiting.
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
	// A claim that was released in this loop has appended its release to
	// s.queue.
	s.queue = append(kept, s.queue[len(queue):]...)
	return p
}

type planAction string

const (
	actionResolved planAction = "done"
	actionRead     planAction = "read"
	actionWrite    planAction = "write"
)

// planItem decides on one item from the view and from the releases planned
// before it in the same group, and resolves it where it can; k.mu is held.
func (s *slot) planItem(it *item, now time.Time, releases map[claimID]bool) planAction {
	live := s.view.hasClaim(it.key, it.id)
	if it.uncertain && !live && it.basePosition != s.position() {
		it.uncertain = false // the log is past basePosition, so the write can't succeed any more
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
		return actionRead // the claim may have been released since the last read
	case found:
		s.resolveFromView(it, now, releases)
		return actionResolved
	case it.waiters > 0:
		return actionWrite
	case it.uncertain:
		// No caller waits any more, but the write of the claim may still take
		// effect and block the key. A release written at the same position
		// either removes the claim or makes its write fail.
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

// completeClaim gives the right to run to a waiter. If no caller waits, the
// keeper is closed or the claim expires too early, it releases the claim
// instead; k.mu is held.
func (s *slot) completeClaim(it *item, until time.Time) {
	c := it.call
	c.until = until
	// A write that was delayed for long sets the expiry by the time at which it
	// was planned. For a caller that came later that is too early, and a later
	// retry would run its key again.
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

// convertToRelease turns a claim that no caller waits for into its own release.
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

// row returns the row that the item adds to the log; k.mu is held.
func (it *item) row(now time.Time) row {
	if it.kind == releaseItem {
		return row{ID: it.id, Key: it.key, Release: true}
	}
	// ClaimTimeout allows for the duration of the write and the second for
	// rounding: the key is remembered at least as long as the last caller that
	// waits for this claim asked for.
	until := now.Add(it.keyMemory + it.call.k.ClaimTimeout + time.Second).Unix()
	return row{ID: it.id, Key: it.key, Body: it.call.body, Until: until}
}

// resolvePlan resolves the items of a written plan; k.mu is held.
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
