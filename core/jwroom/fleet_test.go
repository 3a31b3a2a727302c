package jwroom

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	tick           = 10 * ms
	reportInterval = 100 * ms
	reportMaxAge   = time.Second // how long the load of a report counts
)

// fleet is nodes that send to one target, and the reports between them, in virtual time.
type fleet struct {
	room  Room
	now   time.Time
	rand  *rand.Rand
	nodes []*simNode
	delay time.Duration // longest transmission time of a report
	lost  func(from, to int) bool
}

type simNode struct {
	lease    Lease
	calls    int
	open     int         // of these at most, those that the part did not allow
	sentAt   []time.Time // when the last report to each other node left
	sent     []int       // calls in it
	arrives  []time.Time // when it arrives, zero if none is on its way
	reported []report    // last report received from each other node
	paused   bool
}

type report struct {
	calls int
	at    time.Time // arrival, zero if none
}

func newFleet(n, slots int, delay time.Duration, seed uint64) *fleet {
	f := &fleet{room: Room{Slots: slots}, now: start, delay: delay, rand: rand.New(rand.NewPCG(seed, 0)), lost: func(int, int) bool { return false }}
	for range n {
		f.nodes = append(f.nodes, &simNode{
			sentAt: make([]time.Time, n), sent: make([]int, n), arrives: make([]time.Time, n), reported: make([]report, n),
		})
	}
	return f
}

// exchange delivers the reports that arrive and sends those that are due. As between nodes, the
// next report to a node leaves once the last one has arrived.
func (f *fleet) exchange() {
	for i, x := range f.nodes {
		for j, y := range f.nodes {
			if i == j || x.paused {
				continue
			}
			if !x.arrives[j].IsZero() && !f.now.Before(x.arrives[j]) && !y.paused {
				x.arrives[j] = time.Time{}
				if !f.lost(i, j) {
					y.reported[i] = report{x.sent[j], f.now}
				}
			}
			if x.arrives[j].IsZero() && f.now.Sub(x.sentAt[j]) >= reportInterval {
				x.lease.Reported(Use{Calls: x.calls})
				x.sent[j], x.sentAt[j] = x.calls, f.now
				x.arrives[j] = f.now.Add(time.Duration(f.rand.Int64N(int64(f.delay) + 1)))
			}
		}
	}
}

func (f *fleet) view(i int) View {
	x := f.nodes[i]
	v := View{Own: Use{Calls: x.calls}, Rounds: 2, Nodes: len(f.nodes)}
	for j, r := range x.reported {
		age := f.now.Sub(r.at)
		if j == i {
			continue
		}
		if !r.at.IsZero() && age < reportMaxAge {
			v.Others.Calls += r.calls
			if age >= LeaseTime {
				v.Silent.Calls += r.calls
			}
		}
		if r.at.IsZero() || age >= LeaseTime {
			v.Missing++
		} else if v.ReportedAt.IsZero() || r.at.Before(v.ReportedAt) {
			v.ReportedAt = r.at
		}
	}
	return v
}

// start starts up to want calls at a node, as far as its part allows.
func (f *fleet) start(i, want int) {
	x := f.nodes[i]
	for range want {
		v := f.view(i)
		x.lease.Renew(f.now, f.room, v, f.rand.Float64())
		if x.paused || !x.lease.Allows(Use{Calls: x.calls}, v.Others) {
			return
		}
		if x.calls >= x.lease.part.Calls {
			x.open++
		}
		x.calls++
	}
}

// leased returns the calls in flight and those that the nodes' parts still allow.
func (f *fleet) leased() (n int) {
	for _, x := range f.nodes {
		n += x.calls
		if f.now.Sub(x.lease.at) < LeaseTime {
			n += max(x.lease.part.Calls-x.calls, 0)
		}
	}
	return n
}

// slack is by how much the calls in flight and those that are still allowed may exceed a room: by
// what the nodes could take before they saw each other's calls, and one call of each node, which
// rounds up. Calls that nodes started beyond their parts, at a little used target, come on top.
func (f *fleet) slack(rounds int) int {
	open := 0
	for _, x := range f.nodes {
		x.open = min(x.open, max(x.calls, x.lease.part.Calls)) // slots of ended calls stay the node's until its next report
		open += x.open
	}
	return f.room.Slots/rounds + len(f.nodes) + open
}

// However calls start and end, and whichever reports are late or lost and whichever nodes are
// paused, the parts never exceed the room by more than the slack.
func TestRoomIsNotExceeded(t *testing.T) {
	cases := map[string]struct {
		delay, lossPercent, pausePercent int
	}{
		"reports at once":      {},
		"late reports":         {delay: 400},
		"lost reports":         {lossPercent: 30},
		"late and lost":        {delay: 200, lossPercent: 30},
		"paused nodes":         {pausePercent: 5},
		"all of these at once": {delay: 300, lossPercent: 30, pausePercent: 5},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				n, slots := rapid.IntRange(1, 8).Draw(t, "nodes"), rapid.IntRange(1, 60).Draw(t, "slots")
				f := newFleet(n, slots, time.Duration(c.delay)*ms, rapid.Uint64().Draw(t, "seed"))
				f.lost = func(int, int) bool { return f.rand.IntN(100) < c.lossPercent }
				demand := rapid.IntRange(1, 6).Draw(t, "demand")
				for range 120 {
					f.now = f.now.Add(tick)
					for i, x := range f.nodes {
						switch f.rand.IntN(6) {
						case 0:
							x.calls -= f.rand.IntN(x.calls + 1)
						case 1:
							x.paused = f.rand.IntN(100) < c.pausePercent
						default:
							f.start(i, f.rand.IntN(demand*slots/6+1))
						}
					}
					f.exchange()
					if over := f.leased() - slots; over > f.slack(2) {
						t.Fatalf("%d calls too many at %d nodes with %d slots", over, n, slots)
					}
				}
			})
		})
	}
}

// run runs the fleet for d with calls that hold a slot for the given time and unlimited demand at
// the nodes of demand, and returns the mean number of calls in flight over the last half.
func (f *fleet) run(d time.Duration, holdTicks int, demand ...int) float64 {
	sum, n := 0, 0
	for at := time.Duration(0); at < d; at += tick {
		f.now = f.now.Add(tick)
		for _, x := range f.nodes {
			for range x.calls {
				if f.rand.IntN(holdTicks) == 0 {
					x.calls--
				}
			}
		}
		for _, i := range demand {
			f.start(i, f.room.Slots)
		}
		f.exchange()
		if at >= d/2 {
			for _, x := range f.nodes {
				sum += x.calls
			}
			n++
		}
	}
	return float64(sum) / float64(n)
}

// A division that leaves slots idle while requests wait would cost more than it saves.
func TestDemandFillsTheSlots(t *testing.T) {
	cases := map[string]struct {
		nodes  int
		demand []int
	}{
		"one node":          {1, []int{0}},
		"all of few nodes":  {3, []int{0, 1, 2}},
		"one of few nodes":  {3, []int{0}},
		"all of many nodes": {8, []int{0, 1, 2, 3, 4, 5, 6, 7}},
		"two of many nodes": {8, []int{0, 1}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(c.nodes, 32, 20*ms, 1)
			f.room.Queue = 8
			if busy := f.run(20*time.Second, 100, c.demand...); busy < 32 {
				t.Errorf("%.1f calls in flight at 32 slots", busy)
			}
		})
	}
}

// Nodes that are cut off keep their equal parts of the room and no more, and one that was killed
// gives its part to the others once its registration is gone.
func TestFailures(t *testing.T) {
	cases := map[string]struct {
		lost  func(from, to int) bool
		limit int // of the calls of node 0, which alone has demand
	}{
		"cut off both ways":        {func(int, int) bool { return true }, 10},
		"hears no other":           {func(_, to int) bool { return to == 0 }, 10},
		"no other hears it":        {func(from, _ int) bool { return from == 0 }, 40},
		"one other is dead or cut": {func(from, _ int) bool { return from == 3 }, 30},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(4, 40, 0, 1)
			f.lost = c.lost
			f.run(10*time.Second, 1000, 0)
			if got := f.nodes[0].calls; got > c.limit || got < c.limit*3/4 {
				t.Errorf("%d calls, want up to %d", got, c.limit)
			}
		})
	}
}

// Reports that came three seconds ago say nothing of the room; a node then keeps to its equal part.
func TestOldView(t *testing.T) {
	f := newFleet(4, 40, 0, 1)
	f.run(time.Second, 1000, 0)
	f.lost = func(int, int) bool { return true }
	for _, x := range f.nodes {
		x.calls = 0
	}
	f.run(3*time.Second, 1000, 1)
	if got := f.nodes[1].calls; got > 10 {
		t.Errorf("%d calls, want up to 10", got)
	}
}

// runGrants is run for the other way to divide a room: the target's owner grants slots. A release
// and a grant take half a round trip each, and the owner grants nothing while it is down.
func (f *fleet) runGrants(d time.Duration, holdTicks int, roundTrip, down time.Duration, demand ...int) float64 {
	free, sum, n := f.room.Slots+f.room.Queue, 0, 0
	var released []time.Time // when the owner gets to know that a call has ended, plus the way of the grant
	begin := f.now
	for at := time.Duration(0); at < d; at += tick {
		f.now = f.now.Add(tick)
		for _, x := range f.nodes {
			for range x.calls {
				if f.rand.IntN(holdTicks) == 0 {
					x.calls--
					released = append(released, f.now.Add(roundTrip))
				}
			}
		}
		for len(released) > 0 && !f.now.Before(released[0]) {
			released = released[1:]
			free++
		}
		for ; free > 0 && f.now.Sub(begin) > down; free-- {
			f.nodes[demand[f.rand.IntN(len(demand))]].calls++
		}
		if at >= d/2 {
			for _, x := range f.nodes {
				sum += x.calls
			}
			n++
		}
	}
	return float64(sum) / float64(n)
}

// Both ways keep the slots busy while nodes have more demand than the target has slots; the
// division needs the queue for it, and no round trip before a call.
func TestDivisionAgainstGrants(t *testing.T) {
	for _, queue := range []int{0, 4, 8} {
		for _, demand := range [][]int{{0}, {0, 1, 2, 3, 4, 5}} {
			division, grants, late := newFleet(6, 32, 20*ms, 1), newFleet(6, 32, 0, 1), newFleet(6, 32, 0, 1)
			for _, f := range []*fleet{division, grants, late} {
				f.room.Queue = queue
			}
			busy := division.run(20*time.Second, 100, demand...)
			granted := grants.runGrants(20*time.Second, 100, 10*ms, 0, demand...)
			down := late.runGrants(2*time.Second, 100, 10*ms, 1500*ms, demand...)
			t.Logf("queue %d, %d nodes with demand: %.1f calls by division, %.1f by grants, %.1f in a second of which the owner is down for half", queue, len(demand), busy, granted, down)
			if queue == 8 && busy < 32 {
				t.Errorf("%.1f calls in flight at 32 slots", busy)
			}
		}
	}
}
