package jwrouter

import (
	"sync"
	"time"
)

// DefaultMaxLoadAge is how long the report of a region about its load is used.
const DefaultMaxLoadAge = 10 * time.Second

// Load is the report of a region about one of its services. It is always
// somewhat out of date.
type Load struct {
	Region   string
	Service  string
	Wait     time.Duration // expected time that a new call waits for a slot
	CallTime time.Duration // usual duration of a call
	Free     float64       // fraction of the slots that are free
	Slots    int           // number of calls that the region runs at the same time
	Targets  int
	Taken    time.Time // when the region measured it

	sentSince int // calls sent there since the report, by this node and, as estimated, by the other nodes of its region
}

// wait returns the reported wait, increased by the calls sent there since the
// report.
func (l *Load) wait() time.Duration {
	if l.Slots == 0 {
		return l.Wait
	}
	queued := float64(l.sentSince) - l.Free*float64(l.Slots)
	if queued <= 0 {
		return l.Wait
	}
	return l.Wait + time.Duration(queued/float64(l.Slots)*float64(l.CallTime))
}

// Link describes the network link between this region and another.
type Link struct {
	Delay time.Duration // one way
	Price float64       // of one request, in the unit of the entries' cost weight
}

// Regions holds the load reports of other regions. One mutex guards it, and no
// other lock is taken while it is held. A region without a report for
// MaxLoadAge is considered unreachable: nothing is sent there until it reports
// again.
type Regions struct {
	Links      map[string]Link // by region
	MaxLoadAge time.Duration   // DefaultMaxLoadAge if 0

	mu         sync.Mutex
	localNodes int               // nodes of this region, assumed to send as many requests as this one
	reports    map[string][]Load // by service
}

// Merge stores the report of a region unless a newer one is stored.
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

// SetLocalNodes sets how many nodes of this region send requests to other regions.
// Each node assumes that the others send as many as it does itself.
func (t *Regions) SetLocalNodes(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.localNodes = n
}

// RecordSent counts a request that was sent to another region. Without it, all
// requests between two reports would go to the region that last reported that
// it was idle.
func (t *Regions) RecordSent(region, service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := t.reports[service]
	for i := range list {
		if list[i].Region == region {
			list[i].sentSince += max(t.localNodes, 1)
		}
	}
}

// loads appends the reports about a service that are not too old to out.
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

// Loads returns the reports about a service that are not older than MaxLoadAge.
func (t *Regions) Loads(service string, now time.Time) []Load {
	return t.loads(service, now, nil)
}

// link returns the link to a region; an unknown one is assumed to be long.
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
