package jwgateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"jujubewheel/core/jwstore"
	"jujubewheel/io/jwgateway"
	"jujubewheel/io/jwlog"
)

// registerVersion registers a target with the version of its software.
func registerVersion(feed *jwstore.MemoryFeed, id, addr, dataCentre, version, state string, born int) {
	feed.Write("servers/"+id, fmt.Appendf(nil, `{"Service":"s","Addr":%q,"Zone":%q,"Version":%q,"Slots":8,"State":%q,"WarmupLeftMs":0,"Seq":1,"born":%d}`,
		addr, dataCentre, version, state, born))
}

// startVersion starts a target of a version.
func startVersion(t *testing.T, feed *jwstore.MemoryFeed, id, dataCentre, version string, serve http.HandlerFunc) *target {
	t.Helper()
	x := startTarget(t, feed, id, "s", dataCentre, serve)
	registerVersion(feed, id, x.addr, dataCentre, version, "ready", 1)
	return x
}

// breaking streams two events whose data is the version, from the one after Last-Event-Id, and breaks
// off unless these were the last of count.
func breaking(version string, count int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		w.Header().Set("Content-Type", "text/event-stream")
		for i := last + 1; i <= min(last+2, count); i++ {
			_, _ = io.WriteString(w, event(i, version))
		}
		if last+2 < count {
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
	}
}

func event(id int, version string) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", id, version) }

// The log must show the version of a target, and which stream a request continues.
func TestVersionIsLogged(t *testing.T) {
	t.Parallel()
	var feed jwstore.MemoryFeed
	startVersion(t, &feed, "t1", "north-a", "v7", breaking("v7", 4))
	configure(&feed, 1, route("/a/", "stream", `,"Resumable":true`))
	var log lockedBuffer
	n := startWith(t, &feed, "n1", "north", func(g *jwgateway.Gateway) { g.Decisions = jwlog.NewDecisions(&log, &log, "n1") })
	sendUntil(t, n, "/a/x", served)
	_, _ = send(t, n, http.MethodGet, "/a/x", "r2", http.Header{"Last-Event-Id": {"2"}, "Resumes": {"r1"}}, "")
	eventually(t, func() bool {
		return strings.Contains(log.String(), `"targetVersion":"v7"`) && strings.Contains(log.String(), `"lastEvent":"2","resumes":"r1"`)
	})
}
