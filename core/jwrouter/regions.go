package jwrouter

import (
	"sync"
	"time"
)

// DefaultMaxLoadAge is how long a region's word about its load is believed.
const DefaultMaxLoadAge = 10 * time.Second

// Load is what a region says of one of its services; it lags behind.
type Load struct {
	Region  string
	Service string
	Wait    time.Duration // expected wait of a new call for a slot
	Work    time.Duration // usual time of a call
	Free    float64       // share of slots free
	Slots   int           // calls that the region runs at once
	Targets int
	Taken   time.Time // when the region measured it

	sentSince int // calls this node sent there since
}

// wait adds the calls sent since the report to the wait it told of.
func (l *Load) wait() time.Duration {
	if l.Slots == 0 {
		return l.Wait
	}
	queued := float64(l.sentSince) - l.Free*float64(l.Slots)
	if queued <= 0 {
		return l.Wait
	}
	return l.Wait + time.Duration(queued/float64(l.Slots)*float64(l.Work))
}

// Link is the way between this region and another.
type Link struct {
	Delay time.Duration // one way
	Price float64       // of one request, in the unit of the entries' cost weight
}

// Regions holds what other regions say of their load. One mutex guards it, and
// no other lock is taken under it. A region that was not heard of for LoadFor
// is taken for cut off: nothing is sent there until it speaks again.
type Regions struct {
	Links      map[string]Link
	MaxLoadAge time.Duration

	mu         sync.Mutex
	localNodes int               // of this region, which send away as this one does
	reports    map[string][]Load // by service
}

// Merge takes over a region's report unless a newer one is known.
func (t *Regions) Merge(load Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.reports == nil {
		t.reports = make(map[string][]Load)
	}
	list := t.reports[load.Service]
	for i := range list {
		if list[i].Region != load.Region {
			continue
		}
		if load.Taken.After(list[i].Taken) {
			list[i] = load
		}
		return
	}
	t.reports[load.Service] = append(list, load)
}

// SetNodes takes over how many nodes of this region send requests away; each
// takes the others to send as many as it does itself.
func (t *Regions) SetNodes(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.localNodes = n
}

// Sent notes a request sent away. Without it, every request of the time
// between two reports would go to the region that last said it was idle.
func (t *Regions) Sent(region, service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := t.reports[service]
	for i := range list {
		if list[i].Region == region {
			list[i].sentSince += max(t.localNodes, 1)
		}
	}
}

// loads appends the words about a service that are still believed to out.
func (t *Regions) loads(service string, now time.Time, out []Load) []Load {
	if t == nil {
		return out
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range t.reports[service] {
		if now.Sub(l.Taken) <= orDefault(t.MaxLoadAge, DefaultMaxLoadAge) {
			out = append(out, l)
		}
	}
	return out
}

// Loads returns the words about a service that are still believed.
func (t *Regions) Loads(service string, now time.Time) []Load {
	return t.loads(service, now, nil)
}

// link returns the way to a region; an unknown one is taken for long.
func (t *Regions) link(region string) Link {
	if t == nil {
		return defaultLink
	}
	if l, known := t.Links[region]; known {
		return l
	}
	return defaultLink
}

var defaultLink = Link{Delay: 100 * time.Millisecond, Price: 1}
