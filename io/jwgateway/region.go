package jwgateway

import (
	"slices"
	"sync"
	"time"
)

const (
	// maxWaitReportAge is how long a report of a region's waits counts.
	maxWaitReportAge = 3 * time.Second
	// defaultRoundTrip is the assumed round trip to another region until one was measured.
	defaultRoundTrip = 200 * time.Millisecond
)

// regionTable holds how long requests wait in other regions and the round trips to these.
type regionTable struct {
	mu         sync.Mutex
	waits      map[string]map[string]regionWait // by region and service
	roundTrips map[string]time.Duration
	sent       map[string][]sentPrompt // by region: requests that the reported waits don't include yet
}

// sentPrompt is the prompt of a request forwarded to another region.
type sentPrompt struct {
	service string
	tokens  int // prompt tokens that the region must read
	at      time.Time
}

type regionWait struct {
	wait     time.Duration // time until the first event of a request without a prompt
	eventGap time.Duration // time between two events
	at       time.Time
}

// merge merges the waits that a node of a region reports. All nodes of a region see nearly the same
// state, so the last report counts.
func (t *regionTable) merge(now time.Time, s state) {
	if len(s.Waits) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordWaits(s.Member.Region, now, s.Waits, s.Gaps)
}

// recordWaits records the waits that a region reported at the given time. t.mu must be held.
func (t *regionTable) recordWaits(region string, at time.Time, waits, gaps map[string]int64) {
	if t.waits == nil {
		t.waits = make(map[string]map[string]regionWait)
		t.sent = make(map[string][]sentPrompt)
	}
	// Requests that were still in flight when the node reported are not included in its report.
	reportedFrom := at.Add(-t.roundTripLocked(region))
	t.sent[region] = slices.DeleteFunc(t.sent[region], func(w sentPrompt) bool { return w.at.Before(reportedFrom) })
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

// waitFor returns the wait for a service in a region; false if it is not known.
func (t *regionTable) waitFor(now time.Time, region, service string) (regionWait, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w, ok := t.waits[region][service]
	if !ok || now.Sub(w.at) > maxWaitReportAge {
		return regionWait{}, false
	}
	return w, true
}

// recordRoundTrip records the duration of an exchange with a region. A shorter one counts at once,
// a longer one by a tenth.
func (t *regionTable) recordRoundTrip(region string, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.roundTrips == nil {
		t.roundTrips = make(map[string]time.Duration)
	}
	old, ok := t.roundTrips[region]
	if !ok || d < old {
		t.roundTrips[region] = d
		return
	}
	t.roundTrips[region] = old + (d-old)/10
}

// roundTrip returns the round trip to a region.
func (t *regionTable) roundTrip(region string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.roundTripLocked(region)
}

func (t *regionTable) roundTripLocked(region string) time.Duration {
	if d, ok := t.roundTrips[region]; ok {
		return d
	}
	return defaultRoundTrip
}

// recordSend records a request forwarded to a region.
func (t *regionTable) recordSend(now time.Time, region, service string, tokens int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sent != nil && tokens > 0 {
		t.sent[region] = append(t.sent[region], sentPrompt{service, tokens, now})
	}
}

// unreportedTokens returns the prompt tokens forwarded to a region that its reported wait does not
// include yet. Without them all requests of a second would go to the region that was free at its
// start, and wait there.
func (t *regionTable) unreportedTokens(region, service string) int {
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

// report returns what is known of the other regions, for nodes that report through this one.
func (t *regionTable) report(now time.Time) []regionReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []regionReport
	for region, services := range t.waits {
		r := regionReport{Region: region, RoundTrip: t.roundTripLocked(region).Milliseconds(), Waits: map[string]int64{}, Gaps: map[string]int64{}}
		for name, w := range services {
			if age := now.Sub(w.at); age <= maxWaitReportAge {
				r.Age = max(r.Age, age.Milliseconds())
				r.Waits[name], r.Gaps[name] = w.wait.Milliseconds(), w.eventGap.Milliseconds()
			}
		}
		if len(r.Waits) > 0 {
			list = append(list, r)
		}
	}
	return list
}

// mergeRelayed merges what a relay reports of the other regions.
func (t *regionTable) mergeRelayed(now time.Time, list []regionReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range list {
		if t.roundTrips == nil {
			t.roundTrips = make(map[string]time.Duration)
		}
		t.roundTrips[r.Region] = time.Duration(r.RoundTrip) * time.Millisecond
		t.recordWaits(r.Region, now.Add(-time.Duration(r.Age)*time.Millisecond), r.Waits, r.Gaps)
	}
}
