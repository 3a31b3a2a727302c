package jwquota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"jujubewheel/core/jwworkspace"
)

// fleet plays nodes that share quotas in virtual time: data centres in regions, links
// with delays that can be cut, nodes that start anew.
type fleet struct {
	rand       *rand.Rand
	now        time.Time
	bounds     Bounds
	quotas     map[string]jwworkspace.Quota
	nodes      []*simNode
	even       bool // nobody claims from anybody
	demand     bool // parts follow what each node asked for, as the others know it after a while
	reportedAt time.Time
	spent      []spending
	calls      int // between nodes
	units      int // entries in their messages
	queue      []message
	refuse     map[string]float64 // units refused, by workspace
	asked      map[string]float64
	ideal      map[string]*bucket // what one counter for all nodes would do
}

// bucket is a quota that one place keeps exactly.
type bucket struct {
	level   float64
	at      time.Time
	refused float64 // units
}

func (b *bucket) take(now time.Time, q jwworkspace.Quota, cost float64) bool {
	if b.at.IsZero() {
		b.level = q.Burst
	} else {
		b.level = min(b.level+q.Rate*now.Sub(b.at).Seconds(), q.Burst)
	}
	b.at = now
	if b.level < cost {
		b.refused += cost
		return false
	}
	b.level -= cost
	return true
}

type simNode struct {
	name       string
	dc, region int
	side       int // of a cut; nodes of different sides don't reach each other
	ledger     *Ledger
	epoch      int // rises when the node starts anew
	began      time.Time
	fresh      bool
	kicked     bool
	next       time.Time
	polled     time.Time
	asking     map[int]time.Time
	waiters    []simWaiter
	own        map[string]*bucket // of a node whose part follows its demand
	asked      map[string]*rate
	reported   map[string]float64 // its demand as the others know it
}

type simWaiter struct {
	w    *Waiter
	till time.Time
}

type spending struct {
	at        time.Time
	workspace string
	cost      float64
}

type message struct {
	at  time.Time
	run func()
}

const simStep = 5 * time.Millisecond

func newFleet(seed uint64, nodes, dcs, regions int, b Bounds, quotas map[string]jwworkspace.Quota) *fleet {
	f := &fleet{
		rand: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), bounds: b, quotas: quotas,
		refuse: map[string]float64{}, asked: map[string]float64{}, ideal: map[string]*bucket{},
	}
	for i := range nodes {
		n := &simNode{name: fmt.Sprintf("n%03d", i), dc: i % dcs, region: i % dcs % regions, asking: map[int]time.Time{}}
		f.nodes = append(f.nodes, n)
		f.restart(n)
	}
	return f
}

// restart starts a node anew with nothing.
func (f *fleet) restart(n *simNode) {
	n.epoch++
	n.fresh = n.began.IsZero() || f.now.Sub(n.began) >= f.bounds.Window
	n.began = f.now
	n.waiters, n.kicked, n.next = nil, false, f.now
	n.asking = map[int]time.Time{}
	n.ledger = &Ledger{
		Quota:  func(w string) jwworkspace.Quota { return f.quotas[w] },
		Bounds: func() Bounds { return f.bounds },
		Lacks:  func() { n.kicked = true },
	}
	f.place(n)
}

// relay returns the place of the relay of a data centre as a node sees it: the first
// that it reaches.
func (f *fleet) relay(n *simNode, dc int) int {
	for i, m := range f.nodes {
		if m.dc == dc && m.side == n.side {
			return i
		}
	}
	return -1
}

func (f *fleet) relays(n *simNode) []int {
	var list []int
	for dc := range f.nodes {
		if i := f.relay(n, dc); i >= 0 {
			list = append(list, i)
		}
	}
	return list
}

func (f *fleet) rootOf(n *simNode, workspace string) int {
	list := f.relays(n)
	return list[int(workspace[len(workspace)-1])%len(list)]
}

func (f *fleet) place(n *simNode) {
	live, group := 0, 0
	for _, m := range f.nodes {
		if m.side == n.side {
			live++
			if m.dc == n.dc {
				group++
			}
		}
	}
	p := Topology{FleetSize: len(f.nodes), Counted: true, Fresh: n.fresh, LiveNodes: live}
	if f.nodes[max(f.relay(n, n.dc), 0)] == n && !f.even {
		p.GroupSize = group
		p.IsRoot = func(w string) bool { return f.nodes[f.rootOf(n, w)] == n }
	}
	n.ledger.SetTopology(f.now, p)
}

func (f *fleet) delay(a, b *simNode) time.Duration {
	switch {
	case a.dc == b.dc:
		return time.Millisecond
	case a.region == b.region:
		return 4 * time.Millisecond
	}
	return 80 * time.Millisecond
}

// exchange lets a node claim from those above it.
func (f *fleet) exchange(n *simNode) {
	f.place(n)
	if f.even {
		return
	}
	poll := f.now.Sub(n.polled) >= time.Second
	if poll {
		n.polled = f.now
	}
	relay := f.relay(n, n.dc)
	if f.nodes[relay] != n {
		f.claim(n, relay, poll, func(string) bool { return true })
		return
	}
	for _, i := range f.relays(n) {
		if f.nodes[i] != n {
			f.claim(n, i, poll, func(w string) bool { return f.rootOf(n, w) == i })
		}
	}
}

func (f *fleet) claim(n *simNode, to int, poll bool, fits func(string) bool) {
	if f.now.Before(n.asking[to]) {
		return
	}
	claims := n.ledger.Claims(f.now, fits)
	if len(claims) == 0 && !poll {
		return
	}
	f.calls++
	f.units += len(claims)
	n.asking[to] = f.now.Add(40 * time.Millisecond)
	m, epoch, back := f.nodes[to], n.epoch, f.delay(n, f.nodes[to])
	f.send(back, func() {
		if n.side != m.side {
			return
		}
		grants := m.ledger.Answer(f.now, n.name, claims, poll)
		f.units += len(grants)
		f.send(back, func() {
			if n.epoch != epoch || n.side != m.side {
				return
			}
			n.asking[to] = time.Time{}
			n.ledger.ApplyGrants(f.now, grants)
		})
	})
}

func (f *fleet) send(after time.Duration, run func()) {
	at := f.now.Add(after)
	i := sort.Search(len(f.queue), func(i int) bool { return f.queue[i].at.After(at) })
	f.queue = slices.Insert(f.queue, i, message{at, run})
}

// ask lets a request ask at a node.
func (f *fleet) ask(i int, workspace string, cost float64, patience time.Duration) {
	n := f.nodes[i]
	if f.demand {
		defer f.askOwn(n, workspace, cost)
	}
	f.asked[workspace] += cost
	if f.ideal[workspace] == nil {
		f.ideal[workspace] = &bucket{}
	}
	f.ideal[workspace].take(f.now, f.quotas[workspace], cost)
	if f.demand {
		return
	}
	d := n.ledger.Take(f.now, workspace, cost)
	switch d.Outcome {
	case Taken:
		f.spent = append(f.spent, spending{f.now, workspace, cost})
	case Waits:
		n.waiters = append(n.waiters, simWaiter{d.Waiter, f.now.Add(patience)})
	default:
		f.refuse[workspace] += cost
	}
}

// askOwn asks at a node whose part of a quota follows its demand: half of all parts is
// even, the rest goes by what the nodes have reported.
func (f *fleet) askOwn(n *simNode, workspace string, cost float64) {
	if n.own == nil {
		n.own, n.asked, n.reported = map[string]*bucket{}, map[string]*rate{}, map[string]float64{}
	}
	if n.own[workspace] == nil {
		n.own[workspace], n.asked[workspace] = &bucket{}, &rate{}
	}
	n.asked[workspace].add(f.now, cost)
	total := 0.0
	for _, m := range f.nodes {
		total += m.reported[workspace]
	}
	part := 1 / float64(len(f.nodes))
	if total > 0 {
		part = part/2 + n.reported[workspace]/total/2
	}
	q := f.quotas[workspace]
	q.Rate, q.Burst = q.Rate*part, f.bounds.maxUnspent(q)*part
	if n.own[workspace].take(f.now, q, min(cost, q.Burst)) { // a request larger than the part takes all of it
		f.spent = append(f.spent, spending{f.now, workspace, cost})
	} else {
		f.refuse[workspace] += cost
	}
}

// report lets all nodes know what the others asked for until now.
func (f *fleet) report() {
	for _, n := range f.nodes {
		for w, r := range n.asked {
			n.reported[w] = r.current(f.now)
		}
	}
	f.calls += len(f.nodes)
}

// run plays some time; traffic is called at each step.
func (f *fleet) run(d time.Duration, traffic func()) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(simStep) {
		for len(f.queue) > 0 && !f.queue[0].at.After(f.now) {
			m := f.queue[0]
			f.queue = f.queue[1:]
			m.run()
		}
		if traffic != nil {
			traffic()
		}
		if f.demand {
			if f.now.Sub(f.reportedAt) >= time.Second {
				f.reportedAt = f.now
				f.report()
			}
			continue
		}
		for _, n := range f.nodes {
			f.settle(n)
			if n.kicked || !f.now.Before(n.next) {
				n.kicked = false
				n.next = f.now.Add(250 * time.Millisecond)
				if len(n.waiters) > 0 {
					n.next = f.now.Add(25 * time.Millisecond)
				}
				f.exchange(n)
			}
		}
	}
}

// settle counts the waiting requests that were served and ends the wait of others.
func (f *fleet) settle(n *simNode) {
	n.waiters = slices.DeleteFunc(n.waiters, func(x simWaiter) bool {
		served := x.w.granted
		if !served && f.now.Before(x.till) {
			return false
		}
		if !served {
			served = n.ledger.Leave(f.now, x.w).Outcome == Taken
		}
		if served {
			f.spent = append(f.spent, spending{f.now, x.w.workspace, x.w.cost})
		} else {
			f.refuse[x.w.workspace] += x.w.cost
		}
		return true
	})
}

// most returns the most units of a workspace that were spent in a window.
func (f *fleet) most(workspace string) float64 {
	var list []spending
	for _, s := range f.spent {
		if s.workspace == workspace {
			list = append(list, s)
		}
	}
	most, sum, first := 0.0, 0.0, 0
	for _, s := range list {
		sum += s.cost
		for s.at.Sub(list[first].at) > f.bounds.Window {
			sum -= list[first].cost
			first++
		}
		most = max(most, sum)
	}
	return most
}

// poisson draws how many requests come in a step at a rate a second.
func (f *fleet) poisson(rate float64) int {
	n, left := 0, f.rand.ExpFloat64()
	for x := rate * simStep.Seconds(); left < x; left += f.rand.ExpFloat64() {
		n++
	}
	return n
}
