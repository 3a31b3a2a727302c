package jwledger

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// ReportKeys is how many keys of a service are named in a report.
	ReportKeys = 32
	// reportExpiry is how much older than the latest report another one may be to count. While no
	// report arrives, the last ones count whatever their age.
	reportExpiry = 3 * time.Second
	// sumInterval is how long the sum of the other nodes' reports is used before it is computed again.
	sumInterval = 250 * time.Millisecond
)

// Table is the ledger of a region as a node knows it: what it measures itself and what other nodes
// report. It is safe for concurrent use. The zero value is empty.
type Table struct {
	mu       sync.Mutex
	meters   map[string]*meter
	reports  map[string]received // by node, the last report of each
	reported *sum                // what this node last reported to the relay
	others   *sum                // cached sum of reports
	whole    *Report             // cached result of ForNode
	wholeAt  time.Time
}

// received is a report of another node.
type received struct {
	at     time.Time // when the oldest part of it was current
	report *Report
	sum    *sum
}

// sum adds up sketches by service.
type sum struct {
	at       time.Time // when it was computed
	nodes    int
	oldest   time.Time
	services map[string]*Sketch
}

// View is what a node knows of the demand for a service in its region.
type View struct {
	Sketch
	Nodes int           // number of nodes whose demand is included
	Age   time.Duration // of the oldest report included
}

// Merge records the report of another node of the region. A report that covers the whole region replaces
// all others; any other report replaces one that does.
func (t *Table) Merge(now time.Time, node string, r *Report) {
	if r == nil {
		return
	}
	x := receive(now, r)
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.Whole {
		t.reports = nil
	}
	if t.reports == nil {
		t.reports = make(map[string]received)
	}
	maps.DeleteFunc(t.reports, func(_ string, other received) bool {
		return other.report.Whole != r.Whole || x.at.Sub(other.at) > reportExpiry || other.at.After(now)
	})
	t.reports[node] = x
	if r.Whole {
		t.others = nil
	}
}

func receive(now time.Time, r *Report) received {
	at := now.Add(-time.Duration(max(r.Age, 0)) * time.Millisecond)
	x := received{at: at, report: r, sum: &sum{oldest: at, nodes: r.Nodes, services: make(map[string]*Sketch, len(r.Services))}}
	for i := range r.Services {
		x.sum.services[r.Services[i].Service] = r.Services[i].sketch(ReportKeys)
	}
	return x
}

// Local returns this node's own report.
func (t *Table) Local(now time.Time) *Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.measured(now)
	t.reported = s
	return s.report(now, ReportKeys)
}

// ForRelay returns the report for the relay of another data centre: what this node measured and what
// nodes report through it.
func (t *Table) ForRelay(now time.Time) *Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.measured(now)
	for _, x := range t.reports {
		if !x.report.FromRelay && !x.report.Whole {
			s.add(x.sum)
		}
	}
	r := s.report(now, ReportKeys)
	if r != nil {
		r.FromRelay = true
	}
	return r
}

// ForNode returns the report for the nodes that report through this one: that of all nodes, including
// what the receiver reported last.
func (t *Table) ForNode(now time.Time) *Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	age := now.Sub(t.wholeAt)
	if t.whole == nil || age < 0 || age >= sumInterval {
		t.whole, t.wholeAt, age = t.region(now).report(now, ReportKeys), now, 0
	}
	if t.whole == nil {
		return nil
	}
	r := *t.whole
	r.Whole = true
	r.Age += age.Milliseconds()
	return &r
}

// Region returns the demand for a service in the region.
func (t *Table) Region(now time.Time, service string) View {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.sumOthers(now)
	v := View{Sketch: Sketch{Size: ReportKeys}, Nodes: s.nodes + 1, Age: max(now.Sub(s.oldest), 0)}
	if k := s.services[service]; k != nil {
		v.merge(k)
	}
	if m := t.meters[service]; m != nil {
		v.merge(m.snapshot(now))
	}
	v.trim()
	return v
}

// measured returns what this node measured.
func (t *Table) measured(now time.Time) *sum {
	s := &sum{at: now, nodes: 1, oldest: now, services: make(map[string]*Sketch, len(t.meters))}
	for service, m := range t.meters {
		s.services[service] = m.snapshot(now)
	}
	return s
}

// region returns the sum of all nodes of the region.
func (t *Table) region(now time.Time) *sum {
	s := t.measured(now)
	s.add(t.sumOthers(now))
	return s
}

// sumOthers returns the sum of the reports of other nodes. A report of the whole region includes this
// node's last report, which is taken off.
func (t *Table) sumOthers(now time.Time) *sum {
	if t.others != nil {
		if age := now.Sub(t.others.at); age >= 0 && age < sumInterval {
			return t.others
		}
	}
	s := &sum{at: now, oldest: now, services: make(map[string]*Sketch)}
	whole := false
	for _, x := range t.reports {
		s.add(x.sum)
		whole = whole || x.report.Whole
	}
	if whole && t.reported != nil {
		s.subtract(t.reported)
	}
	for _, k := range s.services {
		k.trim()
	}
	t.others = s
	return s
}

func (s *sum) add(other *sum) {
	s.nodes += other.nodes
	if other.oldest.Before(s.oldest) {
		s.oldest = other.oldest
	}
	for service, k := range other.services {
		if s.services[service] == nil {
			s.services[service] = &Sketch{Size: ReportKeys}
		}
		s.services[service].merge(k)
	}
}

func (s *sum) subtract(other *sum) {
	s.nodes--
	for service, k := range other.services {
		if s.services[service] != nil {
			s.services[service].subtract(k)
		}
	}
}

// report returns the sum with a number of named keys for each service; nil if there is nothing.
func (s *sum) report(now time.Time, keys int) *Report {
	if len(s.services) == 0 {
		return nil
	}
	r := &Report{Nodes: s.nodes, Age: max(now.Sub(s.oldest), 0).Milliseconds()}
	for _, service := range slices.Sorted(maps.Keys(s.services)) {
		k := Sketch{Size: keys}
		k.Merge(s.services[service])
		r.Services = append(r.Services, newServiceReport(service, &k))
	}
	return r
}
