package jwstore

import (
	"context"
	"slices"
	"sync"
	"time"
)

const (
	// maxRecentEvents is how many changes a Recent keeps: some ten seconds of a fleet whose
	// nodes and targets all start anew.
	maxRecentEvents = 2000
	// maxRecentBytes is how many bytes of values it keeps.
	maxRecentBytes = 512 << 10
	// largeValue is the size from which a value is told only if it is the last of its key.
	largeValue = 4 << 10
)

// Recent keeps the last changes of a store that one node has read, for those that read
// them from it. The zero value is empty; it may be used by several goroutines.
type Recent struct {
	mu     sync.Mutex
	from   Revision // it has all changes after this revision
	upTo   Revision // up to this one
	events []Event
	bytes  int
	added  chan struct{} // closed at the next change, nil while nobody waits
}

// Add keeps the changes that a reading from one revision up to another brought. Where
// it doesn't follow the last one, what was kept is forgotten.
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

// After returns the changes after a revision and the revision that they lead up to; ok
// is false if some of them are not kept, or if nothing was read so far as that. Of large
// values only the last of each key is returned.
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

// Wait waits until a change after a revision is kept, at most for some time.
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

// Forget drops all that is kept.
func (r *Recent) Forget() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.from, r.upTo, r.events, r.bytes = 0, 0, nil, 0
}
