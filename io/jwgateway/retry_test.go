package jwgateway_test

import (
	"bytes"
	"net/http"
	"strings"
	"sync"
	"testing"

	"jujubewheel/core/jwstore"
	"jujubewheel/io/jwgateway"
	"jujubewheel/io/jwlog"
)

// refuse answers that the request was not run.
func refuse(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Jujubewheel-Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// lockedBuffer is a buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// The log must show why a request was sent again, or not.
func TestRetryIsLogged(t *testing.T) {
	t.Parallel()
	var feed jwstore.MemoryFeed
	startTarget(t, &feed, "t1", "s", "north-a", refuse)
	startTarget(t, &feed, "t2", "s", "north-a", refuse)
	configure(&feed, 1, route("/a/", "idempotent", ""))
	var log lockedBuffer
	n := startWith(t, &feed, "n1", "north", func(g *jwgateway.Gateway) {
		g.Settings.Gateway.Bounds.RetryRatio, g.Settings.Gateway.Bounds.RetrySlack = 0, 2
		g.Decisions = jwlog.NewDecisions(&log, &log, "n1")
	})
	sendUntil(t, n, "/a/x", func(r reply) bool { return strings.Contains(r.body, "refused by the target") })
	eventually(t, func() bool {
		return strings.Contains(log.String(), `"sends":2,"retry":"no repeat is left","retriesLeft":0.2,"windowRequests":1,"windowRetries":1,"budgetNodes":1`)
	})
}
