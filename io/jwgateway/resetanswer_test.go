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
	"jujubewheel/io/jwsettings"
)

// failedWriteConn reads what follows the first bytes only once a write has failed, so that the write
// and not the read gets the error of a reset.
type failedWriteConn struct {
	net.Conn
	mu     sync.Mutex
	begun  bool
	failed chan struct{}
	fail   func()
}

// dialFailedWrite opens a connection for a jwconn.Pool.
func dialFailedWrite(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	f := &failedWriteConn{Conn: c, failed: make(chan struct{})}
	f.fail = sync.OnceFunc(func() { close(f.failed) })
	return f, nil
}

func (c *failedWriteConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.fail()
		time.Sleep(20 * time.Millisecond) // the read is faster than what follows the error
	}
	return n, err
}

func (c *failedWriteConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	begun := c.begun
	c.begun = true
	c.mu.Unlock()
	if begun {
		<-c.failed
	}
	return c.Conn.Read(p)
}

func (c *failedWriteConn) Close() error {
	c.fail()
	return c.Conn.Close()
}

const resetPart = "id: 1\ndata: a\n\n"

// startResetTarget starts a target that resets its connection in the answer to a POST, whose body it has
// not read. It closes its connection after any other answer.
func startResetTarget(t *testing.T, feed *jwstore.MemoryFeed, id, dataCentre string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveReset(c, id)
		}
	}()
	register(feed, id, "s", l.Addr().String(), dataCentre, "ready")
}

func serveReset(c net.Conn, id string) {
	defer func() { _ = c.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Type: %s\r\nJujubewheel-Request-Id: %s\r\nJujubewheel-Server-Seal: seal-%s\r\n",
		r.URL.Query().Get("kind"), r.Header.Get("Jujubewheel-Request-Id"), id)
	if r.Method != http.MethodPost {
		_, _ = io.WriteString(c, head+"Content-Length: 0\r\n\r\n")
		return
	}
	framing, part := "", resetPart
	switch r.URL.Query().Get("framing") {
	case "length":
		framing = "Content-Length: 99\r\n"
	case "chunks":
		framing, part = "Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n", len(resetPart), resetPart)
	}
	_, _ = io.WriteString(c, head+framing+"\r\n"+part)
	time.Sleep(50 * time.Millisecond)
	_ = c.(*net.TCPConn).SetLinger(0)
}

// A target is reset in its answer to a long request that is still being sent. The beginning of the answer
// must not look complete to the caller.
func TestResetAnswerNeverLooksComplete(t *testing.T) {
	t.Parallel()
	const size = 16 << 20 // more than the socket buffers hold
	for _, overload := range []jwsettings.OverloadMode{jwsettings.OverloadOff, jwsettings.OverloadOn} {
		for _, place := range []string{"here", "forwarded"} {
			t.Run("overload control "+string(overload)+", "+place, func(t *testing.T) {
				t.Parallel()
				var feed jwstore.MemoryFeed
				startResetTarget(t, &feed, "t1", "north-a")
				configureLargeBodies(&feed, 2*size, "")
				change := func(g *jwgateway.Gateway) {
					g.Settings.Gateway.Overload = overload
					g.Targets = &jwconn.Pool{Dial: dialFailedWrite}
				}
				n := startWith(t, &feed, "n1", "north", change)
				if place == "forwarded" {
					n = startWith(t, &feed, "n2", "south", change)
				}
				sendUntil(t, n, "/w/x", served)
				for _, framing := range []string{"connection", "length", "chunks"} {
					for _, kind := range []string{"text/plain", "text/event-stream"} {
						for _, length := range []int{size, -1} {
							name := fmt.Sprintf("%s, %s, length %d", framing, kind, length)
							status, body, err := postLong(t, n, "/w/x?framing="+framing+"&kind="+kind, size, length)
							assert.Assert(t, err != nil || status != http.StatusOK, "%s: %q looks complete", name, body)
							assert.Assert(t, status != http.StatusOK || strings.HasPrefix(resetPart, body), "%s: %q", name, body)
						}
					}
				}
			})
		}
	}
}

// postLong sends a request with a body of size bytes, by length or, if that is negative, in chunks. err
// is set unless the answer came to its end.
func postLong(t *testing.T, n node, path string, size, length int) (status int, body string, err error) {
	t.Helper()
	c, err := net.Dial("tcp", n.callers.String())
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	framing := fmt.Sprintf("Content-Length: %d", length)
	if length < 0 {
		framing = "Transfer-Encoding: chunked"
	}
	go func() {
		part := strings.Repeat("a", 1<<20)
		if length < 0 {
			part = fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
		}
		_, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h.example\r\nJujubewheel-Request-Id: long\r\nJujubewheel-Deadline-Ms: 2000\r\n%s\r\n\r\n", path, framing)
		for sent := 0; sent < size && err == nil; sent += 1 << 20 {
			_, err = io.WriteString(c, part)
		}
	}()
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, "", err
	}
	text, err := io.ReadAll(res.Body)
	return res.StatusCode, string(text), err
}
