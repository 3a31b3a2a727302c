package jwgateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubewheel/core/jwstore"
	"jujubewheel/io/jwconn"
	"jujubewheel/io/jwgateway"
)

// lateWriter delays the return of the first write after which more of a body is read until the request
// is sent again, or the write is ended by a deadline. It delays that second send a little.
type lateWriter struct {
	chunked bool
	mu      sync.Mutex
	count   int           // sends of the request so far
	again   chan struct{} // closed at the second one
}

func (l *lateWriter) dial(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &lateConn{Conn: c, writer: l, ended: make(chan struct{})}, nil
}

type lateConn struct {
	net.Conn
	writer *lateWriter
	ended  chan struct{}
	end    sync.Once
	send   int  // which send of the request it carries, 0 for none
	begun  bool // the body is being written
}

func (c *lateConn) Write(p []byte) (int, error) {
	l := c.writer
	if strings.HasPrefix(string(p), "POST ") {
		l.mu.Lock()
		l.count++
		c.send = l.count
		l.mu.Unlock()
		if c.send == 2 {
			close(l.again)
		}
	}
	long := len(p) >= largePart/2
	c.begun = c.begun || long
	if c.send > 1 && long {
		time.Sleep(50 * time.Millisecond)
	}
	n, err := c.Conn.Write(p)
	if c.send == 1 && c.begun && long != l.chunked {
		c.send = 0
		select {
		case <-l.again:
		case <-c.ended:
		}
	}
	return n, err
}

func (c *lateConn) SetWriteDeadline(t time.Time) error {
	if !t.IsZero() {
		c.end.Do(func() { close(c.ended) })
	}
	return c.Conn.SetWriteDeadline(t)
}

// numberedBody is a body in which a missing piece shows.
func numberedBody(size int) string {
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, "%08d", i)
	}
	return b.String()[:size]
}

// A target refuses a long request, or breaks off, before it has read it. The next target must get the whole body, and
// not what the first send hasn't read.
func TestLongBodyIsWholeAfterRetry(t *testing.T) {
	t.Parallel()
	failures := map[string]http.HandlerFunc{
		"refused": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Del("Jujubewheel-Server-Seal")
			w.Header().Set("Jujubewheel-Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			_ = http.NewResponseController(w).Flush()
		},
		"broken off": func(w http.ResponseWriter, _ *http.Request) {
			if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
				_ = c.Close()
			}
		},
		"failed": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) },
	}
	for failure, fail := range failures {
		for _, place := range []string{"here", "forwarded"} {
			for _, framing := range []string{"by length", "in chunks"} {
				t.Run(failure+", "+place+", "+framing, func(t *testing.T) {
					t.Parallel()
					var feed jwstore.MemoryFeed
					late := &lateWriter{again: make(chan struct{}), chunked: framing == "in chunks"}
					body := numberedBody(4 * largePart)
					var mu sync.Mutex
					posts, bodies := 0, []string{}
					for _, id := range []string{"t1", "t2"} {
						startUnreadTarget(t, &feed, id, func(w http.ResponseWriter, r *http.Request) {
							mu.Lock()
							posts++
							first := posts == 1
							mu.Unlock()
							if first {
								fail(w, r)
								return
							}
							text, err := io.ReadAll(r.Body)
							if err != nil {
								return
							}
							mu.Lock()
							defer mu.Unlock()
							bodies = append(bodies, string(text))
						})
					}
					configureLargeBodies(&feed, maxBody, "")
					change := func(g *jwgateway.Gateway) { g.Targets = &jwconn.Pool{Dial: late.dial} }
					n := startWith(t, &feed, "n1", "north", change)
					if place == "forwarded" {
						n = start(t, &feed, "n2", "south")
					}
					sendUntil(t, n, "/w/x", served)
					length := len(body)
					if framing == "in chunks" {
						length = -1
					}
					status := postText(t, n, "/w/x", body, length)
					mu.Lock()
					defer mu.Unlock()
					for _, got := range bodies {
						assert.Assert(t, got == body, "a target got %d bytes of %d as the whole body", len(got), len(body))
					}
					assert.Equal(t, len(bodies), 1)
					assert.Equal(t, status, http.StatusOK)
				})
			}
		}
	}
}

// startUnreadTarget starts a target whose POST requests are answered by serve, which reads their bodies.
func startUnreadTarget(t *testing.T, feed *jwstore.MemoryFeed, id string, serve http.HandlerFunc) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Jujubewheel-Request-Id", r.Header.Get("Jujubewheel-Request-Id"))
		w.Header().Set("Jujubewheel-Server-Seal", "seal-"+id)
		if r.Method == http.MethodPost {
			_ = http.NewResponseController(w).EnableFullDuplex()
			serve(w, r)
		}
	})}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	register(feed, id, "s", l.Addr().String(), "north-a", "ready")
}

// postText sends a request with a body, by length or, if that is negative, in chunks, and returns the
// status of its answer, 0 for none.
func postText(t *testing.T, n node, path, body string, length int) int {
	t.Helper()
	c, err := net.Dial("tcp", n.callers.String())
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	framing := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", length, body)
	if length < 0 {
		framing = fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	}
	go func() {
		_, _ = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h.example\r\nJujubewheel-Request-Id: one\r\nJujubewheel-Deadline-Ms: 2000\r\n%s", path, framing)
	}()
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_ = res.Body.Close()
	return res.StatusCode
}
