package jwversion

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// MaxAge is how long the origin of a stream is kept.
	MaxAge = time.Minute
	// DefaultMaxRecords is the default for Table.MaxRecords.
	DefaultMaxRecords = 1 << 15
)

// Record is the origin of one stream.
type Record struct {
	Request string // the request that brought the first event
	Service string // not encoded, as only the node that began the stream uses it
	Origin  Origin
}

// MarshalJSON encodes a record as an array, since many are reported.
func (r Record) MarshalJSON() ([]byte, error) {
	o := r.Origin
	return json.Marshal([]any{r.Request, o.Version, o.Target, o.StartedAt, o.BegunAt.UnixMilli()})
}

// UnmarshalJSON decodes the result of MarshalJSON.
func (r *Record) UnmarshalJSON(raw []byte) error {
	var begunAt int64
	fields := []any{&r.Request, &r.Origin.Version, &r.Origin.Target, &r.Origin.StartedAt, &begunAt}
	want := len(fields)
	if err := json.Unmarshal(raw, &fields); err != nil {
		return errors.Wrap(err, "decode the origin of a stream")
	}
	if len(fields) != want {
		return errors.Errorf("decode the origin of a stream: %d fields", len(fields))
	}
	r.Origin.BegunAt = time.UnixMilli(begunAt)
	return nil
}

// Table holds the origins of recent streams. The zero value is empty. Its methods are safe for
// concurrent use.
type Table struct {
	MaxRecords int // the oldest records are dropped beyond it; 0 means DefaultMaxRecords

	mu         sync.Mutex
	records    map[string]kept
	order      []string // requests by the time they were added; those before head are dropped
	head       int
	unreported map[string][]string // requests of this node's callers by service and time, not taken yet
}

// kept is a record with its age at this node.
type kept struct {
	Record
	addedAt time.Time
}

// Add keeps a record. own is whether the stream is one of this node's callers. It does nothing if the
// request has one, since only one attempt brings a stream's first event.
func (t *Table) Add(now time.Time, r Record, own bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropOld(now)
	if _, ok := t.records[r.Request]; ok {
		return
	}
	if t.records == nil {
		t.records = make(map[string]kept)
	}
	t.records[r.Request] = kept{r, now}
	t.order = append(t.order, r.Request)
	if !own {
		return
	}
	if t.unreported == nil {
		t.unreported = make(map[string][]string)
	}
	t.unreported[r.Service] = append(t.recent(now, t.unreported[r.Service], MaxAge), r.Request)
}

// recent returns requests without those at the beginning whose records are dropped or older than within.
func (t *Table) recent(now time.Time, requests []string, within time.Duration) []string {
	for len(requests) > 0 {
		k, ok := t.records[requests[0]]
		if ok && now.Sub(k.addedAt) <= within {
			break
		}
		requests = requests[1:]
	}
	return requests
}

// Find returns the origin of the stream that a request began.
func (t *Table) Find(now time.Time, request string) (Origin, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k, ok := t.records[request]
	if !ok || now.Sub(k.addedAt) > MaxAge {
		return Origin{}, false
	}
	return k.Origin, true
}

// TakeUnreported returns the records of a service's streams of this node's callers that were added
// within a period before now, except those that it returned before.
func (t *Table) TakeUnreported(now time.Time, service string, within time.Duration) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Record
	for _, request := range t.recent(now, t.unreported[service], within) {
		if k, ok := t.records[request]; ok {
			list = append(list, k.Record)
		}
	}
	delete(t.unreported, service)
	return list
}

// Len returns the number of records.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records)
}

// dropOld drops the records that are too old, and the oldest one if there would be too many.
func (t *Table) dropOld(now time.Time) {
	limit := t.MaxRecords
	if limit <= 0 {
		limit = DefaultMaxRecords
	}
	for t.head < len(t.order) {
		oldest := t.order[t.head]
		if len(t.records) < limit && now.Sub(t.records[oldest].addedAt) <= MaxAge {
			break
		}
		delete(t.records, oldest)
		t.head++
	}
	if t.head > len(t.order)/2 {
		t.order = append(t.order[:0], t.order[t.head:]...)
		t.head = 0
	}
}
