package jwrest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"jujubewheel/core/jwmemory"
)

// startAccounted starts a server whose requests to /wait end once release is closed.
func startAccounted(t *testing.T, callers *jwmemory.Callers) (address string, release chan struct{}, entered chan struct{}) {
	t.Helper()
	release, entered = make(chan struct{}), make(chan struct{}, 100)
	s := &Server{
		Name: "test", Log: logr.Discard(), Callers: callers,
		Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			entered <- struct{}{}
			if r.URL.Path == "/wait" {
				<-release
			}
		}),
		Full: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTooManyRequests) }),
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := s.httpServer()
	go func() { _ = server.Serve(&callerListener{l, callers}) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String(), release, entered
}

// connect sends a text over a new connection.
func connect(t *testing.T, address, text string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { c.Close() })
	_, err = io.WriteString(c, text)
	assert.NilError(t, err)
	return c
}

// statusOf reads an answer and returns its status, 0 if the connection ended before.
func statusOf(c net.Conn) int {
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_ = res.Body.Close()
	return res.StatusCode
}

const (
	waiting    = "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n"
	ordinary   = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx"
	incomplete = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nx"
)

// The process has no room for another request: an incomplete one is given up for it, and what it held is free again; a
// complete one is not, so that the new one is rejected.
func TestWhoGetsRoom(t *testing.T) {
	const heads = 4 << 10 // of two requests
	t.Run("beside an incomplete request", func(t *testing.T) {
		callers := &jwmemory.Callers{Budget: 2*connMemory + requestMemory + heads}
		address, _, _ := startAccounted(t, callers)
		first := connect(t, address, incomplete)
		for held := int64(0); held < connMemory+requestMemory; held, _ = callers.Held() {
			time.Sleep(time.Millisecond)
		}
		for status := 0; status != http.StatusOK; {
			c, err := net.Dial("tcp", address)
			if err != nil {
				continue // there is no room for the connection yet
			}
			_, _ = io.WriteString(c, ordinary)
			status = statusOf(c)
			c.Close()
		}
		assert.Equal(t, statusOf(first), 0)
	})
	t.Run("beside a complete request", func(t *testing.T) {
		callers := &jwmemory.Callers{Budget: 2*connMemory + heads}
		address, release, entered := startAccounted(t, callers)
		first := connect(t, address, waiting)
		<-entered
		assert.Equal(t, statusOf(connect(t, address, ordinary)), http.StatusTooManyRequests)
		close(release)
		assert.Equal(t, statusOf(first), http.StatusOK)
	})
}

// An idle connection is closed for a new one when there are too many, and nothing stays accounted for.
func TestIdleConnectionMakesWay(t *testing.T) {
	callers := &jwmemory.Callers{MaxConns: 2}
	address, _, _ := startAccounted(t, callers)
	var conns []net.Conn
	for i := range 5 {
		c := connect(t, address, ordinary)
		assert.Equal(t, statusOf(c), http.StatusOK, fmt.Sprint(i))
		conns = append(conns, c)
	}
	_, err := conns[0].Read(make([]byte, 1))
	assert.Assert(t, err != nil)
	for _, c := range conns {
		c.Close()
	}
	for bytes, n := callers.Held(); n > 0 || bytes > 0; bytes, n = callers.Held() {
		time.Sleep(time.Millisecond)
	}
}
