package jwgateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"jujubewheel/core/jwstore"
)

// cutHeads are answers whose head a target may break off, without the header that names the request.
var cutHeads = map[string]string{
	"length":        "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 12\r\nJujubewheel-Server-Seal: s\r\n",
	"chunks":        "HTTP/1.1 200 OK\r\nJujubewheel-Server-Seal: s\r\nTransfer-Encoding: chunked\r\nX: y\r\n",
	"connection":    "HTTP/1.1 200 OK\r\nConnection: close\r\nJujubewheel-Server-Seal: s\r\nContent-Type: text/plain\r\n",
	"stream":        "HTTP/1.1 200 OK\r\nJujubewheel-Server-Seal: s\r\nContent-Type: text/event-stream\r\n",
	"old protocol":  "HTTP/1.0 200 OK\r\nJujubewheel-Server-Seal: s\r\nContent-Length: 12\r\n",
	"informational": "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nJujubewheel-Server-Seal: s\r\nContent-Length: 12\r\n",
}

// cutHead answers with the first bytes of a head, as many as the query says, and ends the connection.
func cutHead(head string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/w/x" {
			_, _ = io.WriteString(w, "fine")
			return
		}
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		text := strings.Replace(head, "\r\n", "\r\nJujubewheel-Request-Id: "+r.Header.Get("Jujubewheel-Request-Id")+"\r\n", 1)
		if strings.HasPrefix(head, "HTTP/1.1 103") {
			text = strings.Replace(head, "200 OK\r\n", "200 OK\r\nJujubewheel-Request-Id: "+r.Header.Get("Jujubewheel-Request-Id")+"\r\n", 1)
		}
		text += "\r" // one byte of the blank line that would end the head
		at, _ := strconv.Atoi(r.URL.Query().Get("at"))
		_, _ = io.WriteString(c, text[:min(at, len(text))])
		if r.URL.Query().Get("end") == "reset" {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
	}
}

// cutsOf returns where a head is cut: at each line end, within each line, and within the blank line that would end
// it.
func cutsOf(head string) []int {
	var list []int
	length := len(head) + len("Jujubewheel-Request-Id: 0123456789\r\n") + len("\r") + 1
	for i := range length {
		if i%5 == 0 || i > length-4 || strings.HasSuffix(head[:min(i, len(head))], "\r\n") {
			list = append(list, i)
		}
	}
	return list
}

// A target stops in the middle of its answer's head: no caller may get a success, at a node with targets or over
// another one.
func TestCutHeadIsNoAnswer(t *testing.T) {
	t.Parallel()
	for shape, head := range cutHeads {
		for _, kind := range []string{"idempotent", "non_idempotent", "stream"} {
			t.Run(shape+", "+kind, func(t *testing.T) {
				t.Parallel()
				var feed jwstore.MemoryFeed
				for i := range 6 {
					startTarget(t, &feed, fmt.Sprint("t", i), "s", "north-a", cutHead(head))
				}
				configure(&feed, 1, route("/a/", kind, `,"Resumable":true`), route("/w/", "idempotent", ""))
				nodes := map[string]node{"here": start(t, &feed, "n1", "north"), "forwarded": start(t, &feed, "n2", "south")}
				for path, n := range nodes {
					sendUntil(t, n, "/w/x", served)
					sent := 0
					for i, at := range cutsOf(head) {
						for _, end := range []string{"close", "reset"} {
							r, err := send(t, n, http.MethodGet, fmt.Sprintf("/a/x?at=%d&end=%s", at, end), fmt.Sprintf("%s-%06d", end[:3], i), nil, "")
							assert.NilError(t, err)
							assert.Assert(t, r.status == http.StatusBadGateway || r.status == http.StatusServiceUnavailable,
								"%s, cut at %d, %s: %d %q", path, at, end, r.status, r.body)
							if r.status == http.StatusBadGateway {
								sent++
							}
						}
					}
					t.Logf("%s: %d heads were cut", path, sent)
					assert.Assert(t, sent > 0)
				}
			})
		}
	}
}
