package jwgateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubewheel/core/jwstore"
	"jujubewheel/io/jwgateway"
)

// The store is restored from an older copy and assigns the same revisions again. A node that
// compares revision numbers alone would drop newer changes and stay unregistered.
func TestStoreRestoredFromOlderCopy(t *testing.T) {
	for name, relays := range map[string]bool{"each node reads": false, "through a relay": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var feed jwstore.MemoryFeed
			startTarget(t, &feed, "t1", "s", "north-a", respondText("t1"))
			configure(&feed, 1, route("/a/", "idempotent", ""))
			old := feed.Snapshot()
			var nodes []node
			for _, name := range []string{"n1", "n2"} {
				nodes = append(nodes, startWith(t, &feed, name, "north", func(g *jwgateway.Gateway) {
					if relays {
						g.RelayThreshold = 2
					}
				}))
			}
			sendUntil(t, nodes[0], "/a/x", served)
			for range 100 {
				register(&feed, "t2", "s", "127.0.0.1:1", "north-a", "draining")
			}
			configure(&feed, 2, route("/a/", "idempotent", ""), route("/b/", "idempotent", ""))
			for _, n := range nodes {
				sendUntil(t, n, "/b/x", served)
				waitForDirectory(t, n, "north", nodes...)
			}
			feed.Restore(old)
			for _, n := range nodes { // the copy's configuration is older and must not be applied
				r, err := send(t, n, http.MethodGet, "/b/x", "one", nil, "")
				assert.NilError(t, err)
				assert.Equal(t, r.status, http.StatusOK)
			}
			configure(&feed, 3, route("/c/", "idempotent", ""))
			for _, n := range nodes {
				sendUntil(t, n, "/c/x", served)
				r, err := send(t, n, http.MethodGet, "/b/x", "two", nil, "")
				assert.NilError(t, err)
				assert.Equal(t, r.status, http.StatusNotFound)
				waitForDirectory(t, n, "north", nodes...)
			}
			for _, name := range []string{"n1", "n2"} {
				eventually(t, func() bool { return feed.Has("jujubewheel/nodes/" + name) })
			}
		})
	}
}

// The store is restored from a copy older than an evacuation and than a target's announcement that
// it is leaving. Both are written again soon, and until then requests must not be sent there.
func TestRestoredStoreKeepsEvacuations(t *testing.T) {
	t.Parallel()
	var feed jwstore.MemoryFeed
	evacuated := startTarget(t, &feed, "t1", "s", "north-b", respondText("t1"))
	draining := startTarget(t, &feed, "t2", "s", "north-a", respondText("t2"))
	startTarget(t, &feed, "t3", "s", "north-a", func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(30 * time.Millisecond) // makes the node prefer the other targets
		respondText("t3")(w, r)
	})
	configure(&feed, 1, route("/a/", "idempotent", ""))
	old := feed.Snapshot()
	n := start(t, &feed, "n1", "north")
	sendUntil(t, n, "/a/x", served)
	feed.Write("op/evacuate/north-b", nil)
	register(&feed, "t2", "s", draining.addr, "north-a", "draining")
	configure(&feed, 2, route("/a/", "idempotent", ""), route("/b/", "idempotent", ""))
	sendUntil(t, n, "/b/x", served)
	before := len(evacuated.requests()) + len(draining.requests())
	feed.Restore(old)
	configure(&feed, 3, route("/a/", "idempotent", ""), route("/c/", "idempotent", ""))
	sendUntil(t, n, "/c/x", served)
	for i := range 20 {
		r, err := send(t, n, http.MethodGet, "/a/x", fmt.Sprint("r", i), nil, "")
		assert.NilError(t, err)
		assert.Equal(t, r.body, "t3")
	}
	assert.Equal(t, len(evacuated.requests())+len(draining.requests()), before)

	// An evacuation that is written again and then ended is over.
	feed.Write("op/evacuate/north-b", nil)
	feed.Remove("op/evacuate/north-b")
	register(&feed, "t3", "s", "127.0.0.1:1", "north-a", "draining")
	sendUntil(t, n, "/a/x", func(r reply) bool { return r.body == "t1" })
}
