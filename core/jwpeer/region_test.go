package jwpeer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// network connects the exchanges of many nodes; some of its links can be
// partitioned.
type network struct {
	mu          sync.Mutex
	nodes       map[string]*Exchange
	partitioned func(from, to Peer) bool
}

// setPartition sets which links are partitioned, nil for none.
func (n *network) setPartition(partitioned func(from, to Peer) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned = partitioned
}

// link returns the node at the other end, nil if there is none, and whether the link
// to it is partitioned.
func (n *network) link(from, to Peer) (peer *Exchange, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.nodes[to.Name], n.partitioned != nil && n.partitioned(from, to)
}

func (n *network) transport(from Peer) Transport { return &testTransport{network: n, from: from} }

type testTransport struct {
	network *network
	from    Peer
}

const testLinkDelay = 40 * time.Millisecond

func (t *testTransport) Exchange(ctx context.Context, to Peer, digest Digest) (Digest, error) {
	peer, partitioned := t.network.link(t.from, to)
	if partitioned {
		<-ctx.Done()
		return Digest{}, ctx.Err()
	}
	time.Sleep(testLinkDelay)
	if peer == nil {
		return Digest{}, errors.New("no such node")
	}
	return peer.Answer(digest), nil
}

// newNetwork makes nodes in regions of two data centres. At first each node knows
// the others only from the platform's list.
func newNetwork(regions, perDataCentre int) *network {
	n := &network{nodes: make(map[string]*Exchange)}
	var all []Peer
	for r := range regions {
		for c := range 2 {
			for i := range perDataCentre {
				region := fmt.Sprintf("r%d", r)
				all = append(all, Peer{
					Name: fmt.Sprintf("%s-c%d-n%d", region, c, i), Region: region,
					DataCentre: fmt.Sprintf("%s-c%d", region, c), State: Joining,
				})
			}
		}
	}
	for i, p := range all {
		table := &Table{}
		self := p
		self.Incarnation, self.State, self.Sequence = "1", Serving, 1
		table.SetSelf(self, time.Now())
		table.Merge(all, time.Now())
		n.nodes[p.Name] = &Exchange{
			Table: table, Transport: n.transport(self), Period: 500 * time.Millisecond, MinHeartbeatInterval: 5 * time.Second,
			Timeout: time.Second, Silence: 15 * time.Second, Now: time.Now,
			Rand: rand.New(rand.NewPCG(uint64(i), 7)),
		}
	}
	return n
}

func (n *network) run(ctx context.Context) {
	for _, x := range n.nodes {
		go func() { _ = x.Run(ctx) }()
	}
}

// countOutdated counts the nodes of a region that don't know the given revision, or a
// later one, of a peer.
func (n *network) countOutdated(name, region string, revision uint64) int {
	count := 0
	for _, x := range n.nodes {
		p, known := x.Table.Get(name)
		if x.Table.Self().Region == region && (!known || p.Revision < revision) {
			count++
		}
	}
	return count
}

// adoptRevisions makes each node put the latest revision of any peer into force, as
// the follower of the catalogue does.
func (n *network) adoptRevisions(ctx context.Context) {
	for _, x := range n.nodes {
		go func() {
			for {
				changed := x.Table.Changed()
				latest := uint64(0)
				for _, p := range x.Table.Peers() {
					latest = max(latest, p.Revision)
				}
				if latest > x.Table.Self().Revision {
					x.Table.Update(time.Now(), func(p *Peer) { p.Revision = latest })
				}
				select {
				case <-changed:
				case <-ctx.Done():
					return
				}
			}
		}()
	}
}

// countWithout counts the nodes of a region for which holds returns false.
func (n *network) countWithout(region string, holds func(*Table) bool) int {
	count := 0
	for _, x := range n.nodes {
		if x.Table.Self().Region == region && !holds(x.Table) {
			count++
		}
	}
	return count
}

// A relay gets a change, and a node that is no relay starts to leave. All nodes of
// the region must know of both well within the three seconds in which a change has
// to be in force. If they learn of them later, callers are still sent to a host
// that is stopping.
//
// The largest case has only one region: with a second one of that size, the race
// detector sometimes runs out of its own counters and ends the process.
func TestChangesReachTheRegion(t *testing.T) {
	tests := map[string]struct{ regions, perDataCentre int }{
		"1 node a data centre":   {2, 1},
		"3 nodes a data centre":  {2, 3},
		"18 nodes a data centre": {2, 18},
		"36 nodes a data centre": {1, 36},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer func() {
					cancel()
					time.Sleep(2 * time.Second) // for exchanges in flight
				}()
				n := newNetwork(test.regions, test.perDataCentre)
				n.run(ctx)
				n.adoptRevisions(ctx)
				time.Sleep(10 * time.Second)
				all := n.nodes["r0-c0-n0"].Table.Peers()
				relay := Relays(all, "r0-c0")[0].Name
				n.nodes[relay].Table.Update(time.Now(), func(p *Peer) { p.Revision = 7 })
				leavingNode := "r0-c1-n0"
				n.nodes[leavingNode].Table.Update(time.Now(), func(p *Peer) { p.State = Leaving })
				time.Sleep(1500 * time.Millisecond)
				assert.Equal(t, n.countWithout("r0", func(table *Table) bool { return table.Self().Revision == 7 }), 0, "nodes without the change")
				assert.Equal(t, n.countWithout("r0", func(table *Table) bool {
					p, _ := table.Get(leavingNode)
					return p.State == Leaving
				}), 0, "nodes that don't show the leaving node as leaving")
			})
		})
	}
}

// A network partition separates two regions for an hour. Each region continues on
// its own, and after the partition both exchange states again without intervention.
func TestRegionsReconnectAfterPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		n := newNetwork(2, 2)
		n.run(ctx)
		time.Sleep(10 * time.Second)
		n.setPartition(func(from, to Peer) bool { return from.Region != to.Region })
		time.Sleep(20 * time.Second)
		n.nodes["r0-c0-n0"].Table.Update(time.Now(), func(p *Peer) { p.Revision = 3 })
		time.Sleep(50 * time.Minute)
		assert.Equal(t, n.countOutdated("r0-c0-n0", "r0", 3), 0)
		assert.Equal(t, n.countOutdated("r0-c0-n0", "r1", 3), 4)
		n.setPartition(nil)
		time.Sleep(time.Minute)
		assert.Equal(t, n.countOutdated("r0-c0-n0", "r1", 3), 0)
		cancel()
		time.Sleep(2 * time.Second)
	})
}

// A host dies without reporting that it leaves. The other nodes keep sending each
// other its last state, and that must not make it look alive.
func TestDeadPeerDoesNotLookFresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		n := newNetwork(1, 3)
		deadCtx, kill := context.WithCancel(ctx)
		for name, x := range n.nodes {
			if name == "r0-c0-n0" {
				go func() { _ = x.Run(deadCtx) }()
				continue
			}
			go func() { _ = x.Run(ctx) }()
		}
		time.Sleep(10 * time.Second)
		kill()
		n.mu.Lock()
		delete(n.nodes, "r0-c0-n0")
		n.mu.Unlock()
		died := time.Now()
		time.Sleep(2 * time.Minute)
		// One node forgets it and learns of it again from the nodes that have not.
		table := n.nodes["r0-c0-n1"].Table
		table.Forget(time.Now().Add(-30 * time.Second))
		time.Sleep(5 * time.Minute)
		for _, x := range n.nodes {
			seen := x.Table.LastSeen("r0-c0-n0")
			assert.Assert(t, seen.IsZero() || seen.Sub(died) < 2*time.Second, "%s", seen.Sub(died))
		}
		cancel()
		time.Sleep(2 * time.Second)
	})
}

func TestMerge(t *testing.T) {
	now := time.Unix(1000, 0)
	old := Peer{Name: "a", Incarnation: "2", Sequence: 5, State: Serving, Revision: 9}
	tests := map[string]struct {
		state    Peer
		accepted bool
		urgent   bool
	}{
		"later state":               {Peer{Name: "a", Incarnation: "2", Sequence: 6, State: Serving, Revision: 9}, true, false},
		"later state, new revision": {Peer{Name: "a", Incarnation: "2", Sequence: 6, State: Serving, Revision: 10}, true, true},
		"same state":                {old, false, false},
		"earlier state":             {Peer{Name: "a", Incarnation: "2", Sequence: 4, State: Joining}, false, false},
		"earlier incarnation":       {Peer{Name: "a", Incarnation: "1", Sequence: 99, State: Gone}, false, false},
		"later incarnation":         {Peer{Name: "a", Incarnation: "3", Sequence: 1, State: Joining}, true, true},
		"older than MaxAge":         {Peer{Name: "a", Incarnation: "3", Sequence: 1, Age: MaxAge + 1}, false, false},
		"state of this node":        {Peer{Name: "self", Incarnation: "9", Sequence: 9, State: Gone}, false, false},
		"no name":                   {Peer{Incarnation: "9"}, false, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table := &Table{}
			table.SetSelf(Peer{Name: "self", Incarnation: "1", State: Serving}, now)
			table.Merge([]Peer{old}, now)
			urgent := table.Merge([]Peer{test.state}, now.Add(time.Second))
			assert.Equal(t, urgent, test.urgent)
			got, _ := table.Get("a")
			assert.Equal(t, got == test.state, test.accepted || test.state == old)
			assert.Equal(t, table.Self().State, Serving)
		})
	}
}

// All nodes must choose the same relays, or states are sent in circles or not at
// all. The number of partners of a node must not grow with the fleet.
func TestPartners(t *testing.T) {
	n := newNetwork(13, 36)
	var all []Peer
	for _, x := range n.nodes {
		p := x.Table.Self()
		all = append(all, p)
	}
	relays := make(map[string]bool)
	maxPartners, maxRelayPartners := 0, 0
	for _, p := range all {
		for _, r := range Relays(all, p.DataCentre) {
			relays[r.Name] = true
		}
	}
	for _, p := range all {
		partners := len(Partners(all, p))
		if relays[p.Name] {
			maxRelayPartners = max(maxRelayPartners, partners)
			continue
		}
		maxPartners = max(maxPartners, partners)
	}
	assert.Equal(t, len(relays), 26*RelaysPerDataCentre)
	assert.Equal(t, maxPartners, RelaysPerDataCentre)
	assert.Assert(t, maxRelayPartners <= 35+RelaysPerDataCentre+12*RelaysPerDataCentre, "%d", maxRelayPartners)
}
