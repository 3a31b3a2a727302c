package jwstore

import (
	"context"
	"slices"
	"sync"
	"time"
)

const (
	// maxRecentEvents is how many changes a Recent keeps: about ten seconds of changes while
	// all nodes and targets of a fleet restart.
	maxRecentEvents = 2000
	// maxRecentBytes is how many bytes of values a Recent keeps.
	maxRecentBytes = 512 << 10
	// largeValue is the size in bytes above which After returns a value only if it is the
	// latest of its key.
	largeValue = 4 << 10
)

// Recent keeps the latest changes that a node has read from the store, for other nodes that
// read them from this one. The zero value is empty. It is safe for concurrent use.
type Recent struct {
	mu     sync.Mutex
	from   Revision // the kept changes are all those after this revision
	upTo   Revision // and up to this one; 0 before anything was added
	events []Event
	bytes  int
	added  chan struct{} // closed at the next change, nil while no call of Wait is blocked
}

// Add keeps the changes that were read between two revisions. If they do not continue the
// changes kept so far, those are dropped.
func (r *Recent) Add(events []Event, from, to Revision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if from != r.upTo || r.upTo == 0 {
		r.from, r.events, r.bytes = from, nil, 0
	}
	r.upTo = to
	if len(events) > 0 && r.added != nil {
		close(r.added)
		r.added = nil
	}
	for _, e := range events {
		if len(e.Value) > largeValue {
			r.dropOlderLarge(e.Key)
		}
		r.events = append(r.events, e)
		r.bytes += len(e.Value)
	}
	expired := 0
	for expired < len(r.events) && (len(r.events)-expired > maxRecentEvents || r.bytes > maxRecentBytes) {
		r.bytes -= len(r.events[expired].Value)
		r.from = r.events[expired].Revision
		expired++
	}
	r.events = slices.Delete(r.events, 0, expired)
}

// dropOlderLarge drops the large values of a key that a new one replaces. After would not return them,
// and a quick succession of configurations would displace all other changes.
func (r *Recent) dropOlderLarge(key string) {
	r.events = slices.DeleteFunc(r.events, func(e Event) bool {
		drop := e.Key == key && len(e.Value) > largeValue
		if drop {
			r.bytes -= len(e.Value)
		}
		return drop
	})
}

// After returns the changes after a revision and the revision up to which they are complete.
// ok is false if some of these changes are not kept, or if the revision is later than what
// was read so far. A value larger than largeValue is returned only if it is the latest of
// its key.
func (r *Recent) After(revision Revision) (events []Event, to Revision, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.upTo == 0 || revision < r.from || revision > r.upTo {
		return nil, 0, false
	}
	seen := make(map[string]bool)
	for i := len(r.events) - 1; i >= 0 && r.events[i].Revision > revision; i-- {
		e := r.events[i]
		if seen[e.Key] && len(e.Value) > largeValue {
			continue
		}
		seen[e.Key] = true
		events = append(events, e)
	}
	slices.Reverse(events)
	return events, r.upTo, true
}

// Wait blocks until a change after a revision is kept or ctx ends, at most for maxWait.
func (r *Recent) Wait(ctx context.Context, after Revision, maxWait time.Duration) {
	t := time.NewTimer(maxWait)
	defer t.Stop()
	r.mu.Lock()
	if n := len(r.events); n > 0 && r.events[n-1].Revision > after {
		r.mu.Unlock()
		return
	}
	if r.added == nil {
		r.added = make(chan struct{})
	}
	added := r.added
	r.mu.Unlock()
	select {
	case <-added:
	case <-t.C:
	case <-ctx.Done():
	}
}

// Forget drops all kept changes.
func (r *Recent) Forget() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.from, r.upTo, r.events, r.bytes = 0, 0, nil, 0
}
