package jwgateway

import (
	"slices"
	"sync"
	"time"
)

const (
	// waitAge is how long a region's wait is believed.
	waitAge = 3 * time.Second
	// firstTrip is the time to another region and back until it was measured.
	firstTrip = 200 * time.Millisecond
)

// regionTable holds how long requests wait in other regions and how far those
// are.
type regionTable struct {
	mu    sync.Mutex
	waits map[string]map[string]regionWait // by region and service
	trips map[string]time.Duration
	sent  map[string][]sentWork // by region, what the waits don't tell yet
}

// sentWork is a request passed on to another region.
type sentWork struct {
	service string
	tokens  int // of its prompt that are read there
	at      time.Time
}

type regionWait struct {
	wait time.Duration // until a first event without a prompt
	gap  time.Duration // between two events
	at   time.Time
}

// heard takes the waits that a node of a region sees; the nodes of a region
// see nearly the same, so the last one counts.
func (t *regionTable) heard(now time.Time, s state) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.waits == nil {
		t.waits = make(map[string]map[string]regionWait)
		t.sent = make(map[string][]sentWork)
	}
	// What was on its way when the node spoke is not in its word.
	seen := now.Add(-t.tripTo(s.Member.Region))
	t.sent[s.Member.Region] = slices.DeleteFunc(t.sent[s.Member.Region], func(w sentWork) bool { return w.at.Before(seen) })
	services := t.waits[s.Member.Region]
	if services == nil {
		services = make(map[string]regionWait)
		t.waits[s.Member.Region] = services
	}
	for name, ms := range s.Waits {
		services[name] = regionWait{
			time.Duration(ms) * time.Millisecond, time.Duration(s.Gaps[name]) * time.Millisecond, now,
		}
	}
}

// expect returns the wait for a service in a region; false if it isn't known.
func (t *regionTable) expect(now time.Time, region, service string) (regionWait, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w, ok := t.waits[region][service]
	if !ok || now.Sub(w.at) > waitAge {
		return regionWait{}, false
	}
	return w, true
}

// tripped notes how long an exchange with a region took.
func (t *regionTable) tripped(region string, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.trips == nil {
		t.trips = make(map[string]time.Duration)
	}
	old, ok := t.trips[region]
	if !ok || d < old {
		t.trips[region] = d
		return
	}
	t.trips[region] = old + (d-old)/10
}

// trip returns the time to a region and back.
func (t *regionTable) trip(region string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.tripTo(region)
}

func (t *regionTable) tripTo(region string) time.Duration {
	if d, ok := t.trips[region]; ok {
		return d
	}
	return firstTrip
}

// send notes a request passed on to a region.
func (t *regionTable) send(now time.Time, region, service string, tokens int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sent != nil && tokens > 0 {
		t.sent[region] = append(t.sent[region], sentWork{service, tokens, now})
	}
}

// unseen returns the prompt tokens passed on to a region that its wait does
// not tell yet. Without them all requests of a second go to the region that
// was free at its beginning, and wait there.
func (t *regionTable) unseen(region, service string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	tokens := 0
	for _, w := range t.sent[region] {
		if w.service == service {
			tokens += w.tokens
		}
	}
	return tokens
}
