package jwgateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"jujubewheel/core/jwstore"
)

// BenchmarkExchange measures a request from its caller by a node to a target and back, over kept
// connections.
func BenchmarkExchange(b *testing.B) {
	for _, size := range []int{1 << 10, 18 << 10, 110 << 10} {
		b.Run(fmt.Sprintf("%d KB", size>>10), func(b *testing.B) {
			var feed jwstore.MemoryFeed
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(b, err)
			defer func() { _ = l.Close() }()
			go serveSmallAnswers(l)
			register(&feed, "t1", "s", l.Addr().String(), "north-a", "ready")
			configureLargeBodies(&feed, maxBody, "")
			n := start(b, &feed, "n1", "north")
			sendUntil(b, n, "/w/x", served)
			c, err := net.Dial("tcp", n.callers.String())
			assert.NilError(b, err)
			defer func() { _ = c.Close() }()
			r := bufio.NewReader(c)
			request := fmt.Sprintf("POST /w/x HTTP/1.1\r\nHost: h.example\r\nJujubewheel-Request-Id: b\r\nJujubewheel-Deadline-Ms: 9000\r\nContent-Length: %d\r\n\r\n%s",
				size, strings.Repeat("a", size))
			b.ReportAllocs()
			for b.Loop() {
				_, err := io.WriteString(c, request)
				assert.NilError(b, err)
				res, err := http.ReadResponse(r, nil)
				assert.NilError(b, err)
				assert.Equal(b, res.StatusCode, http.StatusOK)
				_, err = io.Copy(io.Discard, res.Body)
				assert.NilError(b, err)
			}
		})
	}
}

// serveSmallAnswers answers the requests of a listener with a short body each.
func serveSmallAnswers(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = c.Close() }()
			r := bufio.NewReader(c)
			for {
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				if _, err := io.Copy(io.Discard, req.Body); err != nil {
					return
				}
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nJujubewheel-Request-Id: %s\r\nJujubewheel-Server-Seal: seal-t1\r\n\r\nok", req.Header.Get("Jujubewheel-Request-Id"))
			}
		}()
	}
}
