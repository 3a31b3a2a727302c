package jwgateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubewheel/core/jwstore"
	"jujubewheel/io/jwgateway"
	"jujubewheel/io/jwsettings"
)

// withMemory turns overload control on at a node that may use the given number of bytes.
func withMemory(bytes int64) func(*jwgateway.Gateway) {
	return func(g *jwgateway.Gateway) {
		g.Settings.Gateway.Overload, g.Settings.Gateway.MemoryBytes = jwsettings.OverloadOn, bytes
	}
}

// A node has no memory for a request's body. It must reject the request before it reads the body,
// not run it, and name a time to retry after.
func TestRequestThatCannotBeHeld(t *testing.T) {
	t.Parallel()
	var feed jwstore.MemoryFeed
	x := startTarget(t, &feed, "t1", "s", "north-a", respondText("fine"))
	configure(&feed, 1, route("/a/", "idempotent", ""))
	n := startWith(t, &feed, "n1", "north", withMemory(400<<10)) // 75 KB for requests: two without a body
	sendUntil(t, n, "/a/x", served)
	before := len(x.requests())
	c, err := net.Dial("tcp", n.callers.String())
	assert.NilError(t, err)
	defer c.Close()
	fmt.Fprintf(c, "POST /a/x HTTP/1.1\r\nHost: h.example\r\nJujubewheel-Request-Id: one\r\nContent-Length: 60000\r\n\r\n")
	answer := make([]byte, 4096)
	read, err := c.Read(answer)
	assert.NilError(t, err)
	text := string(answer[:read])
	assert.Assert(t, strings.HasPrefix(text, "HTTP/1.1 503 "), text)
	assert.Assert(t, strings.Contains(text, "Retry-After: 1.000"), text)
	assert.Equal(t, len(x.requests()), before)
	r, err := send(t, n, http.MethodPost, "/a/x", "two", nil, "a small body")
	assert.NilError(t, err)
	assert.Equal(t, r.body, "fine")
}

// The settings limit a node's memory, but overload control is off. Nothing is rejected for it.
func TestMemoryIsNotLimitedWithoutOverloadControl(t *testing.T) {
	t.Parallel()
	var feed jwstore.MemoryFeed
	startTarget(t, &feed, "t1", "s", "north-a", respondText("fine"))
	configure(&feed, 1, route("/a/", "idempotent", ""))
	n := startWith(t, &feed, "n1", "north", func(g *jwgateway.Gateway) { g.Settings.Gateway.MemoryBytes = 1 })
	sendUntil(t, n, "/a/x", served)
	r, err := send(t, n, http.MethodPost, "/a/x", "one", nil, strings.Repeat("x", 60000))
	assert.NilError(t, err)
	assert.Equal(t, r.body, "fine")
}

// A caller never sends the body that it announced. Its memory must be free again at its deadline.
func TestCallerThatNeverSendsItsBody(t *testing.T) {
	t.Parallel()
	var feed jwstore.MemoryFeed
	startTarget(t, &feed, "t1", "s", "north-a", respondText("fine"))
	configure(&feed, 1, route("/a/", "idempotent", ""))
	n := startWith(t, &feed, "n1", "north", withMemory(256<<10)) // 48 KB for requests: one
	sendUntil(t, n, "/a/x", served)
	rejected := announceBody(t, n)
	sendUntil(t, n, "/a/x", func(r reply) bool {
		select {
		case <-rejected:
			// The memory of the request served before was not free yet.
			rejected = announceBody(t, n)
		default:
		}
		return r.status == http.StatusServiceUnavailable
	})
	sendUntil(t, n, "/a/x", served)
}

// announceBody sends the headers of a request but not its body. The channel is closed if the request is
// rejected at once.
func announceBody(t *testing.T, n node) <-chan struct{} {
	t.Helper()
	c, err := net.Dial("tcp", n.callers.String())
	assert.NilError(t, err)
	t.Cleanup(func() { c.Close() })
	fmt.Fprintf(c, "POST /a/x HTTP/1.1\r\nHost: h.example\r\nJujubewheel-Request-Id: one\r\nJujubewheel-Deadline-Ms: 4000\r\nContent-Length: 10000\r\n\r\n")
	rejected := make(chan struct{})
	go func() {
		r, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err == nil && r.StatusCode == http.StatusServiceUnavailable {
			close(rejected)
		}
	}()
	return rejected
}

// A node stops while callers read nothing and its buffers are full. It must end within its grace
// period, and no stream may look complete.
func TestStopWithFullBuffers(t *testing.T) {
	t.Parallel()
	var feed jwstore.MemoryFeed
	startTarget(t, &feed, "t1", "s", "north-a", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/a/x" {
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		for i := 0; r.Context().Err() == nil; i++ {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, strings.Repeat("x", 8000)); err != nil {
				return
			}
		}
	})
	configure(&feed, 1, route("/a/", "stream", ""), route("/w/", "idempotent", ""))
	n := startWith(t, &feed, "n1", "north", withMemory(2<<20))
	sendUntil(t, n, "/w/x", served)
	var callers []net.Conn
	for i := range 3 {
		c, err := net.Dial("tcp", n.callers.String())
		assert.NilError(t, err)
		defer c.Close()
		fmt.Fprintf(c, "GET /a/x HTTP/1.1\r\nHost: h.example\r\nJujubewheel-Request-Id: s%d\r\nJujubewheel-Deadline-Ms: 60000\r\n\r\n", i)
		callers = append(callers, c)
	}
	time.Sleep(200 * time.Millisecond)
	n.stop()
	for _, c := range callers {
		text, err := io.ReadAll(c)
		assert.Assert(t, err != nil || !strings.HasSuffix(string(text), "\r\n0\r\n\r\n"), "the stream looks complete")
	}
}

// A node can't hold the body of a request whose length isn't known: it must reject the request as not run, as callers
// don't send one again after 400.
func TestBodyInChunksThatCannotBeHeld(t *testing.T) {
	t.Parallel()
	var feed jwstore.MemoryFeed
	x := startTarget(t, &feed, "t1", "s", "north-a", respondText("fine"))
	configure(&feed, 1, route("/a/", "non_idempotent", ""))
	n := startWith(t, &feed, "n1", "north", func(g *jwgateway.Gateway) { g.Settings.Gateway.MemoryBytes = 300 << 10 })
	sendUntil(t, n, "/a/x", served)
	before := len(x.requests())
	c, err := net.Dial("tcp", n.callers.String())
	assert.NilError(t, err)
	defer c.Close()
	fmt.Fprintf(c, "POST /a/x HTTP/1.1\r\nHost: h.example\r\nJujubewheel-Request-Id: one\r\nTransfer-Encoding: chunked\r\n\r\n7000\r\n%s\r\n", strings.Repeat("x", 0x7000))
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	assert.Equal(t, r.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, r.Header.Get("Retry-After"), "1.000")
	assert.Equal(t, len(x.requests()), before)
}
