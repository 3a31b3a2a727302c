package jwgateway

import (
	"slices"
	"sync"
	"time"
)

const (
	// waitAge is how long a report of a region's wait counts.
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
	sent  map[string][]sentWork // by region, what the waits don't include yet
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

// merge takes the waits that a node of a region reports; the nodes of a region
// see nearly the same, so the last one counts.
func (t *regionTable) merge(now time.Time, s state) {
	if len(s.Waits) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.take(s.Member.Region, now, s.Waits, s.Gaps)
}

// take keeps what a region reported at a time.
func (t *regionTable) take(region string, at time.Time, waits, gaps map[string]int64) {
	if t.waits == nil {
		t.waits = make(map[string]map[string]regionWait)
		t.sent = make(map[string][]sentWork)
	}
	// What was on its way when the node reported is not in its report.
	seen := at.Add(-t.tripTo(region))
	t.sent[region] = slices.DeleteFunc(t.sent[region], func(w sentWork) bool { return w.at.Before(seen) })
	services := t.waits[region]
	if services == nil {
		services = make(map[string]regionWait)
		t.waits[region] = services
	}
	for name, ms := range waits {
		services[name] = regionWait{
			time.Duration(ms) * time.Millisecond, time.Duration(gaps[name]) * time.Millisecond, at,
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

// noteTrip notes how long an exchange with a region took.
func (t *regionTable) noteTrip(region string, d time.Duration) {
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
// not include yet. Without them all requests of a second go to the region that
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

// report returns what is known of the other regions, for nodes that report through this
// one.
func (t *regionTable) report(now time.Time) []regionReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []regionReport
	for region, services := range t.waits {
		f := regionReport{Region: region, Trip: t.tripTo(region).Milliseconds(), Waits: map[string]int64{}, Gaps: map[string]int64{}}
		for name, w := range services {
			if age := now.Sub(w.at); age <= waitAge {
				f.Age = max(f.Age, age.Milliseconds())
				f.Waits[name], f.Gaps[name] = w.wait.Milliseconds(), w.gap.Milliseconds()
			}
		}
		if len(f.Waits) > 0 {
			list = append(list, f)
		}
	}
	return list
}

// mergeRelayed takes what a relay knows of the other regions.
func (t *regionTable) mergeRelayed(now time.Time, list []regionReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, f := range list {
		if t.trips == nil {
			t.trips = make(map[string]time.Duration)
		}
		t.trips[f.Region] = time.Duration(f.Trip) * time.Millisecond
		t.take(f.Region, now.Add(-time.Duration(f.Age)*time.Millisecond), f.Waits, f.Gaps)
	}
}
