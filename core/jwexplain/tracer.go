package jwexplain

import (
	"slices"
	"sync"
	"time"

	"jujubewheel/core/jwdispatch"
	"jujubewheel/core/jwrequest"
)

// Limits of what a Tracer keeps.
const (
	DefaultSize = 1024 // traces of each of the two rings
	maxSteps    = 32   // of one trace
	maxDetail   = 256  // bytes
	maxRunning  = 4096 // requests that are traced at the same time
)

// Tracer keeps the traces of one node. Set its fields before use; it is safe for
// concurrent use. A nil Tracer keeps nothing.
//
// Served requests and all others are kept in separate rings, so that the many
// successes do not evict the few failures that operators ask about.
type Tracer struct {
	Node   string
	Region string // of this node
	Size   int    // traces of each ring, 0 for DefaultSize
	Now    func() time.Time

	mu       sync.Mutex
	running  map[*jwrequest.Request]*Trace
	served   ring
	others   ring
	untraced uint64
}

var _ jwdispatch.Tracer = (*Tracer)(nil)

// ring holds the latest traces.
type ring struct {
	traces []*Trace
	next   int
}

// Step records one decision on a request.
func (t *Tracer) Step(r *jwrequest.Request, step, detail string) {
	if t == nil || !t.mayKeep(r) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	trace := t.traceOf(r)
	if trace == nil {
		return
	}
	if len(trace.Steps) == maxSteps {
		trace.Dropped++
		return
	}
	trace.Steps = append(trace.Steps, Step{
		AfterMicros: t.now().Sub(trace.Started).Microseconds(),
		Step:        step,
		Detail:      detail[:min(len(detail), maxDetail)],
	})
}

// End records how a request ended; servedBy is the region of the target that
// served it, empty if none did.
func (t *Tracer) End(r *jwrequest.Request, outcome jwrequest.Outcome, reason jwdispatch.Reason, servedBy string) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.mayKeep(r) {
		delete(t.running, r)
		return
	}
	trace := t.traceOf(r)
	if trace == nil {
		return
	}
	delete(t.running, r)
	trace.Region, trace.Bound = r.Region, r.Bound
	trace.Hops = slices.Clone(r.Hops)
	trace.Ended = t.now()
	trace.Outcome, trace.Reason, trace.ServedBy = outcome, reason, servedBy
	if outcome == jwrequest.Served {
		t.served.add(trace, t.size())
		return
	}
	t.others.add(trace, t.size())
}

// mayKeep returns false for bound requests outside their home region. A trace
// there, even of a rejection, would store data of the workspace outside its
// region.
func (t *Tracer) mayKeep(r *jwrequest.Request) bool {
	return !r.Bound || r.Region == t.Region
}

// traceOf returns the trace of a running request and creates it if needed. It
// returns nil when too many requests run.
func (t *Tracer) traceOf(r *jwrequest.Request) *Trace {
	if trace := t.running[r]; trace != nil {
		return trace
	}
	if len(t.running) >= maxRunning {
		t.untraced++
		return nil
	}
	if t.running == nil {
		t.running = make(map[*jwrequest.Request]*Trace)
	}
	trace := &Trace{
		RequestID: r.ID,
		Workspace: WorkspaceHash(r.Workspace),
		Entry:     r.Entry,
		Node:      t.Node,
		Started:   t.now(),
		Steps:     []Step{},
	}
	t.running[r] = trace
	return trace
}

// Find returns the traces of a request id, oldest first; a retried request
// has several.
func (t *Tracer) Find(id string) []Trace {
	if t == nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Trace
	for _, from := range []ring{t.served, t.others} {
		for _, trace := range from.traces {
			if trace.RequestID == id {
				out = append(out, *trace)
			}
		}
	}
	slices.SortFunc(out, func(a, b Trace) int { return a.Started.Compare(b.Started) })
	return out
}

// Untraced returns how many requests had no trace because too many ran at once.
func (t *Tracer) Untraced() uint64 {
	if t == nil {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.untraced
}

func (t *Tracer) size() int {
	if t.Size > 0 {
		return t.Size
	}
	return DefaultSize
}

func (t *Tracer) now() time.Time {
	if t.Now != nil {
		return t.Now()
	}
	return time.Now()
}

func (r *ring) add(trace *Trace, size int) {
	if len(r.traces) < size {
		r.traces = append(r.traces, trace)
		return
	}
	r.traces[r.next] = trace
	r.next = (r.next + 1) % size
}
