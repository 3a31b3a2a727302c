package jwconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubewheel/core/jwmemory"
)

// countingConn counts the bytes that are read from a connection.
type countingConn struct {
	net.Conn
	n *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.n.Add(int64(n))
	return n, err
}

// A peer sends a head that never ends. Its call must fail within bounded memory and leave no connection.
func TestEndlessHeadIsGivenUp(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nId: one\r\n"
	cases := map[string]struct{ start, repeated string }{
		"status line":         {"HTTP/1.1 200 ", "x"},
		"no status line":      {"", "x"},
		"one header":          {ok + "X: ", "x"},
		"name of a header":    {ok, "x"},
		"many headers":        {ok, "X: y\r\n"},
		"many different ones": {ok, "X-Yz: y\r\nX-Zy: y\r\n"},
		"continued header":    {ok + "X: y\r\n", " y\r\n"},
		"informational":       {"HTTP/1.1 103 Early Hints\r\nX: ", "x"},
		"many informational":  {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"heads of others":     {"", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 0\r\n\r\n"},
		"second head":         {"HTTP/1.1 103 Early Hints\r\n\r\n" + ok + "X: ", "x"},
		"blank lines":         {"", "\r\n"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			closed := make(chan struct{})
			a := startPeer(t, func(cn net.Conn, r *bufio.Reader) {
				defer close(closed)
				if _, err := readRequestID(r); err != nil {
					return
				}
				_, err := io.WriteString(cn, c.start)
				part := strings.Repeat(c.repeated, (32<<10)/len(c.repeated))
				for err == nil { // until the caller closes
					_, err = io.WriteString(cn, part)
				}
			})
			var read atomic.Int64
			p := &Pool{Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
				cn, err := (&net.Dialer{}).DialContext(ctx, network, address)
				return countingConn{cn, &read}, err
			}}
			_, err := p.Do(t.Context(), newCall(a, "one"))
			var ce *CallError
			assert.Assert(t, errors.As(err, &ce), "%v", err)
			assert.Equal(t, ce.Stage, StageSent)
			assert.Assert(t, read.Load() <= maxHeadBytes, "%d bytes", read.Load())
			assert.Equal(t, p.IdleCount(a), 0)
			<-closed
		})
	}
}

// Peers send part of many heads that never end. What a process holds for all of them must stay within its
// budget, and a call of another peer must succeed beside them.
func TestManyHeadsWithoutEnd(t *testing.T) {
	const (
		calls  = 200
		budget = 1 << 20
		size   = 30 << 10
		// perCall is what a call takes in any case, with the peer's part in this process.
		perCall = 48 << 10
	)
	var distinct strings.Builder
	for i := 0; distinct.Len() < size; i++ {
		fmt.Fprintf(&distinct, "X%d: y\r\n", i)
	}
	cases := map[string]string{
		"one header":     "X: " + strings.Repeat("x", size),
		"many headers":   strings.Repeat("X: y\r\n", size/6),
		"many different": distinct.String(),
	}
	for name, part := range cases {
		t.Run(name, func(t *testing.T) {
			faulty := startPeer(t, func(cn net.Conn, r *bufio.Reader) {
				if _, err := readRequestID(r); err == nil {
					_, _ = io.WriteString(cn, "HTTP/1.1 200 OK\r\nId: one\r\n"+part)
					_, _ = io.Copy(io.Discard, r)
				}
			})
			sound := startPeer(t, func(cn net.Conn, r *bufio.Reader) {
				if id, err := readRequestID(r); err == nil {
					_, _ = io.WriteString(cn, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nContent-Length: 0\r\nX: "+strings.Repeat("y", 20<<10)+"\r\n\r\n")
				}
			})
			in := &jwmemory.Incoming{Budget: budget}
			p := &Pool{Incoming: in}
			ctx, cancel := context.WithCancel(t.Context())
			before := liveBytes()
			var group sync.WaitGroup
			var failed atomic.Int64
			for range calls {
				group.Go(func() {
					_, err := p.Do(ctx, newCall(faulty, "one"))
					assert.Check(t, err != nil)
					failed.Add(1)
				})
			}
			time.Sleep(500 * time.Millisecond)
			held := int64(liveBytes() - before)
			a, err := p.Do(t.Context(), newCall(sound, "two"))
			assert.NilError(t, err)
			a.Close()
			t.Logf("%d bytes, %d of %d calls given up", held, failed.Load(), calls)
			cancel()
			group.Wait()
			assert.Check(t, held <= budget+calls*perCall, "%d bytes held, %d allowed", held, budget+calls*perCall)
			assert.Equal(t, in.Held(), int64(0))
		})
	}
}

// liveBytes returns the number of bytes on the heap that are in use.
func liveBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// FuzzReadHead reads heads from any bytes: what is read is bounded, and an answer is the one asked for.
func FuzzReadHead(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nId: one\r\n\r\nx"))
	f.Add([]byte("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nId: one\r\nContent-Length: 1\r\n\r\nx"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\nHTTP/1.1 204 No Content\r\nId: one\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nId: one\r\nX: " + strings.Repeat("x", maxHeadBytes)))
	f.Fuzz(func(t *testing.T, data []byte) {
		cn := &conn{head: &headLimiter{r: strings.NewReader(string(data))}}
		cn.r = bufio.NewReaderSize(cn.head, readBufferSize)
		res, err := new(Pool).readHead(cn, &Call{Method: http.MethodPost, Match: func(h http.Header) bool { return h.Get("Id") == "one" }})
		assert.Assert(t, cn.head.left >= 0 && !cn.head.limited)
		if err != nil {
			return
		}
		assert.Equal(t, res.Header.Get("Id"), "one")
		assert.Assert(t, res.StatusCode >= http.StatusOK)
	})
}
