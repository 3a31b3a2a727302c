package jwconn

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// writeFirstConn lets a write get the error of a connection that is lost, and a read only after it.
type writeFirstConn struct {
	net.Conn
	holding atomic.Bool   // reads wait until a write has failed
	failed  chan struct{} // closed once a write has failed
	ended   chan struct{} // closed once a read has failed
	onFail  func()
	onEnd   func()
}

func newWriteFirstConn(c net.Conn) *writeFirstConn {
	w := &writeFirstConn{Conn: c, failed: make(chan struct{}), ended: make(chan struct{})}
	w.onFail = sync.OnceFunc(func() { close(w.failed) })
	w.onEnd = sync.OnceFunc(func() { close(w.ended) })
	return w
}

func (c *writeFirstConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.onFail()
		<-c.ended // the read is faster than what the writer does about its error
	}
	return n, err
}

func (c *writeFirstConn) Read(p []byte) (int, error) {
	if c.holding.Load() {
		<-c.failed
	}
	n, err := c.Conn.Read(p)
	if err != nil {
		c.onEnd()
	}
	return n, err
}

// A peer answers while it still gets the body, and its connection is reset in the answer. The error goes
// to the write of the body, and the read sees an end as of a complete answer.
func TestResetAnswerIsNotComplete(t *testing.T) {
	const part = "id: 1\ndata: a\n\n"
	framings := map[string]string{
		"connection": "",
		"length":     "Content-Length: 99\r\n",
		"chunks":     "Transfer-Encoding: chunked\r\n",
	}
	kinds := []string{"text/plain", "text/event-stream"}
	long := make([]byte, 64<<20) // more than the socket buffers hold
	bodies := map[string]func(*Call){
		"buffered":            func(c *Call) { c.Body = long },
		"with a rest":         func(c *Call) { c.Rest, c.Length = io.NopCloser(bytes.NewReader(long)), int64(len(c.Body)+len(long)) },
		"with a chunked rest": func(c *Call) { c.Rest, c.Length = io.NopCloser(bytes.NewReader(long)), -1 },
	}
	for framing, header := range framings {
		for _, kind := range kinds {
			for name, setBody := range bodies {
				t.Run(framing+", "+kind+", "+name, func(t *testing.T) {
					t.Parallel()
					a := startPeer(t, func(c net.Conn, r *bufio.Reader) {
						req, err := http.ReadRequest(r)
						if err != nil {
							return
						}
						body := part
						if framing == "chunks" {
							body = fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
						}
						_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Type: %s\r\n%s\r\n%s", req.Header.Get("Id"), kind, header, body)
						time.Sleep(50 * time.Millisecond)
						_ = c.(*net.TCPConn).SetLinger(0)
					})
					got, err := readWriteFirst(t, a.String(), newCall(a, "one"), setBody)
					assert.Assert(t, strings.HasPrefix(part, got), got)
					assert.ErrorContains(t, err, "read "+a.String())
				})
			}
		}
	}
}

// readWriteFirst makes a call and reads its answer once writing its body has failed.
func readWriteFirst(t *testing.T, addr string, call *Call, setBody func(*Call)) (string, error) {
	t.Helper()
	var cn *writeFirstConn
	p := &Pool{Dial: func(context.Context, string, string) (net.Conn, error) {
		c, err := net.Dial("tcp", addr)
		cn = newWriteFirstConn(c)
		return cn, err
	}}
	setBody(call)
	answer, err := p.Do(t.Context(), call)
	assert.NilError(t, err)
	defer answer.Close()
	cn.holding.Store(true)
	got, err := io.ReadAll(answer.Body)
	cn.onEnd()
	return string(got), err
}

// A peer ends its answer and closes its side before it has read the whole body. The answer is complete,
// also if the rest of the body meets a reset.
func TestAnswerClosedBeforeResetIsComplete(t *testing.T) {
	cases := map[string]bool{"open for the body": false, "reset later": true}
	for name, reset := range cases {
		t.Run(name, func(t *testing.T) {
			done := make(chan struct{})
			a := startPeer(t, func(c net.Conn, r *bufio.Reader) {
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\nwhole", req.Header.Get("Id"))
				_ = c.(*net.TCPConn).CloseWrite()
				if reset {
					time.Sleep(50 * time.Millisecond)
					_ = c.(*net.TCPConn).SetLinger(0)
					return
				}
				<-done
			})
			defer close(done)
			call := newCall(a, "one")
			call.Body = make([]byte, 64<<20)
			var got string
			var err error
			if reset {
				got, err = readWriteFirst(t, a.String(), call, func(*Call) {})
			} else {
				got, err = doAndRead(&Pool{}, call)
			}
			assert.NilError(t, err)
			assert.Equal(t, got, "whole")
		})
	}
}
