package jwgateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"jujubewheel/core/jwstore"
	"jujubewheel/io/jwgateway"
	"jujubewheel/io/jwlog"
)

// unframed answers with a stream that has neither a length nor chunks and ends with its connection.
func unframed(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c, buf, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		fmt.Fprintf(buf, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\nJujubewheel-Request-Id: %s\r\nJujubewheel-Server-Seal: s\r\n\r\n%s",
			r.Header.Get("Jujubewheel-Request-Id"), text)
		buf.Flush()
	}
}

// The log must show how an answer was framed and whether it ended inside an event.
func TestFramingIsLogged(t *testing.T) {
	t.Parallel()
	var feed jwstore.MemoryFeed
	startTarget(t, &feed, "t1", "s", "north-a", unframed("id: 1\ndata: a\n\nid: 2\nda"))
	configure(&feed, 1, route("/a/", "stream", ""))
	var log lockedBuffer
	n := startWith(t, &feed, "n1", "north", func(g *jwgateway.Gateway) { g.Decisions = jwlog.NewDecisions(&log, &log, "n1") })
	sendUntil(t, n, "/a/x", served)
	eventually(t, func() bool { return strings.Contains(log.String(), `"framing":"connection","partialBytes":8`) })
}
