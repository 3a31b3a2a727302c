package jwgateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"jujubewheel/core/jwstore"
)

// The answer to a caller of HTTP/1.0 has no framing of its own: one that breaks off must not end like a complete one.
func TestBrokenAnswerToOldProtocol(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		path   string
		broken bool
	}{
		"complete stream":      {"/s/whole", false},
		"broken stream":        {"/s/broken", true},
		"complete long answer": {"/p/whole", false},
		"broken long answer":   {"/p/broken", true},
	}
	const long = 1 << 20 // is not buffered
	var feed jwstore.MemoryFeed
	startTarget(t, &feed, "t1", "s", "north-a", func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/s/whole", "/s/broken":
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, event(1, "x")+event(2, "x"))
		case "/p/whole", "/p/broken":
			_, _ = w.Write(make([]byte, long))
		}
		_ = http.NewResponseController(w).Flush()
		if r.URL.Path == "/s/broken" || r.URL.Path == "/p/broken" {
			panic(http.ErrAbortHandler)
		}
	})
	configure(&feed, 1, route("/s/", "stream", ""), route("/p/", "non_idempotent", ""))
	nodes := map[string]node{"here": start(t, &feed, "n1", "north"), "forwarded": start(t, &feed, "n2", "south")}
	for path, n := range nodes {
		sendUntil(t, n, "/s/whole", served)
		for name, c := range cases {
			t.Run(path+", "+name, func(t *testing.T) {
				conn, err := net.Dial("tcp", n.callers.String())
				assert.NilError(t, err)
				defer conn.Close()
				fmt.Fprintf(conn, "GET %s HTTP/1.0\r\nHost: h.example\r\nJujubewheel-Request-Id: r\r\nJujubewheel-Deadline-Ms: 2000\r\n\r\n", c.path)
				res, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err != nil && c.broken {
					return
				}
				assert.NilError(t, err)
				_, err = io.Copy(io.Discard, res.Body)
				looksComplete := err == nil && res.StatusCode == http.StatusOK
				assert.Equal(t, looksComplete, !c.broken, "status %d, %v", res.StatusCode, err)
			})
		}
	}
}
