package jwcatalogue

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"jujubewheel/core/jwclock"
	"jujubewheel/core/jwpeer"
	"jujubewheel/core/jwstore"
)

// The round-trip times of the simulated links, and the intervals of the test.
const (
	storeRoundTrip   = 160 * time.Millisecond // from another region
	peerRoundTrip    = 6 * time.Millisecond
	idlePeriod       = 2 * time.Minute
	exchangeInterval = 500 * time.Millisecond // between two exchanges of peers
)

// delayedStore is the store as a node in another region sees it.
type delayedStore struct {
	*fakeStore
	delay time.Duration
}

func (s delayedStore) Get(ctx context.Context, key string) (jwstore.Item, bool, error) {
	time.Sleep(s.delay)
	return s.fakeStore.Get(ctx, key)
}

func (s delayedStore) List(ctx context.Context, prefix string) ([]jwstore.Item, error) {
	time.Sleep(s.delay)
	return s.fakeStore.List(ctx, prefix)
}

func (s delayedStore) Wait(ctx context.Context, key string, after uint64, maxWait time.Duration) (jwstore.Item, bool, error) {
	time.Sleep(s.delay / 2)
	item, ok, err := s.fakeStore.Wait(ctx, key, after, maxWait)
	time.Sleep(s.delay / 2)
	return item, ok, err
}

func (s delayedStore) CompareAndSwap(ctx context.Context, key string, value []byte, version uint64) (uint64, bool, error) {
	time.Sleep(s.delay)
	return s.fakeStore.CompareAndSwap(ctx, key, value, version)
}

// fleet is a system of many nodes whose peers exchange their revisions at a
// fixed interval.
type fleet struct {
	store *fakeStore
	nodes []*fleetNode

	mu       sync.Mutex
	peers    []jwpeer.Peer
	watchers map[string][]string // by data centre
}

type fleetNode struct {
	fleet *fleet
	peer  jwpeer.Peer
	table Table
}

func (f *fleet) Peers() []jwpeer.Peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.peers
}

func (f *fleet) publishPeers() {
	var peers []jwpeer.Peer
	for _, n := range f.nodes {
		p := n.peer
		p.Revision = n.table.Revision()
		peers = append(peers, p)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peers, f.watchers = peers, make(map[string][]string)
}

func (f *fleet) watchersOf(p jwpeer.Peer) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	names, ok := f.watchers[p.DataCentre]
	if !ok {
		names = Watchers(f.peers, p.Region, p.DataCentre)
		f.watchers[p.DataCentre] = names
	}
	return names
}

// Changes asks a watcher of the node's own data centre.
func (n *fleetNode) Changes(_ context.Context, after uint64) ([]Change, *Checkpoint, error) {
	names := n.fleet.watchersOf(n.peer)
	i := slices.IndexFunc(n.fleet.nodes, func(p *fleetNode) bool { return p.peer.Name == names[after%uint64(len(names))] })
	time.Sleep(peerRoundTrip)
	changes, cp := n.fleet.nodes[i].table.Changes(after, 64)
	return changes, cp, nil
}

func (n *fleetNode) delay() time.Duration {
	if n.peer.Region == "r0" {
		return peerRoundTrip
	}
	return storeRoundTrip
}

func (n *fleetNode) run(ctx context.Context, wg *sync.WaitGroup) {
	store := delayedStore{n.fleet.store, n.delay()}
	watcher := func() bool {
		return slices.Contains(n.fleet.watchersOf(n.peer), n.peer.Name)
	}
	f := &Follower{Store: store, Table: &n.table, WatchesStore: watcher, Source: n}
	m := &Membership{
		Member: Member{Name: n.peer.Name, Region: n.peer.Region, Incarnation: n.peer.Incarnation},
		Store:  store, Follower: f,
	}
	g := &Gatherer{Name: n.peer.Name, Region: n.peer.Region, Store: store, Table: &n.table, Peers: n.fleet}
	_ = m.Join(ctx)
	for _, run := range []func(context.Context) error{f.Run, m.Run, g.Run} {
		wg.Go(func() { _ = run(ctx) })
	}
}

var measureLarge = flag.Bool("pace", false, "measure the pace of 100 and 970 nodes too")

type fleetSize struct{ nodes, regions, dataCentres int }

// TestPace prints how long an edit takes until it is applied everywhere and
// until it is accepted, and how many store calls it costs, with simulated links
// and the real controllers.
func TestPace(t *testing.T) {
	sizes := map[string]fleetSize{"3 nodes": {3, 3, 3}, "9 nodes": {9, 3, 6}}
	if *measureLarge {
		sizes["100 nodes"] = fleetSize{100, 13, 27}
		sizes["970 nodes"] = fleetSize{970, 13, 27}
	}
	for name, size := range sizes {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				measureLatency(t, size.nodes, size.regions, size.dataCentres)
			})
		})
	}
}

func measureLatency(t *testing.T, nodes, regions, dataCentres int) {
	f := &fleet{store: new(fakeStore)}
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for i := range nodes {
		dc := i % dataCentres
		f.nodes = append(f.nodes, &fleetNode{fleet: f, peer: jwpeer.Peer{
			Name: fmt.Sprintf("n%d", i), Incarnation: "a", State: jwpeer.Serving,
			Region: fmt.Sprintf("r%d", dc%regions), DataCentre: fmt.Sprintf("dc%d", dc),
		}})
	}
	f.publishPeers()
	wg.Go(func() {
		for jwclock.Sleep(ctx, exchangeInterval) == nil {
			f.publishPeers()
		}
	})
	for _, n := range f.nodes {
		wg.Go(func() { n.run(ctx, &wg) })
	}
	time.Sleep(time.Minute)
	startReads, startWrites := f.store.calls()
	time.Sleep(idlePeriod)
	idleReads, idleWrites := f.store.calls()
	waits := f.store.waiting()
	idle := idlePeriod.Seconds()
	t.Logf("idle: %.2f reads and %.2f writes a second, %d waiting reads open", float64(idleReads-startReads)/idle, float64(idleWrites-startWrites)/idle, waits)

	const edits = 20
	editorNode := f.nodes[1]
	store := delayedStore{f.store, editorNode.delay()}
	editor := &Editor{Store: store, Table: &editorNode.table}
	var written, inForce, accepted []time.Duration
	var callsRead, callsWritten float64
	rnd := rand.New(rand.NewPCG(1, 1))
	for i := range edits {
		time.Sleep(5*time.Second + time.Duration(rnd.IntN(2000))*time.Millisecond)
		reads, writes := f.store.calls()
		startedAt := time.Now()
		res, err := editor.Put(ctx, newEdit(fmt.Sprintf("e%d", i), "status", editorNode.table.Current().Revisions["status"]))
		assert.NilError(t, err)
		written = append(written, time.Since(startedAt))
		done := make(chan time.Duration)
		go func() {
			for _, n := range f.nodes {
				changed := n.table.Changed()
				for n.table.Revision() < res.Revision {
					<-changed
					changed = n.table.Changed()
				}
			}
			done <- time.Since(startedAt)
		}()
		status, err := (&Acceptance{Store: store}).Wait(ctx, res.Revision)
		assert.NilError(t, err)
		assert.Assert(t, status.Accepted)
		accepted = append(accepted, time.Since(startedAt))
		inForce = append(inForce, <-done)
		assert.Assert(t, inForce[i] <= accepted[i], "accepted before it was applied everywhere")
		elapsed := time.Since(startedAt).Seconds()
		readsAfter, writesAfter := f.store.calls()
		callsRead += float64(readsAfter-reads) - elapsed*float64(idleReads-startReads)/idle
		callsWritten += float64(writesAfter - writes)
	}
	t.Logf("an edit: %.0f reads and %.1f writes more than when idle", callsRead/edits, callsWritten/edits)
	for _, stage := range []struct {
		name      string
		durations []time.Duration
	}{{"written", written}, {"in force everywhere", inForce}, {"accepted", accepted}} {
		slices.Sort(stage.durations)
		t.Logf("%s: median %v, longest %v", stage.name, stage.durations[edits/2], stage.durations[edits-1])
	}
	cancel()
	wg.Wait()
}
