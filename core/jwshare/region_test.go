package jwshare

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubewheel/core/jwledger"
)

const (
	step = 50 * time.Millisecond
	goal = 500 * time.Millisecond
)

var begin = time.Unix(1_000_000, 0)

// decider is the rule under test: Shares or threshold.
type decider interface {
	Due(now time.Time) bool
	Update(now time.Time, v jwledger.View, s Supply)
	Decide(now time.Time, key jwledger.Key, admits func(float64) bool) Decision
}

// demand is what one workspace asks for at one level.
type demand struct {
	key  jwledger.Key
	rate float64 // requests a second
	work float64 // of a request
}

type outcome struct{ asked, served float64 }

// region is one service of a region: nodes that decide, and a queue for each level before its targets,
// which rejects what would wait for more than a goal.
type region struct {
	now     time.Time
	targets float64
	demands []demand
	make    func() decider
	nodes   []*regionNode
	queue   [jwledger.Levels][]*waiting
	got     map[jwledger.Key]*outcome
	random  *rand.Rand
	offset  func(node int) time.Duration // of a node's clock
	cut     func(node int) bool          // the node's exchange fails
	oneWay  func(node int) bool          // the node's reports arrive, the answers don't
}

type regionNode struct {
	ledger *jwledger.Table
	shares decider
}

type waiting struct {
	node   *regionNode
	at     int // index of the node
	flight *jwledger.Flight
	key    jwledger.Key
	work   float64
}

const regionNodes = 12

func newRegion(targets float64, rule func() decider, demands ...demand) *region {
	none := func(int) bool { return false }
	r := &region{
		now: begin, targets: targets, demands: demands, make: rule, random: rand.New(rand.NewPCG(1, 2)),
		offset: func(int) time.Duration { return 0 }, cut: none, oneWay: none,
	}
	for range regionNodes {
		r.nodes = append(r.nodes, &regionNode{&jwledger.Table{}, rule()})
	}
	return r
}

// run lets time pass and returns what was asked and served in it.
func (r *region) run(d time.Duration) map[jwledger.Key]*outcome {
	r.got = make(map[jwledger.Key]*outcome)
	for end := r.now.Add(d); r.now.Before(end); r.now = r.now.Add(step) {
		if r.now.Sub(begin)%(500*time.Millisecond) == 0 {
			r.exchange()
		}
		for _, x := range r.demands {
			n := x.rate * step.Seconds()
			for n > 0 && (n >= 1 || r.random.Float64() < n) {
				r.arrive(x)
				n--
			}
		}
		r.serve()
	}
	return r.got
}

// arrive sends a request to a node. The first nodes get most requests.
func (r *region) arrive(x demand) {
	i := int(float64(len(r.nodes)) * math.Pow(r.random.Float64(), 2))
	n := r.nodes[i]
	now := r.now.Add(r.offset(i))
	o := r.got[x.key]
	if o == nil {
		o = &outcome{}
		r.got[x.key] = o
	}
	o.asked++
	n.ledger.Offer(now, "s", x.key, x.work)
	if n.shares.Due(now) {
		n.shares.Update(now, n.ledger.Region(now, "s"), Supply{Targets: r.targets, Wait: r.wait(jwledger.Levels - 1), Goal: goal})
	}
	point := r.random.Float64()
	if !n.shares.Decide(now, x.key, func(fraction float64) bool { return point < fraction }).Admitted {
		return
	}
	f := n.ledger.Admit(now, "s", x.key, x.work)
	if r.wait(x.key.Level) > goal {
		n.ledger.End(now, f, jwledger.Lost)
		return
	}
	r.queue[x.key.Level] = append(r.queue[x.key.Level], &waiting{n, i, f, x.key, x.work})
}

// wait returns how long a request of a level waits.
func (r *region) wait(level int) time.Duration {
	work := 0.0
	for _, list := range r.queue[:level+1] {
		for _, w := range list {
			work += w.work
		}
	}
	return time.Duration(work / r.targets * float64(time.Second))
}

func (r *region) serve() {
	left := r.targets * step.Seconds()
	for level := range r.queue {
		for left > 0 && len(r.queue[level]) > 0 {
			w := r.queue[level][0]
			done := min(left, w.work)
			left -= done
			if w.work -= done; w.work > 0 {
				break
			}
			r.queue[level] = r.queue[level][1:]
			w.node.ledger.End(r.now.Add(r.offset(w.at)), w.flight, jwledger.Useful)
			if o := r.got[w.key]; o != nil {
				o.served++
			}
		}
	}
}

func (r *region) exchange() {
	relay := r.nodes[0].ledger
	for i, n := range r.nodes[1:] {
		if r.cut(i + 1) {
			continue
		}
		relay.Merge(r.now.Add(r.offset(0)), fmt.Sprint("n", i), n.ledger.Local(r.now.Add(r.offset(i+1))))
		if !r.oneWay(i + 1) {
			n.ledger.Merge(r.now.Add(r.offset(i+1)), "relay", relay.ForNode(r.now.Add(r.offset(0))))
		}
	}
}

// scale changes the rate of the demands that fit.
func (r *region) scale(factor float64, fits func(jwledger.Key) bool) {
	for i := range r.demands {
		if fits(r.demands[i].key) {
			r.demands[i].rate *= factor
		}
	}
}

func isGreedy(k jwledger.Key) bool { return k.Workspace == "w0" }

// even returns the demand of workspaces that ask for the same work a second each, by level: small urgent
// requests and large ones that can wait.
func even(workspaces int, urgent, late float64) []demand {
	var list []demand
	for i := range workspaces {
		w := fmt.Sprint("w", i)
		list = append(list, demand{jwledger.Key{Workspace: w, Level: 0}, urgent / 0.1, 0.1}, demand{jwledger.Key{Workspace: w, Level: 2}, late / 0.25, 0.25})
	}
	return list
}

// servedShare returns the part served of what the keys that fit asked for.
func servedShare(got map[jwledger.Key]*outcome, fits func(jwledger.Key) bool) float64 {
	asked, served := 0.0, 0.0
	for key, o := range got {
		if fits(key) {
			asked += o.asked
			served += o.served
		}
	}
	return served / asked
}

// worst returns the smallest part served of a key that fits.
func worst(got map[jwledger.Key]*outcome, fits func(jwledger.Key) bool) float64 {
	least := 1.0
	for key, o := range got {
		if fits(key) {
			least = min(least, o.served/o.asked)
		}
	}
	return least
}

func urgent(k jwledger.Key) bool { return k.Level == 0 }

func newShares() decider { return &Shares{} }

// While there is room for all, nobody is limited.
func TestNoShortage(t *testing.T) {
	r := newRegion(20, newShares, even(8, 1, 1)...)
	got := r.run(10 * time.Second)
	assert.Assert(t, servedShare(got, func(jwledger.Key) bool { return true }) > 0.98)
}

// One workspace asks for seven times its usual; the others stay as they were.
func TestGreedyWorkspace(t *testing.T) {
	r := newRegion(20, newShares, even(8, 2, 0.2)...)
	r.run(5 * time.Second)
	r.scale(7, isGreedy)
	r.run(4 * time.Second)
	got := r.run(10 * time.Second)
	others := func(k jwledger.Key) bool { return urgent(k) && !isGreedy(k) }
	assert.Assert(t, servedShare(got, others) > 0.95, "%v", servedShare(got, others))
	greedy := servedShare(got, isGreedy)
	assert.Assert(t, greedy > 0.2 && greedy < 0.7, "%v", greedy)
}

// A wave of urgent requests pushes out what can wait, but not all of it.
func TestUrgentWave(t *testing.T) {
	r := newRegion(20, newShares, even(8, 1, 1)...)
	r.run(5 * time.Second)
	r.scale(2.5, urgent)
	r.run(4 * time.Second)
	got := r.run(10 * time.Second)
	assert.Assert(t, servedShare(got, urgent) > 0.85, "%v", servedShare(got, urgent))
	late := func(k jwledger.Key) bool { return !urgent(k) }
	assert.Assert(t, worst(got, late) > 0, "starved")
}

// A wave of long prompts that can wait leaves the urgent requests alone.
func TestLongWave(t *testing.T) {
	r := newRegion(20, newShares, even(8, 1, 1)...)
	r.run(5 * time.Second)
	r.scale(5, func(k jwledger.Key) bool { return !urgent(k) })
	r.run(4 * time.Second)
	got := r.run(10 * time.Second)
	assert.Assert(t, servedShare(got, urgent) > 0.95, "%v", servedShare(got, urgent))
}

// A quarter of the targets is lost while most of them are needed.
func TestShrinkingFleet(t *testing.T) {
	r := newRegion(20, newShares, even(8, 1, 1.3)...)
	r.run(5 * time.Second)
	r.targets = 15
	r.run(3 * time.Second)
	got := r.run(10 * time.Second)
	assert.Assert(t, servedShare(got, urgent) > 0.95, "%v", servedShare(got, urgent))
	r.targets = 25
	r.run(8 * time.Second)
	got = r.run(5 * time.Second)
	assert.Assert(t, servedShare(got, func(jwledger.Key) bool { return true }) > 0.95, "the room came back")
}

// All targets are gone for a moment under overload. The room comes back with them.
func TestNoTargetForAMoment(t *testing.T) {
	r := newRegion(20, newShares, even(8, 1, 1.3)...)
	r.run(5 * time.Second)
	r.targets = 0
	r.run(time.Second)
	r.targets = 20
	r.run(8 * time.Second)
	got := r.run(5 * time.Second)
	assert.Assert(t, servedShare(got, urgent) > 0.95, "%v", servedShare(got, urgent))
}

// A workspace that asked for nothing gets its share within a second of its return.
func TestLentShareComesBack(t *testing.T) {
	r := newRegion(10, newShares, even(4, 4, 0)...)
	returns := func(k jwledger.Key) bool { return k.Workspace == "w1" }
	r.scale(0.01, returns)
	r.run(10 * time.Second)
	r.scale(100, returns)
	r.run(time.Second)
	got := r.run(3 * time.Second)
	back, others := servedShare(got, returns), servedShare(got, func(k jwledger.Key) bool { return !returns(k) })
	assert.Assert(t, back > 0.8*others, "%v of the returned, %v of the others", back, others)
}

// The urgent requests of the workspaces that are not greedy, under one failure each.
func TestFailures(t *testing.T) {
	last := regionNodes - 1
	cases := map[string]func(r *region){
		"reports up to three seconds old": func(r *region) {
			r.cut = func(int) bool { return r.now.Sub(begin)%(3*time.Second) != 0 }
		},
		"a link cut one way": func(r *region) { r.oneWay = func(i int) bool { return i < 4 } },
		"a node cut off":     func(r *region) { r.cut = func(i int) bool { return i == 1 } },
		"clock steps": func(r *region) {
			at := r.now.Add(2 * time.Second)
			r.offset = func(i int) time.Duration {
				if r.now.Before(at) {
					return 0
				}
				return []time.Duration{-time.Hour, 0, time.Hour}[i%3]
			}
		},
		"nodes restarted": func(r *region) {
			for i := range 4 {
				r.nodes[i] = &regionNode{&jwledger.Table{}, r.make()}
			}
		},
		"a node lost": func(r *region) { r.nodes = r.nodes[:last] },
	}
	for name, fail := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRegion(20, newShares, even(8, 2, 0.2)...)
			r.run(3 * time.Second)
			r.scale(7, isGreedy)
			r.run(4 * time.Second)
			fail(r)
			r.run(4 * time.Second)
			got := r.run(10 * time.Second)
			others := servedShare(got, func(k jwledger.Key) bool { return urgent(k) && !isGreedy(k) })
			assert.Assert(t, others > 0.85, "%v", others)
		})
	}
}

// All nodes come to nearly the same plan, also one that has restarted.
func TestNodesAgree(t *testing.T) {
	r := newRegion(10, newShares, even(8, 2, 1)...)
	r.run(8 * time.Second)
	r.nodes[3] = &regionNode{&jwledger.Table{}, newShares()}
	r.run(8 * time.Second)
	want := r.nodes[0].shares.(*Shares).room.work
	got := r.nodes[3].shares.(*Shares).room.work
	assert.Assert(t, got > 0.7*want && got < 1.4*want, "%v, %v", got, want)
}

// BenchmarkDecide measures a decision with 1,000 workspaces at a node that computes a plan each
// PlanInterval, with 1,000 requests a second.
func BenchmarkDecide(b *testing.B) {
	ledger := &jwledger.Table{}
	shares := &Shares{Workspaces: func() int { return 1000 }}
	keys := make([]jwledger.Key, 1000)
	for i := range keys {
		keys[i] = jwledger.Key{Workspace: fmt.Sprint("w", i), Level: i % jwledger.Levels}
	}
	i := 0
	b.ReportAllocs()
	for b.Loop() {
		now := begin.Add(time.Duration(i) * time.Millisecond)
		key := keys[i%len(keys)]
		ledger.Offer(now, "s", key, 0.1)
		if shares.Due(now) {
			shares.Update(now, ledger.Region(now, "s"), Supply{Targets: 50, Wait: time.Second, Goal: goal})
		}
		if shares.Decide(now, key, func(fraction float64) bool { return float64(i%100)/100 < fraction }).Admitted {
			ledger.End(now, ledger.Admit(now, "s", key, 0.1), []jwledger.Outcome{jwledger.Useful, jwledger.Lost}[i%2])
		}
		i++
	}
}
