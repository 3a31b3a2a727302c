package jwclaim

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"jujubewheel/core/jwstore"
)

const (
	attemptsMax  = 32  // swaps lost to other nodes in one cycle
	rowsMax      = 512 // rows added by one write
	backoffFirst = 20 * time.Millisecond
	backoffMost  = 2 * time.Second
)

var (
	errContended = errors.New("lost every swap to other nodes")
	errPaused    = errors.New("view too old after the write")
)

// slot writes the log of one slot: one goroutine at a time, many claims a
// write. All fields but view are guarded by the keeper's lock; view belongs to
// the goroutine while busy is set.
type slot struct {
	k       *Keeper
	prefix  string
	view    view
	queue   []*item
	busy    bool
	sweep   bool      // delete what has expired in the next cycle
	started uint64    // reads and writes of the store begun so far
	reads   uint64    // the last of them that showed the whole log
	ended   time.Time // of the last cycle
	used    time.Time // last item
	fails   int       // cycles in a row that failed
	retryAt time.Time // own keys are rejected until then
}

// position is a state of the log, as a write names the one it extends.
type position struct {
	segment uint64
	version uint64
}

// add queues an item and makes sure that someone works on it; k.mu is held.
func (s *slot) add(it *item) {
	it.reads = s.started
	it.done = make(chan struct{})
	s.queue = append(s.queue, it)
	s.used = s.k.now()
	s.kick()
}

// kick starts the goroutine of the slot if it has none; k.mu is held.
func (s *slot) kick() {
	if s.busy || !s.k.running {
		return
	}
	s.busy = true
	s.k.workers.Go(func() { s.work(s.k.ctx) })
}

// work runs cycles until nothing is left to do.
func (s *slot) work(ctx context.Context) {
	for s.pause(ctx) {
		err := s.cycle(ctx)
		if !s.again(err) {
			return
		}
	}
	s.k.mu.Lock()
	defer s.k.mu.Unlock()
	s.busy = false
	for _, it := range s.queue {
		s.resolve(it, unread)
	}
	s.queue = nil
}

// pause spaces the cycles of a slot, so that many claims share a write, and
// waits longer after failures; it is false once ctx has ended.
func (s *slot) pause(ctx context.Context) bool {
	s.k.mu.Lock()
	wait := s.k.GroupWindow - s.k.now().Sub(s.ended)
	if s.fails > 0 {
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

// again books the end of a cycle and reports whether there is more to do.
func (s *slot) again(err error) bool {
	s.k.mu.Lock()
	defer s.k.mu.Unlock()
	s.ended = s.k.now()
	if err != nil {
		s.fail(err)
	} else {
		s.fails = 0
	}
	if len(s.queue) > 0 || s.sweep {
		return true
	}
	s.busy = false
	return false
}

// fail turns away what is certainly not written and keeps the rest for the
// next cycle. A single lost reply turns nobody away: those who came since may
// well be served by the next write. k.mu is held.
func (s *slot) fail(err error) {
	s.k.counts.StoreFailures++
	once := s.fails == 0 && !errors.Is(err, jwstore.ErrUnavailable)
	s.sweep = false
	s.retryAt = s.k.now().Add(min(backoffFirst<<min(s.fails, 10), backoffMost))
	s.fails++
	kept := s.queue[:0]
	for _, it := range s.queue {
		if once || it.kind == releaseItem || it.doubt {
			kept = append(kept, it)
			continue
		}
		s.resolve(it, s.unclaimed(it))
	}
	s.queue = kept
}

// unclaimed is the result for an item that is given up: free if the log was
// read since it came and showed no claim of the key; k.mu is held.
func (s *slot) unclaimed(it *item) itemResult {
	if s.reads > it.reads && s.view.loaded {
		if _, ok := s.view.find(it.key, s.k.now(), s.k.Skew); !ok {
			return free
		}
	}
	return unread
}

// down reports whether own keys are to be rejected at once; k.mu is held.
func (s *slot) down(now time.Time) bool {
	return s.fails > 1 && now.Before(s.retryAt)
}

// cycle reads what it has to and writes the queue in one group.
func (s *slot) cycle(ctx context.Context) error {
	if s.stale() {
		if err := s.confirm(ctx); err != nil {
			return err
		}
	}
	begun := s.begun()
	for range attemptsMax {
		p := s.plan(begun)
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
	return !s.view.loaded || s.sweep || age(s.k.now(), s.view.read) > viewAge
}

// confirm reads what the view lacks.
func (s *slot) confirm(ctx context.Context) error {
	begun := s.begin()
	ctx, cancel := context.WithTimeout(ctx, s.k.StoreTimeout)
	defer cancel()
	if err := s.view.confirm(ctx, s.k.Store, s.k.now, s.k.Skew); err != nil {
		return err
	}
	s.k.mu.Lock()
	defer s.k.mu.Unlock()
	s.reads = begun
	return nil
}

// begin counts a read or write of the store that starts now.
func (s *slot) begin() uint64 {
	s.k.mu.Lock()
	defer s.k.mu.Unlock()
	s.started++
	return s.started
}

func (s *slot) begun() uint64 {
	s.k.mu.Lock()
	defer s.k.mu.Unlock()
	return s.started
}

func (s *slot) position() position {
	return position{segment: s.view.last(), version: s.view.version}
}

// write appends the plan to the log. It returns false when another node wrote
// first; after an error the items are in doubt unless the error says that
// nothing can have been written.
func (s *slot) write(ctx context.Context, p plan) (bool, error) {
	at := s.position()
	d := s.extend(p)
	b, err := encodeDocument(d)
	if err != nil {
		return false, errors.Wrapf(err, "encode claims: %s", s.prefix)
	}
	if len(b) > documentMax {
		return false, errors.Errorf("claims of %s: %d bytes are more than the store takes", s.prefix, len(b))
	}
	limited, cancel := context.WithTimeout(ctx, s.k.StoreTimeout)
	defer cancel()
	begun, start := s.begin(), s.k.now()
	next, swapped, err := s.k.Store.Swap(limited, segmentKey(s.prefix, at.segment), b, at.version)
	swapped, err = s.reply(p, at, swapped, err)
	if errors.Is(err, errPaused) && at.version == 0 {
		s.removeStray(ctx, at, next)
	}
	if err == nil && swapped {
		s.accept(p, d, next, start, begun)
	}
	return swapped, errors.Wrapf(err, "write claims: %s", s.prefix)
}

// reply books the store's reply to a write and reports whether its rows count.
func (s *slot) reply(p plan, at position, swapped bool, err error) (bool, error) {
	s.k.mu.Lock()
	defer s.k.mu.Unlock()
	s.k.counts.Writes++
	switch {
	case errors.Is(err, jwstore.ErrUnavailable):
		return false, err
	case err != nil:
		s.doubt(p, at)
		return false, err
	case !swapped:
		s.k.counts.LostSwaps++
		return false, nil
	}
	// A process that was paused here for long may have created a segment that
	// the others had used up and deleted, where nobody looks for its claims. It
	// would show as a second run. A view this old proves nothing.
	if age(s.k.now(), s.view.read) > retention/2 {
		s.view.loaded = false
		s.doubt(p, at)
		return false, errPaused
	}
	return true, nil
}

// removeStray deletes a segment that this node created from too old a view: it
// would leave a hole in the log, and every node would refuse to read it. Where
// it was in order after all, nothing in it has been relied on.
func (s *slot) removeStray(ctx context.Context, at position, version uint64) {
	if _, err := s.k.Store.Delete(ctx, segmentKey(s.prefix, at.segment), version); err != nil {
		s.k.mu.Lock()
		defer s.k.mu.Unlock()
		s.k.counts.StoreFailures++
	}
}

// accept takes a written segment into the view and resolves its items.
func (s *slot) accept(p plan, d document, version uint64, start time.Time, begun uint64) {
	s.k.mu.Lock()
	defer s.k.mu.Unlock()
	s.view.replaceHead(d, version)
	if d.Sealed {
		s.view.addSegment(s.view.last()+1, document{}, 0)
	}
	s.view.read = start
	s.reads = begun
	s.settle(p)
}

// extend returns the last segment with the rows of the plan.
func (s *slot) extend(p plan) document {
	d := s.view.head.clone()
	me := d.holder(s.k.self())
	least := s.k.now().Add(retention).Unix()
	d.Until = max(d.Until, least)
	for _, r := range p.rows {
		if !r.Release {
			r.Holder = me
		}
		d.Until = max(d.Until, r.Until)
		d.Rows = append(d.Rows, r)
	}
	d.Sealed = len(d.Rows) >= s.k.SegmentRows
	return d
}

// doubt marks the items whose rows may have been written; k.mu is held.
func (s *slot) doubt(p plan, at position) {
	for _, it := range p.items {
		it.doubt, it.at = true, at
	}
}

// sweepExpired deletes the segments that no node needs any more.
func (s *slot) sweepExpired(ctx context.Context) error {
	s.k.mu.Lock()
	sweep := s.sweep
	s.sweep = false
	s.k.mu.Unlock()
	for sweep {
		old, ok := s.view.expired(s.k.now(), s.k.Skew)
		if !ok {
			return nil
		}
		if _, err := s.k.Store.Delete(ctx, segmentKey(s.prefix, old.number), old.version); err != nil {
			return errors.Wrapf(err, "delete claims: %s", s.prefix)
		}
		s.k.mu.Lock()
		s.view.dropOldest()
		s.k.counts.Deleted++
		s.k.mu.Unlock()
	}
	return nil
}
