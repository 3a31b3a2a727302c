package jwpeer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// memoryNet connects exchanges within the test process.
type memoryNet struct {
	mu          sync.Mutex
	nodes       map[string]*Exchange
	down        map[string]bool // nodes that can't be reached
	loseAnswers map[string]int  // for each node, how many of its next answers are lost
	fullStates  int             // complete states that were sent
	updates     int             // updates that were sent
}

func (n *memoryNet) Exchange(_ context.Context, to Peer, digest Digest) (Digest, error) {
	n.mu.Lock()
	x, down := n.nodes[to.Name], n.down[to.Name] || n.down[digest.From]
	n.fullStates += len(digest.Peers)
	n.updates += len(digest.Updates)
	n.mu.Unlock()
	if x == nil || down {
		return Digest{}, errors.New("no connection")
	}
	answer := x.Answer(digest)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.loseAnswers[to.Name] > 0 {
		n.loseAnswers[to.Name]--
		return Digest{}, errors.New("connection broke")
	}
	return answer, nil
}

func (n *memoryNet) add(name, region, centre, incarnation string, listed ...Peer) *Exchange {
	table := &Table{}
	now := time.Now()
	table.SetSelf(Peer{Name: name, Region: region, DataCentre: centre, Incarnation: incarnation, State: Serving, Sequence: 1}, now)
	table.Merge(listed, now)
	x := &Exchange{
		Table: table, Transport: n, Period: 500 * time.Millisecond, MinHeartbeatInterval: 5 * time.Second, Timeout: time.Second,
		Silence: 15 * time.Second, Now: time.Now, Rand: rand.New(rand.NewPCG(1, uint64(len(n.nodes)))),
		Gatherer: func([]Peer, string) string { return "n0" },
	}
	n.mu.Lock()
	n.nodes[name] = x
	n.mu.Unlock()
	return x
}

func newMemoryNet() *memoryNet {
	return &memoryNet{nodes: map[string]*Exchange{}, down: map[string]bool{}, loseAnswers: map[string]int{}}
}

func listed(name, region, centre string) Peer {
	return Peer{
		Name: name, Region: region, DataCentre: centre, State: Joining, NodeAddress: netip.MustParseAddrPort("10.0.0.1:1"),
	}
}

// run starts all nodes and returns a function that stops them.
func (n *memoryNet) run(t *testing.T) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for _, x := range n.nodes {
		wg.Go(func() { _ = x.Run(ctx) })
	}
	return func() {
		cancel()
		wg.Wait()
	}
}

func revisionOf(x *Exchange, name string) uint64 {
	p, _ := x.Table.Get(name)
	return p.Revision
}

// addFleet adds a region with one data centre of size nodes, and another region with
// one node.
func addFleet(n *memoryNet, size int) {
	var list []Peer
	for i := range size {
		list = append(list, listed(fmt.Sprintf("n%d", i), "north", "north-a"))
	}
	list = append(list, listed("s0", "south", "south-a"))
	for _, p := range list {
		n.add(p.Name, p.Region, p.DataCentre, "1", list...)
	}
}

func TestExchangeReachesAllNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newMemoryNet()
		addFleet(n, 8)
		stop := n.run(t)
		defer stop()
		time.Sleep(30 * time.Second)
		for name, x := range n.nodes {
			for other := range n.nodes {
				p, _ := x.Table.Get(other)
				assert.Equal(t, p.Incarnation, "1", "%s does not have the state of %s", name, other)
			}
		}
		n.mu.Lock()
		n.fullStates, n.updates = 0, 0
		n.mu.Unlock()
		for _, x := range n.nodes {
			x.Table.Update(time.Now(), func(p *Peer) { p.Revision = 7 })
		}
		time.Sleep(time.Second)
		for name := range n.nodes {
			if name != "s0" {
				assert.Equal(t, revisionOf(n.nodes["n0"], name), uint64(7), "revision of %s at the gatherer", name)
			}
		}
		time.Sleep(30 * time.Second)
		n.mu.Lock()
		defer n.mu.Unlock()
		assert.Equal(t, n.fullStates, 0) // updates suffice if only revisions and sequences have changed
		assert.Assert(t, n.updates > 0)
	})
}

// The answer of a partner is lost after it was sent. The partner assumes that this
// node has it and would never send it again. The node would keep an old state of a
// peer and, for example, send requests to one that is leaving.
func TestLostAnswer(t *testing.T) {
	n := newMemoryNet()
	a := n.add("n0", "north", "north-a", "1", listed("n1", "north", "north-a"))
	b := n.add("n1", "north", "north-a", "1", listed("n0", "north", "north-a"))
	to, _ := a.Table.Get("n1")
	exchangeOnce := func() {
		digest, version := a.digestFor(to)
		a.exchange(t.Context(), to, digest, version)
	}
	exchangeOnce()
	b.Table.Merge([]Peer{{Name: "n2", Region: "north", Incarnation: "1", State: Leaving, Sequence: 1}}, time.Now())
	n.loseAnswers["n1"] = 1
	exchangeOnce()
	_, known := a.Table.Get("n2")
	assert.Assert(t, !known)
	exchangeOnce()
	p, _ := a.Table.Get("n2")
	assert.Equal(t, p.State, Leaving)
}

// A node is killed and restarts with an empty table. Its partners remember what
// they sent to the old process and would send the new one only later changes, so
// that it would not know most nodes.
func TestRestartedPartner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newMemoryNet()
		addFleet(n, 4)
		stop := n.run(t)
		time.Sleep(20 * time.Second)
		stop()
		x := n.add("n2", "north", "north-a", "2", listed("n0", "north", "north-a"), listed("n1", "north", "north-a"))
		stop = n.run(t)
		defer stop()
		time.Sleep(5 * time.Second)
		p, _ := x.Table.Get("s0")
		assert.Equal(t, p.Incarnation, "1")
		p, _ = n.nodes["n0"].Table.Get("n2")
		assert.Equal(t, p.Incarnation, "2")
	})
}

// Both relays of a data centre die at the same time, for example with their rack.
// Their states look fresh for a while, and nodes that exchanged only with them
// would receive no change until then.
func TestDeadRelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newMemoryNet()
		addFleet(n, 8)
		stop := n.run(t)
		defer stop()
		time.Sleep(20 * time.Second)
		x := n.nodes["n3"]
		relays := Relays(x.Table.Peers(), "north-a")
		n.mu.Lock()
		for _, p := range relays {
			n.down[p.Name] = true
		}
		n.mu.Unlock()
		time.Sleep(5 * time.Second)
		n.nodes["s0"].Table.Update(time.Now(), func(p *Peer) { p.State = Leaving })
		time.Sleep(8 * time.Second)
		n.mu.Lock()
		defer n.mu.Unlock()
		for name, x := range n.nodes {
			if n.down[name] {
				continue
			}
			p, _ := x.Table.Get("s0")
			assert.Equal(t, p.State, Leaving, "at %s", name)
		}
	})
}

func TestHeartbeatInterval(t *testing.T) {
	for name, tc := range map[string]struct {
		n    int
		want time.Duration
	}{
		"alone":  {1, 5 * time.Second},
		"few":    {10, 5 * time.Second},
		"region": {75, 37500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, HeartbeatInterval(5*time.Second, tc.n), tc.want) })
	}
}

// The heartbeats of a live node arrive too late. Other nodes count it as silent,
// list it last for callers and hand its work to other nodes, although it is alive.
func TestLiveNodesAreNeverSilent(t *testing.T) {
	for name, tc := range map[string]struct{ regions, nodes int }{
		"nine":  {3, 9},
		"forty": {3, 40},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newMemoryNet()
				var list []Peer
				for i := range tc.nodes {
					region := fmt.Sprintf("r%d", i%tc.regions)
					list = append(list, listed(fmt.Sprintf("n%d", i), region, region+"-a"))
				}
				for _, p := range list {
					n.add(p.Name, p.Region, p.DataCentre, "1", list...)
				}
				stop := n.run(t)
				defer stop()
				time.Sleep(time.Minute)
				for range 20 {
					time.Sleep(1700 * time.Millisecond)
					for name, x := range n.nodes {
						for _, p := range list {
							assert.Assert(t, !x.Table.Silent(p.Name, time.Now().Add(-12*time.Second)), "%s is silent at %s", p.Name, name)
						}
					}
				}
			})
		})
	}
}
