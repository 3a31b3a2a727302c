package jwbudget

import (
	"sync"
	"time"
)

// usableFraction is the part of the shared budget that is used at most: windows slide
// and a request may be counted at another node than its repeat.
const usableFraction = 0.6

// Retry is the budget of sends beyond the first of each request, by service.
// Set its fields before use.
type Retry struct {
	Limits func() Limits
	Nodes  func() int // nodes there may be, this one included

	mu       sync.Mutex
	services map[string]*window
}

// Limits bound the repeats of a service over all nodes.
type Limits struct {
	Ratio  float64       // repeats allowed for each request
	Slack  float64       // repeats allowed in a window besides
	Window time.Duration // the span that the bound holds for
}

// window keeps what happened in the last span.
type window struct {
	requests []time.Time
	repeats  []time.Time
}

func (r *Retry) window(service string) *window {
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

// Request notes the first send of a request.
func (r *Retry) Request(now time.Time, service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.window(service)
	w.requests = append(dropBefore(w.requests, now.Add(-r.Limits().Window)), now)
}

// Take reports whether a request may be sent once more, and counts it.
func (r *Retry) Take(now time.Time, service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.window(service)
	if r.left(now, w) < 1 {
		return false
	}
	w.repeats = append(w.repeats, now)
	return true
}

// Left returns how many repeats this node may make now, by service.
func (r *Retry) Left(now time.Time) map[string]float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	left := make(map[string]float64, len(r.services))
	for service, w := range r.services {
		left[service] = r.left(now, w)
	}
	return left
}

func (r *Retry) left(now time.Time, w *window) float64 {
	l := r.Limits()
	w.requests = dropBefore(w.requests, now.Add(-l.Window))
	w.repeats = dropBefore(w.repeats, now.Add(-l.Window))
	allowed := usableFraction * (l.Ratio*float64(len(w.requests)) + l.Slack/float64(max(r.Nodes(), 1)))
	return allowed - float64(len(w.repeats))
}

// dropBefore drops the times before a bound; times rise.
func dropBefore(times []time.Time, bound time.Time) []time.Time {
	i := 0
	for i < len(times) && times[i].Before(bound) {
		i++
	}
	return append(times[:0], times[i:]...)
}
