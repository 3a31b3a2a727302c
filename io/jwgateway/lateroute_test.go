package jwgateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubewheel/core/jwstore"
	"jujubewheel/io/jwgateway"
	"jujubewheel/io/jwlog"
	"jujubewheel/io/jwsettings"
)

// A request for an entry that the node doesn't know leaves a line with the version by which it decided and
// the revision that it had read, or a late configuration can't be told from a wrong request.
func TestUnknownEntryIsLogged(t *testing.T) {
	t.Parallel()
	var feed jwstore.MemoryFeed
	startTarget(t, &feed, "t1", "s", "north-a", respondText("fine"))
	configure(&feed, 7, route("/a/", "idempotent", ""))
	var log lockedBuffer
	n := startWith(t, &feed, "n1", "north", func(g *jwgateway.Gateway) { g.Decisions = jwlog.NewDecisions(&log, &log, "n1") })
	sendUntil(t, n, "/a/x", served)
	r, err := send(t, n, http.MethodGet, "/b/x", "unknown", nil, "")
	assert.NilError(t, err)
	assert.Equal(t, r.status, http.StatusNotFound)
	eventually(t, func() bool {
		for line := range strings.Lines(log.String()) {
			if strings.Contains(line, `"request":"unknown"`) {
				return strings.Contains(line, `"version":7`) && strings.Contains(line, `"status":404`) && strings.Contains(line, `"storeRevision":`)
			}
		}
		return false
	})
}

// A node that learns nothing any more must not answer 404 for an entry that was added meanwhile: callers
// would give up instead of asking another node.
func TestUnknownEntryAtOutdatedNode(t *testing.T) {
	cases := map[string]struct {
		peer bool // it follows a relay, which fails too
		fail func(*disconnectableFeed, *silentFeed)
	}{
		"the store is away":              {false, func(link *disconnectableFeed, _ *silentFeed) { link.disconnected.Store(true) }},
		"the store is silent":            {false, func(_ *disconnectableFeed, watches *silentFeed) { watches.silent.Store(true) }},
		"the store is away for a relay":  {true, func(link *disconnectableFeed, _ *silentFeed) { link.disconnected.Store(true) }},
		"the store is silent to a relay": {true, func(_ *disconnectableFeed, watches *silentFeed) { watches.silent.Store(true) }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var feed jwstore.MemoryFeed
			startTarget(t, &feed, "t1", "s", "north-a", respondText("fine"))
			configure(&feed, 1, route("/a/", "idempotent", ""))
			link := &disconnectableFeed{Feed: &feed}
			watches := &silentFeed{Feed: link}
			through := withRelayThreshold(2)
			nodes := []node{startWith(t, watches, "n1", "north", through)}
			if c.peer {
				nodes = append(nodes, startWith(t, watches, "n2", "north", through, nodes[0].nodes))
			}
			isUnknown := func(r reply) bool { return r.status == http.StatusNotFound }
			for _, n := range nodes {
				sendUntil(t, n, "/a/x", served)
				sendUntil(t, n, "/b/x", isUnknown)
			}
			c.fail(link, watches)
			configure(&feed, 2, route("/a/", "idempotent", ""), route("/b/", "idempotent", ""))
			time.Sleep(jwsettings.DefaultConfigInForce)
			for _, n := range nodes {
				r, err := send(t, n, http.MethodGet, "/b/x", "late", nil, "")
				assert.NilError(t, err)
				assert.Equal(t, r.status, http.StatusServiceUnavailable)
				assert.Assert(t, r.header.Get("Retry-After") != "")
			}
			link.disconnected.Store(false)
			watches.silent.Store(false)
			for _, n := range nodes {
				sendUntil(t, n, "/b/x", served)
				sendUntil(t, n, "/c/x", isUnknown)
			}
		})
	}
}

// The history of the store is gone while the watches of all relays hang. Their nodes read all keys again, and
// wait for targets from relays that don't have them: the configuration, which they have read, must come into
// force meanwhile.
func TestConfigurationDuringReadOfAllKeys(t *testing.T) {
	t.Parallel()
	feed := jwstore.MemoryFeed{PageSize: 20}
	startTarget(t, &feed, "t1", "s", "north-a", respondText("fine"))
	for i := range 50 {
		register(&feed, fmt.Sprint("u", i), "other", "127.0.0.1:9", "north-a", "ready")
	}
	configure(&feed, 1, route("/a/", "idempotent", ""))
	through := withRelayThreshold(2)
	relays := []*silentFeed{{Feed: &feed}, {Feed: &feed}}
	nodes := []node{startWith(t, relays[0], "n1", "north", through)}
	nodes = append(nodes, startWith(t, relays[1], "n4", "south", through, nodes[0].nodes))
	var followers []node
	for name, region := range map[string]string{"n2": "north", "n3": "north", "n5": "south", "n6": "south"} {
		followers = append(followers, startWith(t, &feed, name, region, through, nodes[0].nodes))
	}
	nodes = append(nodes, followers...)
	for _, n := range nodes {
		sendUntil(t, n, "/a/x", served)
	}
	for _, n := range nodes {
		eventually(t, func() bool { return len(directory(t, n, "north"))+len(directory(t, n, "south")) == len(nodes) })
	}
	for _, r := range relays {
		r.silent.Store(true)
	}
	feed.Compact()
	configure(&feed, 2, route("/a/", "idempotent", ""), route("/b/", "idempotent", ""))
	feed.Compact()
	time.Sleep(jwsettings.DefaultConfigInForce)
	for i, n := range followers {
		r, err := send(t, n, http.MethodGet, "/b/x", fmt.Sprint("r", i), nil, "")
		assert.NilError(t, err)
		assert.Equal(t, r.status, http.StatusOK)
	}
}
