package jwgateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"jujubewheel/core/jwstore"
	"jujubewheel/io/jwconn"
	"jujubewheel/io/jwgateway"
)

// startEndlessTarget starts a target that answers a POST with bytes without end, until the node closes the
// connection: first once, then repeated. ID stands for the request's identifier.
func startEndlessTarget(t *testing.T, feed *jwstore.MemoryFeed, id, first, repeated string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	serve := func(c net.Conn) {
		defer func() { _ = c.Close() }()
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		name := r.Header.Get("Jujubewheel-Request-Id")
		if r.Method != http.MethodPost {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\nJujubewheel-Request-Id: %s\r\nJujubewheel-Server-Seal: seal-%s\r\n\r\n", name, id)
			return
		}
		_, err = io.WriteString(c, strings.ReplaceAll(first, "ID", name))
		part := strings.Repeat(repeated, max((32<<10)/len(repeated), 1))
		for err == nil {
			_, err = io.WriteString(c, part)
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	register(feed, id, "s", l.Addr().String(), "north-a", "ready")
}

// readCounter counts the bytes that a pool reads.
type readCounter struct{ n atomic.Int64 }

func (r *readCounter) dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &readCountingConn{c, r}, nil
}

type readCountingConn struct {
	net.Conn
	counter *readCounter
}

func (c *readCountingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.n.Add(int64(n))
	return n, err
}

// A target sends bytes without end. A request must be served elsewhere or end with its time, never look
// complete, and take bounded memory where the node has to hold what comes.
func TestBytesWithoutEnd(t *testing.T) {
	t.Parallel()
	const answer = "HTTP/1.1 200 OK\r\nJujubewheel-Request-Id: ID\r\nJujubewheel-Server-Seal: seal-t1\r\n"
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nJujubewheel-Request-Id: ID\r\nJujubewheel-Not-Run: 1\r\n"
	const chunk = "400\r\n"
	chunkOf := func(text string) string { return chunk + strings.Repeat(text, 1024/len(text)) + "\r\n" }
	cases := map[string]struct {
		first, repeated string
		kind            string
		elsewhere       bool  // served by the other target
		held            int64 // of what the node reads, 0 if it passes that on
	}{
		"status line":                  {"HTTP/1.1 200 ", "x", "idempotent", true, 64 << 10},
		"head":                         {answer + "X: ", "x", "idempotent", true, 64 << 10},
		"head, may run once":           {answer + "X: ", "x", "non_idempotent", false, 64 << 10},
		"informational heads":          {"", "HTTP/1.1 103 Early Hints\r\n\r\n", "idempotent", true, 64 << 10},
		"refusal, in chunks":           {refusal + "Transfer-Encoding: chunked\r\n\r\n", chunkOf("x"), "non_idempotent", true, 128 << 10},
		"refusal, no length":           {refusal + "\r\n", "x", "non_idempotent", true, 128 << 10},
		"body, no length":              {answer + "\r\n", "x", "non_idempotent", false, 0},
		"body in chunks":               {answer + "Transfer-Encoding: chunked\r\n\r\n", chunkOf("x"), "non_idempotent", false, 0},
		"chunk extension":              {answer + "Transfer-Encoding: chunked\r\n\r\n4;", "x", "idempotent", true, 64 << 10},
		"trailer":                      {answer + "Transfer-Encoding: chunked\r\n\r\n0\r\nX: ", "x", "idempotent", true, 64 << 10},
		"event, no length":             {answer + "Content-Type: text/event-stream\r\n\r\ndata: ", "x", "stream", false, 512 << 10},
		"event in chunks":              {answer + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", chunkOf("x"), "stream", false, 512 << 10},
		"lines of an event, no length": {answer + "Content-Type: text/event-stream\r\n\r\n", "data: x\n", "stream", false, 512 << 10},
	}
	for name, c := range cases {
		for _, place := range []string{"here", "forwarded"} {
			t.Run(name+", "+place, func(t *testing.T) {
				t.Parallel()
				var feed jwstore.MemoryFeed
				var counter readCounter
				startEndlessTarget(t, &feed, "t1", c.first, c.repeated)
				startTarget(t, &feed, "t2", "s", "north-a", respondText("from t2"))
				configure(&feed, 1, route("/a/", c.kind, ""), route("/w/", "idempotent", ""))
				n := startWith(t, &feed, "n1", "north", func(g *jwgateway.Gateway) { g.Targets = &jwconn.Pool{Dial: counter.dial} })
				if place == "forwarded" {
					n = start(t, &feed, "n2", "south")
				}
				sendUntil(t, n, "/w/x", served)
				counter.n.Store(0)
				r, err := send(t, n, http.MethodPost, "/a/x", "one", nil, "text")
				if c.elsewhere {
					assert.NilError(t, err)
					assert.Equal(t, r.body, "from t2")
				} else {
					assert.Assert(t, err != nil || r.err != nil || r.status >= http.StatusInternalServerError, "status %d, %d bytes", r.status, len(r.body))
				}
				if c.held > 0 {
					assert.Assert(t, counter.n.Load() < c.held, "%d bytes", counter.n.Load())
				}
			})
		}
	}
}
