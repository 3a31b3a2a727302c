package jwgateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubewheel/core/jwstore"
)

// A target announces in an answer that it is leaving while the store is unavailable, so that no
// registration says so. Without the announcement all nodes would continue to send it requests,
// including the one that got the answer.
func TestTargetAnnouncesLeaving(t *testing.T) {
	t.Parallel()
	var feed jwstore.MemoryFeed
	targets, refusing := make(map[string]*target), map[string]*atomic.Bool{"t1": {}, "t2": {}}
	for _, id := range []string{"t1", "t2"} {
		targets[id] = startTarget(t, &feed, id, "s", "north-a", func(w http.ResponseWriter, r *http.Request) {
			if strings.HasSuffix(r.URL.Path, "/last") {
				w.Header().Set("Server-Leaving", "1")
			}
			if refusing[id].Load() {
				refuse(w, r)
				return
			}
			_, _ = io.WriteString(w, id)
		})
	}
	configure(&feed, 1, route("/a/", "idempotent", ""))
	n1 := start(t, &feed, "n1", "north")
	n2 := start(t, &feed, "n2", "north")
	for _, n := range []node{n1, n2} {
		sendUntil(t, n, "/a/x", served)
		waitForDirectory(t, n, "north", n1, n2)
	}
	feed.SetError(jwstore.ErrUnavailable)
	last, err := send(t, n1, http.MethodGet, "/a/last", "last", nil, "")
	assert.NilError(t, err)
	leaving, other := targets[last.body], map[string]string{"t1": "t2", "t2": "t1"}[last.body]
	before := len(leaving.requests())
	for i := range 10 {
		r, err := send(t, n1, http.MethodGet, "/a/x", fmt.Sprint("r", i), nil, "")
		assert.NilError(t, err)
		assert.Equal(t, r.body, other)
	}
	assert.Equal(t, len(leaving.requests()), before)
	// Where the other target refuses, a node that doesn't know uses the leaving one.
	refusing[other].Store(true)
	eventually(t, func() bool {
		before := len(leaving.requests())
		_, err := send(t, n2, http.MethodGet, "/a/x", "refused", nil, "")
		assert.NilError(t, err)
		return len(leaving.requests()) == before
	})
	refusing[other].Store(false)
	sendUntil(t, n2, "/a/x", func(r reply) bool { return r.body == other })

	// The store is available again and holds the old registration, written again.
	register(&feed, leaving.id, "s", leaving.addr, "north-a", "ready")
	feed.SetError(nil)
	configure(&feed, 2, route("/a/", "idempotent", ""), route("/b/", "idempotent", ""))
	for _, n := range []node{n1, n2} {
		sendUntil(t, n, "/b/x", func(r reply) bool { return r.body == other })
		time.Sleep(20 * time.Millisecond)
		r, err := send(t, n, http.MethodGet, "/a/x", "later", nil, "")
		assert.NilError(t, err)
		assert.Equal(t, r.body, other)
	}
}
