package jwclaim

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"jujubewheel/core/jwstore"
)

const (
	maxSwapAttempts = 32  // attempts per cycle while other nodes win the swap
	maxRowsPerWrite = 512 // rows added by one write
	initialBackoff  = 20 * time.Millisecond
	maxBackoff      = 2 * time.Second
)

var (
	errContended = errors.New("other nodes won every compare-and-swap")
	errStaleView = errors.New("view of the log too old to trust the write")
)

// slot writes the log of one slot. At most one goroutine works on a slot at a
// time, and one write carries many claims. All fields but view are guarded by
// the keeper's lock; view belongs to the goroutine that runs while busy is set.
type slot struct {
	k            *Keeper
	prefix       string
	view         view
	queue        []*item
	busy         bool
	sweepPending bool   // the next cycle deletes expired segments
	opCount      uint64 // store operations started so far
	lastReadOp   uint64 // number of the last operation that confirmed the view
	lastCycleEnd time.Time
	lastUsed     time.Time // time of the last enqueued item or requested sweep
	failures     int       // consecutive failed cycles
	retryAt      time.Time // caller keys are rejected until then
}

// position identifies a state of the log by its last segment and the version of
// that segment. A write names the position that it extends.
type position struct {
	segment uint64
	version uint64
}

// enqueue adds an item to the queue and starts the worker if there is none;
// k.mu is held.
func (s *slot) enqueue(it *item) {
	it.queuedAtOp = s.opCount
	it.done = make(chan struct{})
	s.queue = append(s.queue, it)
	s.lastUsed = s.k.now()
	s.startWorker()
}

// startWorker starts the goroutine of the slot unless it already runs or the
// keeper does not run; k.mu is held.
func (s *slot) startWorker() {
	if s.busy || !s.k.running {
		return
	}
	s.busy = true
	s.k.workers.Go(func() { s.runCycles(s.k.ctx) })
}

// runCycles runs cycles until the queue is empty and no sweep is pending, or
// until ctx ends. Items that are still queued then are resolved as unread.
func (s *slot) runCycles(ctx context.Context) {
	for s.waitForCycle(ctx) {
		err := s.cycle(ctx)
		if !s.endCycle(err) {
			return
		}
	}
	s.k.mu.Lock()
	defer s.k.mu.Unlock()
	s.busy = false
	for _, it := range s.queue {
		s.resolve(it, resultUnread)
	}
	s.queue = nil
}

// waitForCycle waits until the next cycle may start. The group window between
// cycles lets many claims share a write; failures make the wait longer. It
// returns false once ctx has ended.
func (s *slot) waitForCycle(ctx context.Context) bool {
	s.k.mu.Lock()
	wait := s.k.GroupWindow - s.k.now().Sub(s.lastCycleEnd)
	if s.failures > 0 {
		wait = s.retryAt.Sub(s.k.now())
	}
	s.k.mu.Unlock()
	if wait <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// endCycle records the end of a cycle and reports whether there is more to do.
func (s *slot) endCycle(err error) bool {
	s.k.mu.Lock()
	defer s.k.mu.Unlock()
	s.lastCycleEnd = s.k.now()
	if err != nil {
		s.handleFailure(err)
	} else {
		s.failures = 0
	}
	if len(s.queue) > 0 || s.sweepPending {
		return true
	}
	s.busy = false
	return false
}

// handleFailure rejects the items that are certainly not written and keeps the
// others for the next cycle. After a single failure of a reachable store it
// rejects none: the next write may well serve the items that were queued since.
// k.mu is held.
func (s *slot) handleFailure(err error) {
	s.k.counts.StoreFailures++
	retryAll := s.failures == 0 && !errors.Is(err, jwstore.ErrUnavailable)
	s.sweepPending = false
	s.retryAt = s.k.now().Add(min(initialBackoff<<min(s.failures, 10), maxBackoff))
	s.failures++
	kept := s.queue[:0]
	for _, it := range s.queue {
		if retryAll || it.kind == releaseItem || it.uncertain {
			kept = append(kept, it)
			continue
		}
		s.resolve(it, s.failureResult(it))
	}
	s.queue = kept
}

// failureResult returns the result for an item that is given up: resultFree if
// the log was read after the item was queued and showed no claim of the key,
// otherwise resultUnread; k.mu is held.
func (s *slot) failureResult(it *item) itemResult {
	if s.lastReadOp > it.queuedAtOp && s.view.loaded {
		if _, ok := s.view.find(it.key, s.k.now(), s.k.MaxClockSkew); !ok {
			return resultFree
		}
	}
	return resultUnread
}

// rejecting reports whether caller keys are rejected at once, which they are
// during the backoff after two or more consecutive failures; k.mu is held.
func (s *slot) rejecting(now time.Time) bool {
	return s.failures > 1 && now.Before(s.retryAt)
}

// cycle updates the view where needed and writes the queued items as one group.
func (s *slot) cycle(ctx context.Context) error {
	if s.stale() {
		if err := s.confirm(ctx); err != nil {
			return err
		}
	}
	cycleOp := s.currentOpCount()
	for range maxSwapAttempts {
		p := s.plan(cycleOp)
		if p.read {
			if err := s.confirm(ctx); err != nil {
				return err
			}
			continue
		}
		if len(p.items) == 0 {
			return s.sweepExpired(ctx)
		}
		swapped, err := s.write(ctx, p)
		if err != nil {
			return err
		}
		if swapped {
			return nil
		}
		if err := s.confirm(ctx); err != nil {
			return err
		}
	}
	return errors.Wrapf(errContended, "claim: %s", s.prefix)
}

func (s *slot) stale() bool {
	s.k.mu.Lock()
	defer s.k.mu.Unlock()
	return !s.view.loaded || s.sweepPending || elapsed(s.k.now(), s.view.confirmedAt) > maxViewAge
}

// confirm updates the view from the store.
func (s *slot) confirm(ctx context.Context) error {
	op := s.startOp()
	ctx, cancel := context.WithTimeout(ctx, s.k.StoreTimeout)
	defer cancel()
	if err := s.view.confirm(ctx, s.k.Store, s.k.now, s.k.MaxClockSkew); err != nil {
		return err
	}
	s.k.mu.Lock()
	defer s.k.mu.Unlock()
	s.lastReadOp = op
	return nil
}

// startOp counts a store operation that starts now and returns its number.
func (s *slot) startOp() uint64 {
	s.k.mu.Lock()
	defer s.k.mu.Unlock()
	s.opCount++
	return s.opCount
}

func (s *slot) currentOpCount() uint64 {
	s.k.mu.Lock()
	defer s.k.mu.Unlock()
	return s.opCount
}

func (s *slot) position() position {
	return position{segment: s.view.lastNumber(), version: s.view.version}
}

// write appends the rows of the plan to the log. It returns false when another
// node wrote first. After an error the items are uncertain unless the error
// says that nothing can have been written.
func (s *slot) write(ctx context.Context, p plan) (bool, error) {
	at := s.position()
	d := s.appendRows(p)
	b, err := encodeDocument(d)
	if err != nil {
		return false, errors.Wrapf(err, "encode claims: %s", s.prefix)
	}
	if len(b) > maxDocumentSize {
		return false, errors.Errorf("claims of %s: document of %d bytes exceeds the limit of the store", s.prefix, len(b))
	}
	limited, cancel := context.WithTimeout(ctx, s.k.StoreTimeout)
	defer cancel()
	op, start := s.startOp(), s.k.now()
	next, swapped, err := s.k.Store.CompareAndSwap(limited, segmentKey(s.prefix, at.segment), b, at.version)
	swapped, err = s.handleSwapReply(p, at, swapped, err)
	if errors.Is(err, errStaleView) && at.version == 0 {
		s.removeStraySegment(ctx, at, next)
	}
	if err == nil && swapped {
		s.applyWrite(p, d, next, start, op)
	}
	return swapped, errors.Wrapf(err, "write claims: %s", s.prefix)
}

// handleSwapReply processes the store's reply to a write and reports whether
// its rows count as written.
func (s *slot) handleSwapReply(p plan, at position, swapped bool, err error) (bool, error) {
	s.k.mu.Lock()
	defer s.k.mu.Unlock()
	s.k.counts.Writes++
	switch {
	case errors.Is(err, jwstore.ErrUnavailable):
		return false, err
	case err != nil:
		s.markUncertain(p, at)
		return false, err
	case !swapped:
		s.k.counts.LostSwaps++
		return false, nil
	}
	// If this process was paused here for long, the other nodes may have filled
	// and deleted this segment in the meantime. The write then created it again
	// where no node looks for its claims, so that their keys could run a second
	// time. A view this old can't rule that out.
	if elapsed(s.k.now(), s.view.confirmedAt) > minRetention/2 {
		s.view.loaded = false
		s.markUncertain(p, at)
		return false, errStaleView
	}
	return true, nil
}

// removeStraySegment deletes a segment that this node created from too old a
// view. The segment would leave a gap in the log, and every node would reject
// the log. If the segment was in order after all, deleting it is safe
// because none of its claims has been relied on.
func (s *slot) removeStraySegment(ctx context.Context, at position, version uint64) {
	if _, err := s.k.Store.Delete(ctx, segmentKey(s.prefix, at.segment), version); err != nil {
		s.k.mu.Lock()
		defer s.k.mu.Unlock()
		s.k.counts.StoreFailures++
	}
}

// applyWrite takes a written segment into the view and resolves the items of
// the plan.
func (s *slot) applyWrite(p plan, d document, version uint64, start time.Time, op uint64) {
	s.k.mu.Lock()
	defer s.k.mu.Unlock()
	s.view.replaceTail(d, version)
	if d.Sealed {
		s.view.addSegment(s.view.lastNumber()+1, document{}, 0)
	}
	s.view.confirmedAt = start
	s.lastReadOp = op
	s.resolvePlan(p)
}

// appendRows returns the last segment's document with the rows of the plan
// appended.
func (s *slot) appendRows(p plan) document {
	d := s.view.tail.clone()
	holder := d.holderIndex(s.k.self())
	minUntil := s.k.now().Add(minRetention).Unix()
	d.Until = max(d.Until, minUntil)
	for _, r := range p.rows {
		if !r.Release {
			r.Holder = holder
		}
		d.Until = max(d.Until, r.Until)
		d.Rows = append(d.Rows, r)
	}
	d.Sealed = len(d.Rows) >= s.k.MaxSegmentRows
	return d
}

// markUncertain marks the items whose rows may have been written; k.mu is held.
func (s *slot) markUncertain(p plan, at position) {
	for _, it := range p.items {
		it.uncertain, it.basePosition = true, at
	}
}

// sweepExpired deletes the segments that no node needs any more.
func (s *slot) sweepExpired(ctx context.Context) error {
	s.k.mu.Lock()
	sweep := s.sweepPending
	s.sweepPending = false
	s.k.mu.Unlock()
	for sweep {
		oldest, ok := s.view.oldestExpired(s.k.now(), s.k.MaxClockSkew)
		if !ok {
			return nil
		}
		if _, err := s.k.Store.Delete(ctx, segmentKey(s.prefix, oldest.number), oldest.version); err != nil {
			return errors.Wrapf(err, "delete claims: %s", s.prefix)
		}
		s.k.mu.Lock()
		s.view.dropOldest()
		s.k.counts.Deleted++
		s.k.mu.Unlock()
	}
	return nil
}
