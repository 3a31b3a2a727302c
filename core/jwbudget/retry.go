package jwbudget

import (
	"math"
	"slices"
	"sync"
	"time"
)

// usableFraction is the fraction of the shared budget that is used at most: windows slide,
// and a request and its retry may be counted at different nodes.
const usableFraction = 0.6

// RetryBudget is the budget of retries, the sends of a request after its first, for each
// service. Set the exported fields before use. It is safe for concurrent use.
type RetryBudget struct {
	Limits func() Limits
	Nodes  func() int // number of nodes that may be running, this one included
	// Age returns how long this process has known of the other nodes; nil means forever. Before that is
	// a whole window, an earlier process may have used this node's part of the slack, or the others all
	// of it. Until then the node uses the remaining fraction of the slack, as it accrues: however often
	// nodes restart, they use that fraction once in a window.
	Age func() time.Duration

	mu       sync.Mutex
	services map[string]*window
}

// Limits limits the retries of a service over all nodes together.
type Limits struct {
	Ratio  float64       // retries allowed for each request
	Slack  float64       // additional retries allowed in a window
	Window time.Duration // the time span over which the limit holds
}

// window holds the times of first sends and retries within the last Limits.Window.
type window struct {
	requests []time.Time
	retries  []time.Time
}

// window returns the window of a service and creates it if needed.
func (r *RetryBudget) window(service string) *window {
	if r.services == nil {
		r.services = make(map[string]*window)
	}
	w := r.services[service]
	if w == nil {
		w = &window{}
		r.services[service] = w
	}
	return w
}

// Request records the first send of a request.
func (r *RetryBudget) Request(now time.Time, service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.window(service)
	w.requests = append(dropBefore(w.requests, now.Add(-r.Limits().Window)), now)
}

// Take reports whether a request may be retried now, and if so counts the retry.
func (r *RetryBudget) Take(now time.Time, service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.window(service)
	if r.left(now, w) < 1 {
		return false
	}
	w.retries = append(w.retries, now)
	return true
}

// Return returns a retry that was taken and that no send has used.
func (r *RetryBudget) Return(service string, takenAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.window(service)
	if i := slices.IndexFunc(w.retries, takenAt.Equal); i >= 0 {
		w.retries = slices.Delete(w.retries, i, i+1)
	}
}

// RetryState is the state of this node's part of the budget of a service.
type RetryState struct {
	Requests int     // requests counted within the window
	Retries  int     // retries taken within the window
	Nodes    int     // nodes that share the budget
	Left     float64 // retries left, may be negative
}

// State returns the state of a service.
func (r *RetryBudget) State(now time.Time, service string) RetryState {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.window(service)
	left := r.left(now, w)
	return RetryState{Requests: len(w.requests), Retries: len(w.retries), Nodes: max(r.Nodes(), 1), Left: left}
}

// Left returns how many retries this node may make now, by service.
func (r *RetryBudget) Left(now time.Time) map[string]float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	left := make(map[string]float64, len(r.services))
	for service, w := range r.services {
		left[service] = r.left(now, w)
	}
	return left
}

// left returns how many retries this node may make in a window; the result may be negative.
func (r *RetryBudget) left(now time.Time, w *window) float64 {
	l := r.Limits()
	w.requests = dropBefore(w.requests, now.Add(-l.Window))
	w.retries = dropBefore(w.retries, now.Add(-l.Window))
	slack := usableFraction
	if age := r.age(); age < l.Window {
		slack = (1 - usableFraction) * age.Seconds() / l.Window.Seconds()
	}
	allowed := usableFraction*l.Ratio*float64(len(w.requests)) + slack*l.Slack/float64(max(r.Nodes(), 1))
	return allowed - float64(len(w.retries))
}

func (r *RetryBudget) age() time.Duration {
	if r.Age == nil {
		return math.MaxInt64
	}
	return r.Age()
}

// dropBefore drops the times before bound; times is sorted.
func dropBefore(times []time.Time, bound time.Time) []time.Time {
	i := 0
	for i < len(times) && times[i].Before(bound) {
		i++
	}
	return append(times[:0], times[i:]...)
}
