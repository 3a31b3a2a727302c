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

// silentFeed is a store whose watches return nothing while silent is set, as if the connection no
// longer delivered anything.
type silentFeed struct {
	jwstore.Feed
	silent atomic.Bool
}

func (h *silentFeed) Watch(ctx context.Context, prefix string, after uint64, maxWait time.Duration) ([]jwstore.Event, uint64, error) {
	for h.silent.Load() {
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-time.After(10 * time.Millisecond):
		}
	}
	events, revision, err := h.Feed.Watch(ctx, prefix, after, min(maxWait, 100*time.Millisecond))
	if h.silent.Load() {
		return nil, after, nil
	}
	return events, revision, err
}

func (h *silentFeed) Range(ctx context.Context, prefix, after string) (jwstore.Page, error) {
	return h.Feed.Range(ctx, prefix, after)
}

// withRelayThreshold sets the number of nodes in a region from which on they exchange state through
// relays.
func withRelayThreshold(nodes int) func(*jwgateway.Gateway) {
	return func(g *jwgateway.Gateway) { g.RelayThreshold = nodes }
}

// startRelayed starts nodes of one data centre that exchange state through a relay, which is the
// first one.
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

// In a region of many nodes only one node of a data centre reads the store. The others must learn
// through it of a target that is leaving and of a new one.
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

// The relay stops and another node takes over. The third node must still learn of changes in the
// store.
func TestRelayStops(t *testing.T) {
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

// The relay runs, but its connection to the store delivers nothing or is lost. The other nodes must
// not rely on its view and have to read the store themselves.
func TestRelayWithStaleStoreView(t *testing.T) {
	t.Parallel()
	cases := map[string]func(first *silentFeed, link *disconnectableFeed){
		"silent":       func(first *silentFeed, _ *disconnectableFeed) { first.silent.Store(true) },
		"disconnected": func(_ *silentFeed, link *disconnectableFeed) { link.disconnected.Store(true) },
	}
	for name, fail := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var feed jwstore.MemoryFeed
			x := startTarget(t, &feed, "t1", "s", "north-a", respondText("first"))
			configure(&feed, 1, route("/a/", "idempotent", ""))
			link := &disconnectableFeed{Feed: &feed}
			first := &silentFeed{Feed: link}
			nodes := startRelayed(t, first, &feed, &feed)
			fail(first, link)
			startTarget(t, &feed, "t2", "s", "north-a", respondText("second"))
			register(&feed, "t1", "s", x.addr, "north-a", "draining")
			for _, n := range nodes[1:] {
				sendUntil(t, n, "/a/x", func(r reply) bool { return r.body == "second" })
			}
		})
	}
}

// A configuration comes into force at all nodes of a data centre and stays in force, though most
// nodes learn of it through a relay.
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

// rangeCountingFeed counts the reads of all keys.
type rangeCountingFeed struct {
	jwstore.Feed
	ranges atomic.Int64
}

func (c *rangeCountingFeed) Range(ctx context.Context, prefix, after string) (jwstore.Page, error) {
	c.ranges.Add(1)
	return c.Feed.Range(ctx, prefix, after)
}

// startRelayedPair starts two nodes of one data centre that exchange state through a relay, which
// is the first one. pause simulates that the second one was suspended; the function that it returns
// reports whether that node has read all keys again since.
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
		g.TimeSinceBoot = func() time.Duration { return time.Duration(boot.Load()) }
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

// A node that learns of changes through its relay is suspended. By its monotonic clock, which stood
// still, the relay's report still looks recent. Relying on it, the node would serve by outdated
// state.
func TestPausedNodeDoesNotRelyOnItsRelay(t *testing.T) {
	t.Parallel()
	_, second, pause := startRelayedPair(t)
	reread := pause()
	sendUntil(t, second, "/a/x", func(r reply) bool { return served(r) && reread() })
}

// A node that reports through a relay was paused and has seen no other node since, so that it
// considers itself the relay. If neither node called the other, neither would ever learn of the
// other again.
func TestPausedNodeRejoinsItsRelay(t *testing.T) {
	t.Parallel()
	first, second, pause := startRelayedPair(t)
	eventually(t, pause())
	eventually(t, func() bool {
		return len(directory(t, first, "north")) == 2 && len(directory(t, second, "north")) == 2
	})
}

// Another node mistakes a node for the relay. That node has exchanged state with its relay only, so
// if it reported liveness, all nodes that it has not seen would be considered unresponsive.
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
	// The directory returns a registered node before any exchange with it.
	eventually(t, func() bool {
		other := ask(nodes[1])
		assert.Assert(t, !other.Through.Relay && len(other.Through.Liveness) == 0)
		return slices.Contains(other.LocalSeen, "n1")
	})
}
