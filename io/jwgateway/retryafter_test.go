package jwgateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubewheel/core/jwstore"
)

// A target refuses a request with a Retry-After header. The node must not send it another request
// before that time has passed.
func TestTargetRetryAfter(t *testing.T) {
	t.Parallel()
	var feed jwstore.MemoryFeed
	busy := startTarget(t, &feed, "t1", "s", "north-a", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Del("Jujubewheel-Server-Seal")
		w.Header().Set("Jujubewheel-Not-Run", "1")
		w.Header().Set("Retry-After", "3600")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	configure(&feed, 1, route("/a/", "idempotent", ""))
	n := start(t, &feed, "n1", "north")
	sendUntil(t, n, "/a/x", func(reply) bool { return len(busy.requests()) > 0 })
	for i := range 10 {
		time.Sleep(50 * time.Millisecond)
		r, err := send(t, n, http.MethodGet, "/a/x", fmt.Sprint("r", i), nil, "")
		assert.NilError(t, err)
		assert.Equal(t, r.status, http.StatusServiceUnavailable)
		assert.Assert(t, r.header.Get("Retry-After") != "")
	}
	assert.Equal(t, len(busy.requests()), 1)
}
