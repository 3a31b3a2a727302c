package jwgateway_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubewheel/core/jwstore"
	"jujubewheel/io/jwgateway"
)

// silentFeed is a store whose watches tell nothing while hang is set: the connection
// has fallen silent.
type silentFeed struct {
	jwstore.Feed
	silent atomic.Bool
}

func (h *silentFeed) Watch(ctx context.Context, prefix string, after uint64, most time.Duration) ([]jwstore.Event, uint64, error) {
	for h.silent.Load() {
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-time.After(10 * time.Millisecond):
		}
	}
	events, revision, err := h.Feed.Watch(ctx, prefix, after, min(most, 100*time.Millisecond))
	if h.silent.Load() {
		return nil, after, nil
	}
	return events, revision, err
}

func (h *silentFeed) Range(ctx context.Context, prefix, after string) (jwstore.Page, error) {
	return h.Feed.Range(ctx, prefix, after)
}

// withRelayThreshold sets from how many nodes of a region on they exchange state through relays.
func withRelayThreshold(nodes int) func(*jwgateway.Gateway) {
	return func(g *jwgateway.Gateway) { g.RelayThreshold = nodes }
}

// startRelayed starts nodes of one data centre that exchange state through a relay, the first by name.
func startRelayed(t *testing.T, feeds ...jwstore.Feed) []node {
	t.Helper()
	nodes := make([]node, 0, len(feeds))
	for i, feed := range feeds {
		nodes = append(nodes, startWith(t, feed, fmt.Sprintf("n%d", i+1), "north", withRelayThreshold(2)))
	}
	for _, n := range nodes {
		sendUntil(t, n, "/a/x", served)
		waitForDirectory(t, n, "north", nodes...)
	}
	return nodes
}

// In a region of many nodes one of a data centre reads the store for the others. They
// must learn of a target that leaves, and of one that comes, though they read nothing.
func TestRelayReadsTheStore(t *testing.T) {
	t.Parallel()
	var feed jwstore.MemoryFeed
	x := startTarget(t, &feed, "t1", "s", "north-a", respondText("first"))
	configure(&feed, 1, route("/a/", "idempotent", ""))
	second, third := &silentFeed{Feed: &feed}, &silentFeed{Feed: &feed}
	nodes := startRelayed(t, &feed, second, third)
	second.silent.Store(true)
	third.silent.Store(true)
	startTarget(t, &feed, "t2", "s", "north-a", respondText("second"))
	register(&feed, "t1", "s", x.addr, "north-a", "draining")
	for _, n := range nodes {
		sendUntil(t, n, "/a/x", func(r reply) bool { return r.body == "second" })
	}
}

// The relay dies, and another node takes its place: the third one still hears of what
// changes in the store.
func TestRelayFails(t *testing.T) {
	t.Parallel()
	var feed jwstore.MemoryFeed
	x := startTarget(t, &feed, "t1", "s", "north-a", respondText("first"))
	configure(&feed, 1, route("/a/", "idempotent", ""))
	third := &silentFeed{Feed: &feed}
	nodes := startRelayed(t, &feed, &feed, third)
	third.silent.Store(true)
	nodes[0].stop()
	startTarget(t, &feed, "t2", "s", "north-a", respondText("second"))
	register(&feed, "t1", "s", x.addr, "north-a", "draining")
	for _, n := range nodes[1:] {
		sendUntil(t, n, "/a/x", func(r reply) bool { return r.body == "second" })
	}
}

// The relay lives, but its connection to the store has fallen silent, or it is cut off.
// The others must not go on by what it knows: they read the store themselves.
func TestRelayWithStaleStoreView(t *testing.T) {
	t.Parallel()
	cases := map[string]func(first *silentFeed, cut *disconnectableFeed){
		"silent":  func(first *silentFeed, _ *disconnectableFeed) { first.silent.Store(true) },
		"cut off": func(_ *silentFeed, cut *disconnectableFeed) { cut.disconnected.Store(true) },
	}
	for name, fail := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var feed jwstore.MemoryFeed
			x := startTarget(t, &feed, "t1", "s", "north-a", respondText("first"))
			configure(&feed, 1, route("/a/", "idempotent", ""))
			cut := &disconnectableFeed{Feed: &feed}
			first := &silentFeed{Feed: cut}
			nodes := startRelayed(t, first, &feed, &feed)
			fail(first, cut)
			startTarget(t, &feed, "t2", "s", "north-a", respondText("second"))
			register(&feed, "t1", "s", x.addr, "north-a", "draining")
			for _, n := range nodes[1:] {
				sendUntil(t, n, "/a/x", func(r reply) bool { return r.body == "second" })
			}
		})
	}
}

// A configuration is in force at all nodes of a data centre, and stays so, though most
// learn of it through a relay.
func TestConfigurationThroughRelay(t *testing.T) {
	t.Parallel()
	var feed jwstore.MemoryFeed
	startTarget(t, &feed, "t1", "s", "north-a", respondText("fine"))
	configure(&feed, 1, route("/a/", "idempotent", ""))
	nodes := startRelayed(t, &feed, &feed, &feed)
	for version := 2; version < 8; version++ {
		configure(&feed, version, route("/a/", "idempotent", ""), route(fmt.Sprintf("/v%d/", version), "idempotent", ""))
	}
	for _, n := range nodes {
		sendUntil(t, n, "/v7/x", served)
		r, err := send(t, n, http.MethodGet, "/v6/x", "old", nil, "")
		assert.NilError(t, err)
		assert.Equal(t, r.status, http.StatusNotFound)
	}
}

// rangeCountingFeed counts how often everything is read.
type rangeCountingFeed struct {
	jwstore.Feed
	ranges atomic.Int64
}

func (c *rangeCountingFeed) Range(ctx context.Context, prefix, after string) (jwstore.Page, error) {
	c.ranges.Add(1)
	return c.Feed.Range(ctx, prefix, after)
}

// startRelayedPair starts two nodes of one data centre that exchange state through a relay, the first;
// pause suspends the second one, and reports later whether that has read everything anew.
func startRelayedPair(t *testing.T) (first, second node, pause func() (reread func() bool)) {
	t.Helper()
	var feed jwstore.MemoryFeed
	startTarget(t, &feed, "t1", "s", "north-a", respondText("fine"))
	configure(&feed, 1, route("/a/", "idempotent", ""))
	counting := &rangeCountingFeed{Feed: &feed}
	var boot atomic.Int64
	first = startWith(t, &feed, "n1", "north", withRelayThreshold(2))
	second = startWith(t, counting, "n2", "north", func(g *jwgateway.Gateway) {
		withRelayThreshold(2)(g)
		g.Boot = func() time.Duration { return time.Duration(boot.Load()) }
	})
	for _, n := range []node{first, second} {
		sendUntil(t, n, "/a/x", served)
		waitForDirectory(t, n, "north", first, second)
	}
	return first, second, func() func() bool {
		before := counting.ranges.Load()
		boot.Add(int64(time.Hour))
		return func() bool { return counting.ranges.Load() > before }
	}
}

// A node that learns of the store through its relay was suspended, and by its steady clock
// the relay's report is young. Going on by that, it would serve by what it knew before.
func TestPausedNodeDoesNotRelyOnItsRelay(t *testing.T) {
	t.Parallel()
	_, second, pause := startRelayedPair(t)
	reread := pause()
	sendUntil(t, second, "/a/x", func(r reply) bool { return served(r) && reread() })
}

// A node that reports through a relay was paused and has seen nobody since, so that it takes
// itself for the relay. If neither calls the other, it stays alone for good.
func TestPausedNodeRejoinsItsRelay(t *testing.T) {
	t.Parallel()
	first, second, pause := startRelayedPair(t)
	eventually(t, pause())
	eventually(t, func() bool {
		return len(directory(t, first, "north")) == 2 && len(directory(t, second, "north")) == 2
	})
}

// A node that is no relay is taken for one. It has exchanged state with its relay only, and the
// others that it hasn't seen would be taken for unresponsive.
func TestOnlyRelayReportsUnresponsiveNodes(t *testing.T) {
	t.Parallel()
	var feed jwstore.MemoryFeed
	startTarget(t, &feed, "t1", "s", "north-a", respondText("fine"))
	configure(&feed, 1, route("/a/", "idempotent", ""))
	nodes := startRelayed(t, &feed, &feed, &feed)
	ask := func(n node) (out struct {
		LocalSeen []string `json:"localSeen"`
		Through   struct {
			Relay    bool            `json:"relay"`
			Liveness json.RawMessage `json:"liveness"`
		} `json:"through"`
	},
	) {
		res, err := http.Post("http://"+n.nodes.String()+"/state", "application/json", strings.NewReader(
			`{"member":{"name":"n9","region":"north","dataCentre":"north-a","callers":"127.0.0.1:1","nodes":"127.0.0.1:1","start":1},"through":{"asks":true}}`))
		assert.NilError(t, err)
		defer res.Body.Close()
		assert.NilError(t, json.NewDecoder(res.Body).Decode(&out))
		return out
	}
	relay := ask(nodes[0])
	assert.Assert(t, relay.Through.Relay && len(relay.Through.Liveness) > 0)
	other := ask(nodes[1])
	assert.Assert(t, !other.Through.Relay && len(other.Through.Liveness) == 0)
	assert.Assert(t, slices.Contains(other.LocalSeen, "n1"), "%v", other.LocalSeen)
}
