package jwgateway_test

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubewheel/core/jwstore"
	"jujubewheel/io/jwgateway"
)

// interruptedFeed is a store that changes after the first page of a node's read of all keys.
type interruptedFeed struct {
	jwstore.Feed
	afterFirstPage atomic.Pointer[func()] // called once
}

func (f *interruptedFeed) Range(ctx context.Context, prefix, after string) (jwstore.Page, error) {
	p, err := f.Feed.Range(ctx, prefix, after)
	if prefix == "" && after == "" {
		if change := f.afterFirstPage.Swap(nil); change != nil {
			(*change)()
		}
	}
	return p, err
}

// An evacuation begins while a node reads all keys and waits for the targets of its relay, which knows
// of it already. The node must not go on sending to that data centre.
func TestEvacuationDuringReadOfAllKeys(t *testing.T) {
	cases := map[string]bool{"a node that starts": false, "a node that was paused": true}
	for name, paused := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			feed := jwstore.MemoryFeed{PageSize: 20}
			startTarget(t, &feed, "t1", "s", "north-b", respondText("t1"))
			startTarget(t, &feed, "t2", "s", "north-a", func(w http.ResponseWriter, r *http.Request) {
				time.Sleep(30 * time.Millisecond) // makes the nodes prefer the other target
				respondText("t2")(w, r)
			})
			for i := range 50 {
				register(&feed, fmt.Sprint("u", i), "other", "127.0.0.1:9", "north-a", "ready")
			}
			configure(&feed, 1, route("/a/", "idempotent", ""))
			relay := startWith(t, &feed, "n1", "north", withRelayThreshold(2))
			sendUntil(t, relay, "/a/x", served)
			eventually(t, func() bool { return feed.Has("jujubewheel/nodes/n1") })
			evacuate := func() {
				feed.Write("op/evacuate/north-b", nil)
				for range 5 {
					sendUntil(t, relay, "/a/x", func(r reply) bool { return r.body == "t2" })
				}
			}
			interrupted := &interruptedFeed{Feed: &feed}
			var boot atomic.Int64
			startNode := func() node {
				return startWith(t, interrupted, "n2", "north", func(g *jwgateway.Gateway) {
					withRelayThreshold(2)(g)
					g.TimeSinceBoot = func() time.Duration { return time.Duration(boot.Load()) }
				})
			}
			var n node
			if paused {
				n = startNode()
				sendUntil(t, n, "/a/x", served)
				waitForDirectory(t, n, "north", relay, n)
				interrupted.afterFirstPage.Store(&evacuate)
				boot.Add(int64(time.Hour))
				eventually(t, func() bool { return interrupted.afterFirstPage.Load() == nil })
			} else {
				interrupted.afterFirstPage.Store(&evacuate)
				n = startNode()
			}
			sendUntil(t, n, "/a/x", func(r reply) bool { return r.body == "t2" })
			time.Sleep(500 * time.Millisecond) // the end of the read
			for i := range 30 {
				r, err := send(t, n, http.MethodGet, "/a/x", fmt.Sprint("r", i), nil, "")
				assert.NilError(t, err)
				assert.Equal(t, r.body, "t2")
			}
		})
	}
}

// A relay and its data centre lose the store while relays of other regions reach it. They must learn of
// an evacuation within the time in which it must be in force.
func TestEvacuationReachesDataCentreWithoutStore(t *testing.T) {
	t.Parallel()
	const inForceWithin = 5 * time.Second
	var feed jwstore.MemoryFeed
	startTarget(t, &feed, "t1", "s", "north-b", respondText("t1"))
	startTarget(t, &feed, "t2", "s", "north-a", func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(30 * time.Millisecond) // makes the nodes prefer the other target
		respondText("t2")(w, r)
	})
	configure(&feed, 1, route("/a/", "idempotent", ""))
	through := withRelayThreshold(1)
	north := &disconnectableFeed{Feed: &feed}
	first := startWith(t, north, "n1", "north", through)
	second := startWith(t, north, "n2", "north", through, first.nodes)
	startWith(t, &feed, "n3", "south", through, first.nodes)
	for _, n := range []node{first, second} {
		sendUntil(t, n, "/a/x", served)
	}
	waitForDirectory(t, second, "north", first, second)
	north.disconnected.Store(true)
	feed.Write("op/evacuate/north-b", nil)
	time.Sleep(inForceWithin)
	for _, n := range []node{first, second} {
		for i := range 10 {
			r, err := send(t, n, http.MethodGet, "/a/x", fmt.Sprint("r", i), nil, "")
			assert.NilError(t, err)
			assert.Equal(t, r.body, "t2")
		}
	}
}
