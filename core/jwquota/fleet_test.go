package jwquota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"jujubewheel/core/jwworkspace"
)

// fleet simulates nodes that share quotas, in virtual time: data centres in regions,
// links with delays, network partitions and restarts of nodes.
type fleet struct {
	rand           *rand.Rand
	now            time.Time
	bounds         Bounds
	quotas         map[string]jwworkspace.Quota
	nodes          []*simNode
	byUrgency      bool // requests of less than urgentCost units are urgent, others are not
	equalShares    bool // each node spends its equal share and claims nothing
	demandShares   bool // a node's share follows its demand, as last reported to the others
	reportedAt     time.Time
	spent          []spending
	calls          int // number of calls between nodes
	entries        int // number of claims and grants in their messages
	queue          []message
	rejectedUnits  map[string]float64 // by workspace
	requestedUnits map[string]float64
	// The parts of them that are urgent, for byUrgency.
	rejectedUrgent, requestedUrgent map[string]float64
	ideal                           map[string]*bucket // one counter for all nodes, by workspace, for comparison
}

// bucket is a token bucket for the requests of one workspace.
type bucket struct {
	level    float64
	at       time.Time
	rejected float64 // units
}

func (b *bucket) take(now time.Time, q jwworkspace.Quota, cost float64) bool {
	if b.at.IsZero() {
		b.level = q.Burst
	} else {
		b.level = min(b.level+q.Rate*now.Sub(b.at).Seconds(), q.Burst)
	}
	b.at = now
	if b.level < cost {
		b.rejected += cost
		return false
	}
	b.level -= cost
	return true
}

type simNode struct {
	name         string
	dc, region   int
	partition    int // nodes of different partitions can't reach each other
	ledger       *Ledger
	epoch        int // incremented when the node restarts
	startedAt    time.Time
	fresh        bool
	wakePending  bool
	nextExchange time.Time
	lastPoll     time.Time
	callTimeouts map[int]time.Time
	waiters      []simWaiter
	buckets      map[string]*bucket // by workspace, for demandShares
	demands      map[string]*rate
	reported     map[string]float64 // its demands as last reported to the others
}

type simWaiter struct {
	w        *Waiter
	deadline time.Time
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
		rejectedUnits: map[string]float64{}, requestedUnits: map[string]float64{}, rejectedUrgent: map[string]float64{}, requestedUrgent: map[string]float64{}, ideal: map[string]*bucket{},
	}
	for i := range nodes {
		n := &simNode{name: fmt.Sprintf("n%03d", i), dc: i % dcs, region: i % dcs % regions, callTimeouts: map[int]time.Time{}}
		f.nodes = append(f.nodes, n)
		f.restart(n)
	}
	return f
}

// restart replaces a node's process by a new one without units.
func (f *fleet) restart(n *simNode) {
	n.epoch++
	n.fresh = n.startedAt.IsZero() || f.now.Sub(n.startedAt) >= f.bounds.Window
	n.startedAt = f.now
	n.waiters, n.wakePending, n.nextExchange = nil, false, f.now
	n.callTimeouts = map[int]time.Time{}
	n.ledger = &Ledger{
		Quota:      func(w string) jwworkspace.Quota { return f.quotas[w] },
		Bounds:     func() Bounds { return f.bounds },
		OnShortage: func() { n.wakePending = true },
	}
	f.updateTopology(n)
}

// relayIndex returns the index of the relay of a data centre as a node sees it: the first
// node there that it can reach, or -1.
func (f *fleet) relayIndex(n *simNode, dc int) int {
	for i, m := range f.nodes {
		if m.dc == dc && m.partition == n.partition {
			return i
		}
	}
	return -1
}

func (f *fleet) relays(n *simNode) []int {
	var list []int
	for dc := range f.nodes {
		if i := f.relayIndex(n, dc); i >= 0 {
			list = append(list, i)
		}
	}
	return list
}

func (f *fleet) rootOf(n *simNode, workspace string) int {
	list := f.relays(n)
	return list[int(workspace[len(workspace)-1])%len(list)]
}

func (f *fleet) updateTopology(n *simNode) {
	live, group := 0, 0
	for _, m := range f.nodes {
		if m.partition == n.partition {
			live++
			if m.dc == n.dc {
				group++
			}
		}
	}
	topo := Topology{FleetSize: len(f.nodes), Counted: true, NoRecentPredecessor: n.fresh, LiveNodes: live}
	if f.nodes[max(f.relayIndex(n, n.dc), 0)] == n && !f.equalShares {
		topo.GroupSize = group
		topo.IsRoot = func(w string) bool { return f.nodes[f.rootOf(n, w)] == n }
	}
	n.ledger.SetTopology(f.now, topo)
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

// exchange lets a node claim from its relay or, if it is a relay, from the other relays.
func (f *fleet) exchange(n *simNode) {
	f.updateTopology(n)
	if f.equalShares {
		return
	}
	poll := f.now.Sub(n.lastPoll) >= time.Second
	if poll {
		n.lastPoll = f.now
	}
	relay := f.relayIndex(n, n.dc)
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

func (f *fleet) claim(n *simNode, to int, poll bool, filter func(string) bool) {
	if f.now.Before(n.callTimeouts[to]) {
		return
	}
	claims := n.ledger.Claims(f.now, filter)
	if len(claims) == 0 && !poll {
		return
	}
	f.calls++
	f.entries += len(claims)
	n.callTimeouts[to] = f.now.Add(40 * time.Millisecond)
	m, epoch, oneWay := f.nodes[to], n.epoch, f.delay(n, f.nodes[to])
	f.send(oneWay, func() {
		if n.partition != m.partition {
			return
		}
		grants := m.ledger.Answer(f.now, n.name, claims, poll)
		f.entries += len(grants)
		f.send(oneWay, func() {
			if n.epoch != epoch || n.partition != m.partition {
				return
			}
			n.callTimeouts[to] = time.Time{}
			n.ledger.ApplyGrants(f.now, grants)
		})
	})
}

func (f *fleet) send(after time.Duration, run func()) {
	at := f.now.Add(after)
	i := sort.Search(len(f.queue), func(i int) bool { return f.queue[i].at.After(at) })
	f.queue = slices.Insert(f.queue, i, message{at, run})
}

// request sends a request that costs units to node i. It waits at most maxWait for its
// units.
func (f *fleet) request(i int, workspace string, cost float64, maxWait time.Duration) {
	n := f.nodes[i]
	if f.demandShares {
		defer f.requestDemandShare(n, workspace, cost)
	}
	f.requestedUnits[workspace] += cost
	if f.ideal[workspace] == nil {
		f.ideal[workspace] = &bucket{}
	}
	f.ideal[workspace].take(f.now, f.quotas[workspace], cost)
	if f.demandShares {
		return
	}
	d := f.take(n, workspace, cost)
	switch d.Outcome {
	case Taken:
		f.spent = append(f.spent, spending{f.now, workspace, cost})
	case Waits:
		n.waiters = append(n.waiters, simWaiter{d.Waiter, f.now.Add(maxWait)})
	default:
		f.rejectedUnits[workspace] += cost
		if f.byUrgency && cost < urgentCost {
			f.rejectedUrgent[workspace] += cost
		}
	}
}

// urgentCost is the cost below which a request is urgent.
const urgentCost = 1500

func (f *fleet) take(n *simNode, workspace string, cost float64) Decision {
	if !f.byUrgency {
		return n.ledger.Take(f.now, workspace, cost)
	}
	level := 2
	if cost < urgentCost {
		f.requestedUrgent[workspace] += cost
		level = 0
	}
	return n.ledger.TakeByUrgency(f.now, workspace, cost, level)
}

// requestDemandShare requests units at a node whose share of a quota follows its demand:
// half of the quota is shared equally, the other half by the demands that the nodes reported.
func (f *fleet) requestDemandShare(n *simNode, workspace string, cost float64) {
	if n.buckets == nil {
		n.buckets, n.demands, n.reported = map[string]*bucket{}, map[string]*rate{}, map[string]float64{}
	}
	if n.buckets[workspace] == nil {
		n.buckets[workspace], n.demands[workspace] = &bucket{}, &rate{}
	}
	n.demands[workspace].add(f.now, cost)
	total := 0.0
	for _, m := range f.nodes {
		total += m.reported[workspace]
	}
	share := 1 / float64(len(f.nodes))
	if total > 0 {
		share = share/2 + n.reported[workspace]/total/2
	}
	q := f.quotas[workspace]
	q.Rate, q.Burst = q.Rate*share, f.bounds.maxUnspent(q)*share
	if n.buckets[workspace].take(f.now, q, min(cost, q.Burst)) { // a request larger than the share takes all of it
		f.spent = append(f.spent, spending{f.now, workspace, cost})
	} else {
		f.rejectedUnits[workspace] += cost
	}
}

// reportDemands reports the current demands of each node to all others.
func (f *fleet) reportDemands() {
	for _, n := range f.nodes {
		for w, r := range n.demands {
			n.reported[w] = r.current(f.now)
		}
	}
	f.calls += len(f.nodes)
}

// run simulates the given time; traffic is called at each step and may be nil.
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
		if f.demandShares {
			if f.now.Sub(f.reportedAt) >= time.Second {
				f.reportedAt = f.now
				f.reportDemands()
			}
			continue
		}
		for _, n := range f.nodes {
			f.settleWaiters(n)
			if n.wakePending || !f.now.Before(n.nextExchange) {
				n.wakePending = false
				n.nextExchange = f.now.Add(250 * time.Millisecond)
				if len(n.waiters) > 0 {
					n.nextExchange = f.now.Add(25 * time.Millisecond)
				}
				f.exchange(n)
			}
		}
	}
}

// settleWaiters records the waiting requests of a node that were granted their units, and
// ends the wait of those whose deadline has passed.
func (f *fleet) settleWaiters(n *simNode) {
	n.waiters = slices.DeleteFunc(n.waiters, func(x simWaiter) bool {
		granted := x.w.granted
		if !granted && f.now.Before(x.deadline) {
			return false
		}
		if !granted {
			granted = n.ledger.CancelWait(f.now, x.w).Outcome == Taken
		}
		if granted {
			f.spent = append(f.spent, spending{f.now, x.w.workspace, x.w.cost})
		} else {
			f.rejectedUnits[x.w.workspace] += x.w.cost
		}
		return true
	})
}

// maxSpent returns the maximum of a workspace's units that were spent in any window.
func (f *fleet) maxSpent(workspace string) float64 {
	var list []spending
	for _, s := range f.spent {
		if s.workspace == workspace {
			list = append(list, s)
		}
	}
	maxUnits, sum, first := 0.0, 0.0, 0
	for _, s := range list {
		sum += s.cost
		for s.at.Sub(list[first].at) > f.bounds.Window {
			sum -= list[first].cost
			first++
		}
		maxUnits = max(maxUnits, sum)
	}
	return maxUnits
}

// poisson draws the number of requests that arrive in a step, from their rate a second.
func (f *fleet) poisson(rate float64) int {
	n, left := 0, f.rand.ExpFloat64()
	for x := rate * simStep.Seconds(); left < x; left += f.rand.ExpFloat64() {
		n++
	}
	return n
}
