package jwgateway_test

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubewheel/core/jwclock"
	"jujubewheel/core/jwstore"
	"jujubewheel/io/jwgateway"
)

// callCountingFeed counts the pages that a node reads and its watches.
type callCountingFeed struct {
	jwstore.Feed
	pages, watches atomic.Int64
}

func (p *callCountingFeed) Range(ctx context.Context, prefix, after string) (jwstore.Page, error) {
	p.pages.Add(1)
	return p.Feed.Range(ctx, prefix, after)
}

func (p *callCountingFeed) Watch(ctx context.Context, prefix string, after uint64, maxWait time.Duration) ([]jwstore.Event, uint64, error) {
	p.watches.Add(1)
	return p.Feed.Watch(ctx, prefix, after, maxWait)
}

// Three thousand targets are registered and three hundred nodes start at once. If each node read
// all registrations from the store, they would saturate its link, and no node would serve for half a
// minute.
func TestStartInLargeRegion(t *testing.T) {
	t.Parallel()
	feed := jwstore.MemoryFeed{PageSize: 20}
	startTarget(t, &feed, "t1", "s", "north-a", respondText("fine"))
	for i := range 200 {
		register(&feed, fmt.Sprint("u", i), "other", "127.0.0.1:9", "north-a", "ready")
	}
	configure(&feed, 1, route("/a/", "idempotent", ""))
	through := withRelayThreshold(2)
	first := startWith(t, &feed, "n1", "north", through)
	sendUntil(t, first, "/a/x", served)
	for i := range 1000 {
		if feed.Has("jujubewheel/nodes/n1") {
			break
		}
		assert.Assert(t, i < 999, "the first node is not registered")
		time.Sleep(10 * time.Millisecond)
	}
	counting := &callCountingFeed{Feed: &feed}
	second := startWith(t, counting, "n2", "north", through)
	sendUntil(t, second, "/a/x", served)
	assert.Equal(t, counting.pages.Load(), int64(1))
	register(&feed, "t1", "s", "127.0.0.1:9", "north-a", "draining")
	startTarget(t, &feed, "t2", "s", "north-a", respondText("second"))
	sendUntil(t, second, "/a/x", func(r reply) bool { return r.body == "second" })
}

// The relay that reads the store for the others loses it, and so does a node that reports through it.
// Both must learn of a target's leaving through a relay of another region that reaches the store.
func TestReaderLosesTheStore(t *testing.T) {
	t.Parallel()
	var feed jwstore.MemoryFeed
	x := startTarget(t, &feed, "t1", "s", "north-a", respondText("first"))
	configure(&feed, 1, route("/a/", "idempotent", ""))
	through := withRelayThreshold(1)
	north := &disconnectableFeed{Feed: &feed}
	first := startWith(t, north, "n1", "north", through)
	second := startWith(t, north, "n2", "north", through, first.nodes)
	startWith(t, &feed, "n3", "south", through, first.nodes)
	sendUntil(t, first, "/a/x", served)
	sendUntil(t, second, "/a/x", served)
	waitForDirectory(t, second, "north", first, second)
	north.disconnected.Store(true)
	startTarget(t, &feed, "t2", "s", "north-a", respondText("second"))
	register(&feed, "t1", "s", x.addr, "north-a", "draining")
	for _, n := range []node{first, second} {
		sendUntil(t, n, "/a/x", func(r reply) bool { return r.body == "second" })
	}
}

// All nodes of a region are killed and start again. Their relay takes seconds to read the targets. If
// the others read them all in the meantime, they would saturate the store's link.
func TestStartWhileRelayReads(t *testing.T) {
	t.Parallel()
	cases := map[string]time.Duration{"seconds": 250 * time.Millisecond, "longer than a relay's reading is relied on": 400 * time.Millisecond}
	for name, perPage := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			feed := jwstore.MemoryFeed{PageSize: 20}
			startTarget(t, &feed, "t1", "s", "north-a", respondText("fine"))
			for i := range 200 {
				register(&feed, fmt.Sprint("u", i), "other", "127.0.0.1:9", "north-a", "ready")
			}
			configure(&feed, 1, route("/a/", "idempotent", ""))
			through := withRelayThreshold(2)
			relay := startWith(t, slowPages{&feed, perPage}, "n1", "north", through)
			time.Sleep(perPage * 3 / 2) // the relay has its first page, of an earlier revision than that of the other node
			feed.Write("jujubewheel/nodes/n1", fmt.Appendf(nil, `{"name":"n1","region":"north","dataCentre":"north-a","callers":%q,"nodes":%q,"start":1,"change":1,"serving":true}`, relay.callers, relay.nodes))
			counting := &callCountingFeed{Feed: &feed}
			n := startWith(t, counting, "n2", "north", through)
			sendUntil(t, n, "/a/x", served)
			assert.Equal(t, counting.pages.Load(), int64(1))
		})
	}
}

// All nodes of a region start for the first time, and none is registered. Only one of them may read
// the targets, and the others take them from it.
func TestFirstStartInLargeRegion(t *testing.T) {
	t.Parallel()
	feed := jwstore.MemoryFeed{PageSize: 20}
	startTarget(t, &feed, "t1", "s", "north-a", respondText("fine"))
	for i := range 200 {
		register(&feed, fmt.Sprint("u", i), "other", "127.0.0.1:9", "north-a", "ready")
	}
	configure(&feed, 1, route("/a/", "idempotent", ""))
	counting := make([]*callCountingFeed, 6)
	var nodes []node
	for i := range counting {
		counting[i] = &callCountingFeed{Feed: slowPages{&feed, 250 * time.Millisecond}}
		nodes = append(nodes, startWith(t, counting[i], fmt.Sprint("n", i), "north", withRelayThreshold(2)))
	}
	for _, n := range nodes {
		sendUntil(t, n, "/a/x", served)
	}
	readers := 0
	for _, c := range counting {
		if c.pages.Load() > 10 {
			readers++
		}
	}
	assert.Assert(t, readers <= 2, "%d of %d nodes read all targets", readers, len(nodes))
}

// slowPages is a store that takes a while for each page.
type slowPages struct {
	jwstore.Feed
	perPage time.Duration
}

func (s slowPages) Range(ctx context.Context, prefix, after string) (jwstore.Page, error) {
	jwclock.Sleep(ctx, s.perPage)
	return s.Feed.Range(ctx, prefix, after)
}

// The registered relay does not answer. The node that starts must read all targets from the store
// itself.
func TestStartWithUnreachableRelay(t *testing.T) {
	t.Parallel()
	feed := jwstore.MemoryFeed{PageSize: 20}
	startTarget(t, &feed, "t1", "s", "north-a", respondText("fine"))
	for i := range 50 {
		register(&feed, fmt.Sprint("u", i), "other", "127.0.0.1:9", "north-a", "ready")
	}
	feed.Write("jujubewheel/nodes/n1", []byte(`{"name":"n1","region":"north","dataCentre":"north-a","callers":"127.0.0.1:9","nodes":"127.0.0.1:9","start":1,"change":1,"serving":true}`))
	configure(&feed, 1, route("/a/", "idempotent", ""))
	n := startWith(t, &feed, "n2", "north", func(g *jwgateway.Gateway) { g.RelayThreshold = 2 })
	sendUntil(t, n, "/a/x", served)
}

// In a large fleet two relays read the store, and the relays of other regions learn of changes from
// them. When their store connections stop delivering, the other relays must read the store
// themselves.
func TestRelayOfAnotherRegion(t *testing.T) {
	t.Parallel()
	var feed jwstore.MemoryFeed
	x := startTarget(t, &feed, "t1", "s", "east-a", respondText("first"))
	configure(&feed, 1, route("/a/", "idempotent", ""))
	through := withRelayThreshold(1)
	north, south := &silentFeed{Feed: &feed}, &silentFeed{Feed: &feed}
	counting := &callCountingFeed{Feed: &feed}
	nodes := []node{startWith(t, north, "n1", "north", through)}
	nodes = append(nodes, startWith(t, south, "n2", "south", through, nodes[0].nodes))
	nodes = append(nodes, startWith(t, counting, "n3", "east", through, nodes[0].nodes))
	for _, n := range nodes {
		sendUntil(t, n, "/a/x", served)
	}
	quiet := int64(0)
	for i := range 1000 {
		before := counting.watches.Load()
		time.Sleep(600 * time.Millisecond)
		if quiet = counting.watches.Load() - before; quiet == 0 {
			break
		}
		assert.Assert(t, i < 20, "the third node reads the store itself")
	}
	register(&feed, "t1", "s", x.addr, "east-a", "draining")
	startTarget(t, &feed, "t2", "s", "east-a", respondText("second"))
	sendUntil(t, nodes[2], "/a/x", func(r reply) bool { return r.body == "second" })
	north.silent.Store(true)
	south.silent.Store(true)
	startTarget(t, &feed, "t3", "s", "east-a", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("third")) })
	register(&feed, "t2", "s", "127.0.0.1:9", "east-a", "draining")
	sendUntil(t, nodes[2], "/a/x", func(r reply) bool { return r.body == "third" })
}

// In a calm fleet two relays read the store for all others. A relay that rejects what they pass on reads the
// store itself, so that nobody notices but whoever pays for the calls, until it loses the store.
func TestOnlyTwoRelaysReadTheStore(t *testing.T) {
	cases := map[string]time.Duration{"targets report often": 100 * time.Millisecond, "targets report together": 1200 * time.Millisecond, "nothing changes": 0}
	for name, interval := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var feed jwstore.MemoryFeed
			x := startTarget(t, &feed, "t1", "s", "north-a", respondText("fine"))
			configure(&feed, 1, route("/a/", "idempotent", ""))
			through := withRelayThreshold(1)
			feeds := make([]*callCountingFeed, 4)
			var nodes []node
			for i, dc := range []string{"north-a", "north-b", "south-a", "east-a"} {
				feeds[i] = &callCountingFeed{Feed: &feed}
				region, _, _ := strings.Cut(dc, "-")
				var seeds []netip.AddrPort
				if i > 0 {
					seeds = append(seeds, nodes[0].nodes)
				}
				nodes = append(nodes, startWith(t, feeds[i], fmt.Sprint("n", i+1), region, func(g *jwgateway.Gateway) {
					g.Settings.DataCentre = dc
					through(g)
				}, seeds...))
			}
			for _, n := range nodes {
				sendUntil(t, n, "/a/x", served)
			}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go func() {
				for interval > 0 && ctx.Err() == nil {
					register(&feed, "t1", "s", x.addr, "north-a", "ready")
					jwclock.Sleep(ctx, interval)
				}
			}()
			for range 10 {
				readers := 0
				before := make([]int64, len(feeds))
				for i, f := range feeds {
					before[i] = f.watches.Load()
				}
				time.Sleep(2 * time.Second)
				for i, f := range feeds {
					if f.watches.Load() > before[i] {
						readers++
					}
				}
				if readers <= 2 {
					return
				}
			}
			t.Fatal("more than two relays read the store")
		})
	}
}
