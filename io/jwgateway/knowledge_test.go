package jwgateway

import (
	"context"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"jujubewheel/core/jwentry"
	"jujubewheel/core/jwinstance"
	"jujubewheel/core/jwmember"
	"jujubewheel/core/jwstore"
	"jujubewheel/io/jwconn"
	"jujubewheel/io/jwsettings"
)

const evacuationPrefix = "op/evacuate/"

// evacuationRecords decodes evacuations, and configurations like countingRecords.
type evacuationRecords struct{ countingRecords }

func (*evacuationRecords) Evacuation(key string) (string, bool) {
	return strings.CutPrefix(key, evacuationPrefix)
}

func (*evacuationRecords) TargetID(key string) (string, bool) {
	return strings.CutPrefix(key, "servers/")
}

func (*evacuationRecords) Target(id string, value []byte) (jwinstance.Instance, error) {
	return jwinstance.Instance{ID: id, Service: string(value), Region: "north", Slots: 1}, nil
}

// newReader returns a node that reads a store only when the test says so.
func newReader(feed jwstore.Feed, name string) *Gateway {
	g := &Gateway{
		Settings: &jwsettings.Settings{Node: name, Region: "north", DataCentre: "north-a"},
		Feed:     feed, Records: &evacuationRecords{}, Log: logr.Discard(), registrationChanged: make(chan struct{}, 1),
		startTime: time.Now(), metrics: newMetrics(nil), Nodes: &jwconn.Pool{},
	}
	g.bounds.Store(&jwsettings.Bounds{ConfigInForce: jwsettings.DefaultConfigInForce})
	g.pauseDetector.Limit = pauseLimit
	g.pauseDetector.Reset()
	g.members.Self = jwmember.Member{Name: name, Region: "north", DataCentre: "north-a", Serving: true, Start: 1}
	g.targets.Node, g.targets.Region = name, "north"
	g.storeWatcher = newStoreWatcher(g)
	return g
}

// read makes a node read the store, or its changes.
func read(t *testing.T, g *Gateway) {
	t.Helper()
	_, err := g.storeWatcher.readOnce(context.Background())
	assert.NilError(t, err)
}

// The store came back from a copy older than an evacuation, which operators have written again. A node
// that learns of that from another node's view must not end the evacuation when its hold ends.
func TestEvacuationWrittenAgainOutlivesItsHold(t *testing.T) {
	var feed jwstore.MemoryFeed
	feed.Write("op/config", []byte("1"))
	feed.Write(nodePrefix+"peer", []byte(`{"name":"peer"}`))
	old := feed.Snapshot()
	feed.Write(evacuationPrefix+"north-b", nil)
	g, peer := newReader(&feed, "n1"), newReader(&feed, "peer")
	read(t, g)
	feed.Restore(old)
	g.storeWatcher.resetRevision()
	read(t, g)
	assert.DeepEqual(t, g.targets.Evacuated(), []string{"north-b"})
	feed.Write(evacuationPrefix+"north-b", nil)
	read(t, peer)
	now := time.Now()
	g.storeWatcher.applyView(now, peer.viewSince(now, 0, 0), "peer")
	g.storeWatcher.endHeldEvacuations(now.Add(2 * restoredEvacuationHold))
	assert.DeepEqual(t, g.targets.Evacuated(), []string{"north-b"})
}

// Another node's view arrives after this node has read a later change of the store. The view must not
// undo that change.
func TestOlderViewUndoesNoEvacuation(t *testing.T) {
	cases := map[string]struct {
		before, after func(*jwstore.MemoryFeed)
		want          []string
	}{
		"begun since": {
			before: func(*jwstore.MemoryFeed) {},
			after:  func(f *jwstore.MemoryFeed) { f.Write(evacuationPrefix+"north-b", nil) },
			want:   []string{"north-b"},
		},
		"ended since": {
			before: func(f *jwstore.MemoryFeed) { f.Write(evacuationPrefix+"north-b", nil) },
			after:  func(f *jwstore.MemoryFeed) { f.Remove(evacuationPrefix + "north-b") },
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var feed jwstore.MemoryFeed
			feed.Write("op/config", []byte("1"))
			c.before(&feed)
			g, peer := newReader(&feed, "n1"), newReader(&feed, "peer")
			read(t, peer)
			v := peer.viewSince(time.Now(), 0, 0)
			c.after(&feed)
			read(t, g)
			g.storeWatcher.applyView(time.Now(), v, "peer")
			assert.DeepEqual(t, g.targets.Evacuated(), c.want)
		})
	}
}

// A node reads all keys again and applies another node's older view in the meantime. Its own view, which
// is of the revision that it had read before, must not have what ended up to then.
func TestOlderViewDuringReadOfAllKeys(t *testing.T) {
	var feed jwstore.MemoryFeed
	feed.Write("op/config", []byte("1"))
	feed.Write(evacuationPrefix+"north-b", nil)
	g, peer := newReader(&feed, "n1"), newReader(&feed, "peer")
	read(t, peer)
	older := peer.viewSince(time.Now(), 0, 0)
	feed.Remove(evacuationPrefix + "north-b")
	read(t, g)
	g.storeWatcher.resetRevision()
	g.storeWatcher.applyView(time.Now(), older, "peer")
	peer.storeWatcher.applyView(time.Now(), g.viewSince(time.Now(), 0, 0), "n1")
	assert.Equal(t, len(peer.targets.Evacuated()), 0)
}

// A relay reads all keys and applies another node's newer view in the meantime. What the view had must
// be among the changes that it passes on from the revision of its pages.
func TestRelayKeepsChangesOfAViewDuringReadOfAllKeys(t *testing.T) {
	m := &storeModel{changes: make(map[string]jwstore.Event)}
	m.change("op/config", []byte("1"))
	m.change(evacuationPrefix+"north-c", []byte("1"))
	m.change("servers/t1", []byte("s"))
	feed := &steppedFeed{storeModel: m, step: func() {}}
	relay, other, node := newReader(feed, relayMember.Name), newReader(m, "n2"), newReader(m, "n1")
	relay.members.RelayThreshold = 1
	read(t, node)
	feed.step = func() {
		feed.step = func() {}
		m.change("servers/t2", []byte("s"))
		m.change(evacuationPrefix+"north-b", []byte("1"))
		read(t, other)
		relay.storeWatcher.applyView(time.Now(), other.viewSince(time.Now(), 0, 0), "n2")
	}
	read(t, relay)
	read(t, relay)
	now := time.Now()
	node.storeWatcher.applyRelayed(now, relay.changesAfter(now, node.storeWatcher.currentRevision()), relayMember.Name)
	if node.storeWatcher.currentRevision() != m.revisionNow() {
		return // the relay passed nothing on, so the node reads the store
	}
	assert.DeepEqual(t, node.targets.Evacuated(), []string{"north-b", "north-c"})
	assert.Equal(t, len(node.targets.Instances(now)), 2)
}

// A configuration comes into force while a view is put together. A view of the configuration's revision
// without it would let a node skip it.
func TestViewHasTheConfigurationOfItsRevision(t *testing.T) {
	var feed jwstore.MemoryFeed
	feed.Write("op/config", []byte("1"))
	g := newReader(&feed, "n1")
	read(t, g)
	const versions = 3000
	done := make(chan struct{})
	go func() {
		defer close(done)
		for v := 2; v <= versions; v++ {
			revision := jwstore.Revision(v)
			g.storeWatcher.mu.Lock()
			g.storeWatcher.applyChanges(time.Now(), []jwstore.Event{{Key: "op/config", Value: fmt.Append(nil, v), Revision: revision}}, revision, fromStore)
			g.storeWatcher.mu.Unlock()
		}
	}()
	for running := true; running; {
		select {
		case <-done:
			running = false
		default:
		}
		v := g.viewSince(time.Now(), 0, 0)
		version, err := strconv.ParseUint(string(v.Config), 10, 64)
		assert.NilError(t, err)
		assert.Assert(t, version >= v.Revision, "version %d at revision %d", version, v.Revision)
	}
}

// viewingRecords calls a function before each configuration is decoded.
type viewingRecords struct {
	evacuationRecords
	beforeConfig func()
}

func (r *viewingRecords) Config(value []byte) (*jwentry.Config, error) {
	r.beforeConfig()
	return r.evacuationRecords.Config(value)
}

// A node applies a view of another one. As long as it hasn't the configuration of the view's revision in
// force, it must not say that it has read up to there, or the nodes that ask it skip that configuration.
func TestViewIsPublishedWithItsConfiguration(t *testing.T) {
	var feed jwstore.MemoryFeed
	feed.Write("op/config", []byte("1"))
	feed.Write(nodePrefix+"peer", []byte(`{"name":"peer"}`))
	g, peer := newReader(&feed, "n1"), newReader(&feed, "peer")
	read(t, g)
	old := g.store.revision.Load()
	feed.Write("op/config", []byte("2"))
	read(t, peer)
	asked := false
	g.Records = &viewingRecords{beforeConfig: func() {
		asked = true
		assert.Check(t, g.store.revision.Load() == old, "published before the configuration")
	}}
	g.storeWatcher.fetchView = func(context.Context, netip.AddrPort, uint64, uint64, time.Duration) (view, error) {
		return peer.viewSince(time.Now(), 0, 0), nil
	}
	cases := map[string]func(){
		"of a peer": func() {
			g.store.lastCallFailed.Store(true)
			g.pullView(netip.AddrPort{})
		},
		"of the relay at the start": func() {
			g.storeWatcher.applySourceView(peer.viewSince(time.Now(), 0, 0), peer.members.Local(), &fullRead{})
		},
	}
	for name, apply := range cases {
		t.Run(name, func(t *testing.T) {
			g.entries, asked = jwentry.Table{}, false
			g.storeWatcher.revision, g.storeWatcher.lastRevision = old, old
			g.store.revision.Store(old)
			g.pulledRevision.Store(0)
			apply()
			assert.Assert(t, asked)
			assert.Equal(t, g.entries.Version(), uint64(2))
			assert.Equal(t, g.store.revision.Load(), peer.store.revision.Load())
		})
	}
}

// A node hears of a newer version while a view of another node arrives slowly, and the first peer that names
// the version doesn't answer. The next one's report must bring it all the same.
func TestConfigurationIsFetchedBesideAView(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var feed jwstore.MemoryFeed
		feed.Write("op/config", []byte("1"))
		g, peer := newReader(&feed, "n1"), newReader(&feed, "peer")
		read(t, g)
		feed.Write("op/config", []byte("2"))
		read(t, peer)
		slow, silent, sound := netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1"), netip.MustParseAddrPort("10.0.0.3:1")
		g.storeWatcher.fetchView = func(_ context.Context, a netip.AddrPort, version, revision uint64, _ time.Duration) (view, error) {
			if a != sound {
				time.Sleep(time.Minute)
			}
			return peer.viewSince(time.Now(), version, revision), nil
		}
		g.store.lastCallFailed.Store(true)
		report := func(a netip.AddrPort, version uint64) {
			g.catchUp(time.Now(), state{Version: version, Revision: 99}, a)
			synctest.Wait()
		}
		report(slow, 1) // ahead by its revision
		report(silent, 2)
		time.Sleep(time.Second)
		report(sound, 2)
		assert.Equal(t, g.entries.Version(), uint64(2))
		time.Sleep(2 * time.Minute)
	})
}

// A node of an earlier version sends a view without facts. The view must end no evacuation, and the node
// must not skip the changes up to the view's revision.
func TestViewWithoutFactsIsIgnored(t *testing.T) {
	var feed jwstore.MemoryFeed
	feed.Write("op/config", []byte("1"))
	feed.Write(evacuationPrefix+"north-b", nil)
	g := newReader(&feed, "n1")
	read(t, g)
	revision := g.storeWatcher.currentRevision()
	g.storeWatcher.applyView(time.Now(), view{Revision: revision + 9}, "n2")
	assert.DeepEqual(t, g.targets.Evacuated(), []string{"north-b"})
	assert.Equal(t, g.storeWatcher.currentRevision(), revision)
}

// storeModel is a store that knows the last change of each key, which is what its readers must know.
type storeModel struct {
	jwstore.MemoryFeed
	changes  map[string]jwstore.Event
	restored bool // it came back from an older copy
}

func (m *storeModel) revisionNow() jwstore.Revision {
	p, err := m.MemoryFeed.Range(context.Background(), "none", "")
	if err != nil {
		panic(err)
	}
	return p.Revision
}

// change writes a key, or removes it if value is nil.
func (m *storeModel) change(key string, value []byte) {
	if value == nil {
		m.Remove(key)
	} else {
		m.Write(key, value)
	}
	m.changes[key] = jwstore.Event{Key: key, Value: value, Deleted: value == nil, Revision: m.revisionNow()}
}

// restore restores the store from a copy and the changes that it had.
func (m *storeModel) restore(s jwstore.Snapshot, changes map[string]jwstore.Event) {
	m.Restore(s)
	m.restored = true
	for key := range m.changes {
		e := changes[key]
		m.changes[key] = jwstore.Event{Key: key, Value: e.Value, Deleted: e.Value == nil, Revision: m.revisionNow()}
	}
}

// Watch doesn't wait for changes.
func (m *storeModel) Watch(ctx context.Context, prefix string, after jwstore.Revision, _ time.Duration) ([]jwstore.Event, jwstore.Revision, error) {
	return m.MemoryFeed.Watch(ctx, prefix, after, 0)
}

// checkReader fails the test if a node lacks a change up to the revision that it has read.
func (m *storeModel) checkReader(t *rapid.T, g *Gateway) {
	now, revision := time.Now(), g.storeWatcher.currentRevision()
	if revision == 0 || jwstore.Era(revision) != jwstore.Era(m.revisionNow()) {
		return
	}
	known := make(map[string]string) // values by key
	held := make(map[string]bool)
	for _, f := range g.storeWatcher.allFacts(now) {
		known[f.Key], held[f.Key] = string(f.Value), f.HeldFor > 0
	}
	for _, in := range g.targets.Instances(now) {
		known["servers/"+in.ID] = in.Service
	}
	inForce := make(map[string]bool) // of evacuations and nodes
	for _, dc := range g.targets.Evacuated() {
		inForce[evacuationPrefix+dc] = true
	}
	for _, n := range append(g.members.Peers(now), g.members.Local()) {
		inForce[nodePrefix+n.Name] = true
	}
	for key, e := range m.changes {
		target := strings.HasPrefix(key, "servers/")
		if e.Revision > revision || held[key] || target && m.restored {
			continue
		}
		value, ok := known[key]
		if ok == e.Deleted || ok && value != string(e.Value) {
			t.Fatalf("%s at %d: known %t, value %q; the store: %+v", key, revision, ok, value, e)
		}
		if table := strings.HasPrefix(key, evacuationPrefix) || strings.HasPrefix(key, nodePrefix); table && inForce[key] != ok {
			t.Fatalf("%s at %d: in force %t, known %t", key, revision, inForce[key], ok)
		}
	}
}

// steppedFeed is a store where other things happen during each call.
type steppedFeed struct {
	*storeModel
	step func()
}

func (f *steppedFeed) Range(ctx context.Context, prefix, after string) (jwstore.Page, error) {
	p, err := f.storeModel.Range(ctx, prefix, after)
	f.step()
	return p, err
}

func (f *steppedFeed) Watch(ctx context.Context, prefix string, after jwstore.Revision, maxWait time.Duration) ([]jwstore.Event, jwstore.Revision, error) {
	events, revision, err := f.storeModel.Watch(ctx, prefix, after, maxWait)
	f.step()
	return events, revision, err
}

// tryRead reads the store or its changes, and makes the next read one of all keys if the history is gone.
func tryRead(g *Gateway) {
	if _, err := g.storeWatcher.readOnce(context.Background()); err != nil {
		g.storeWatcher.resetRevision()
	}
}

// readers are a relay and a node that follows it, on a store that changes at random.
type readers struct {
	t           *rapid.T
	store       *storeModel
	relay, node *Gateway
	other       *Gateway // a node of another region
	views       []view   // of the relay, the last one last
	after       jwstore.Revision
	copied      jwstore.Snapshot
	copyChanges map[string]jwstore.Event
	busy        bool
	relayReads  bool // a node reads the store once at a time
}

var modelKeys = []string{
	evacuationPrefix + "north-b", evacuationPrefix + "north-c", nodePrefix + "m1", nodePrefix + "m2",
	versionsKey, fleetSizeKey, "servers/t1", "servers/t2", "servers/t3", "servers/t4",
}

var relayMember = jwmember.Member{Name: "a", Region: "north", DataCentre: "north-a", Start: 1, Serving: true}

func newReaders(t *rapid.T) *readers {
	m := &storeModel{changes: make(map[string]jwstore.Event)}
	m.PageSize = 3
	r := &readers{t: t, store: m}
	feed := &steppedFeed{m, r.meanwhile}
	r.relay, r.node, r.other = newReader(feed, relayMember.Name), newReader(feed, "n1"), newReader(m, "n2")
	r.node.members.RelayThreshold, r.relay.members.RelayThreshold = 2, 1
	r.node.storeWatcher.fetchView = func(context.Context, netip.AddrPort, uint64, uint64, time.Duration) (view, error) {
		r.readRelay()
		r.meanwhile()
		r.readRelay()
		return r.relay.viewSince(time.Now(), 0, 0), nil
	}
	for _, key := range modelKeys[4:] {
		m.change(key, valueOf(key, 1))
	}
	m.change(nodePrefix+relayMember.Name, valueOf(nodePrefix+relayMember.Name, 1))
	return r
}

// valueOf returns a value of a key.
func valueOf(key string, n int) []byte {
	switch name, node := strings.CutPrefix(key, nodePrefix); {
	case node:
		return fmt.Appendf(nil, `{"name":%q,"region":"north","dataCentre":"north-a","start":%d,"serving":true}`, name, n)
	case key == versionsKey:
		return fmt.Appendf(nil, `{"s":["v%d"]}`, n)
	case key == fleetSizeKey:
		return fmt.Appendf(nil, `{"nodes":%d}`, n)
	case strings.HasPrefix(key, "servers/"):
		return []byte("s")
	}
	return fmt.Append(nil, n)
}

// readRelay lets the relay read.
func (r *readers) readRelay() {
	if r.relayReads {
		return
	}
	r.relayReads = true
	tryRead(r.relay)
	r.relayReads = false
}

// write writes or removes a key.
func (r *readers) write() {
	key := rapid.SampledFrom(modelKeys).Draw(r.t, "key")
	if key != versionsKey && key != fleetSizeKey && rapid.Bool().Draw(r.t, "remove") {
		r.store.change(key, nil)
		return
	}
	r.store.change(key, valueOf(key, rapid.IntRange(1, 9).Draw(r.t, "value")))
}

// others are what may happen during a call of the node.
var others = map[string]func(*readers){
	"write":       (*readers).write,
	"relay reads": (*readers).readRelay,
	"take a view": func(r *readers) {
		r.readRelay()
		r.views = append(r.views, r.relay.viewSince(time.Now(), 0, 0))
	},
	"apply a view": func(r *readers) {
		if n := len(r.views); n > 0 {
			r.node.storeWatcher.applyView(time.Now(), r.views[rapid.IntRange(0, n-1).Draw(r.t, "view")], relayMember.Name)
		}
	},
	"ask the relay": func(r *readers) { r.after = r.node.storeWatcher.currentRevision() },
	"relay answers": func(r *readers) {
		now := time.Now()
		r.node.storeWatcher.applyRelayed(now, r.relay.changesAfter(now, r.after), relayMember.Name)
	},
	"relay applies a view": func(r *readers) {
		now := time.Now()
		r.relay.storeWatcher.applyView(now, r.node.viewSince(now, 0, 0), "n1")
	},
	"relay applies a newer view": func(r *readers) {
		tryRead(r.other)
		now := time.Now()
		r.relay.storeWatcher.applyView(now, r.other.viewSince(now, 0, 0), "n2")
	},
	"relay reads all": func(r *readers) {
		if !r.relayReads {
			r.relay.storeWatcher.resetRevision()
			r.readRelay()
		}
	},
	"compact": func(r *readers) { r.store.Compact() },
	"copy":    func(r *readers) { r.copied, r.copyChanges = r.store.Snapshot(), maps.Clone(r.store.changes) },
	"restore": func(r *readers) {
		if r.copyChanges != nil {
			r.store.restore(r.copied, r.copyChanges)
			r.copyChanges = nil
		}
	},
}

// meanwhile does some of the others.
func (r *readers) meanwhile() {
	if r.busy {
		return
	}
	r.busy = true
	for range rapid.IntRange(0, 4).Draw(r.t, "meanwhile") {
		others[rapid.SampledFrom(slices.Sorted(maps.Keys(others))).Draw(r.t, "op")](r)
	}
	r.busy = false
}

// A node reads all keys, takes the targets from its relay, follows the store or the relay, and takes
// views, while the store changes, loses its history and comes back from an older copy. What the node
// knows must include each change up to the revision that it claims to have read.
func TestNodeKnowsEachChangeUpToItsRevision(t *testing.T) {
	ops := maps.Clone(others)
	ops["read"] = func(r *readers) { tryRead(r.node) }
	ops["read all"] = func(r *readers) {
		r.node.storeWatcher.resetRevision()
		tryRead(r.node)
	}
	names := slices.Sorted(maps.Keys(ops))
	rapid.Check(t, func(t *rapid.T) {
		r := newReaders(t)
		for range rapid.IntRange(5, 40).Draw(t, "steps") {
			r.node.members.Seen(time.Now(), relayMember)
			ops[rapid.SampledFrom(names).Draw(t, "op")](r)
			r.store.checkReader(t, r.node)
			r.store.checkReader(t, r.relay)
		}
	})
}
