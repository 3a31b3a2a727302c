package jwgateway_test

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubewheel/core/jwstore"
)

// A target announces a limit in its answers. The node must not send it more, and must use it
// without restriction once the limit is lifted.
func TestTargetLimit(t *testing.T) {
	t.Parallel()
	const limit, sendCount = 1.0, 60
	var feed jwstore.MemoryFeed
	var limitLifted atomic.Bool
	x := startTarget(t, &feed, "t1", "s", "north-a", func(w http.ResponseWriter, _ *http.Request) {
		if !limitLifted.Load() {
			w.Header().Set("Server-Limit", fmt.Sprint(limit))
		}
	})
	configure(&feed, 1, route("/a/", "idempotent", ""))
	n := start(t, &feed, "n1", "north")
	sendUntil(t, n, "/a/x", served)
	started, before := time.Now(), len(x.requests())
	var last reply
	for i := range sendCount {
		r, err := send(t, n, http.MethodGet, "/a/x", fmt.Sprint("r", i), nil, "")
		assert.NilError(t, err)
		last = r
	}
	allowed := 1.5*limit*max(time.Since(started).Seconds(), 4) + 5
	got := len(x.requests()) - before
	assert.Assert(t, float64(got) <= allowed, "%d requests reached it, %.1f are allowed", got, allowed)
	assert.Equal(t, last.status, http.StatusServiceUnavailable)
	assert.Assert(t, last.header.Get("Retry-After") != "")
	limitLifted.Store(true)
	sendUntil(t, n, "/a/x", served)
	for i := range sendCount {
		r, err := send(t, n, http.MethodGet, "/a/x", fmt.Sprint("s", i), nil, "")
		assert.NilError(t, err)
		assert.Equal(t, r.status, http.StatusOK)
	}
}
