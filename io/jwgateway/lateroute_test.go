package jwgateway_test

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"jujubewheel/core/jwstore"
	"jujubewheel/io/jwgateway"
	"jujubewheel/io/jwlog"
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
