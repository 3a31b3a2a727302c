package jwconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// startPeer listens on a local port and calls script for each connection. It
// returns the address.
func startPeer(t *testing.T, script func(c net.Conn, r *bufio.Reader)) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				script(c, bufio.NewReader(c))
			}()
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

// readRequestID reads one request and returns its header Id.
func readRequestID(r *bufio.Reader) (string, error) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return "", err
	}
	_, err = io.Copy(io.Discard, req.Body)
	return req.Header.Get("Id"), err
}

func newCall(a netip.AddrPort, id string) *Call {
	return &Call{
		Peer: a, Method: http.MethodPost, Target: "/x?y=1", Host: "h", Header: http.Header{"Id": {id}}, Body: []byte("body"),
		Match: func(h http.Header) bool { return h.Get("Id") == id },
	}
}

func responseText(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

func TestAnswers(t *testing.T) {
	cases := map[string]struct {
		raw   string // what the peer writes; ID is replaced by the request's identifier
		close bool   // whether the peer closes the connection afterwards
		body  string
		stage Stage // of the failure, empty for none
		kept  bool  // whether the connection is used for the next call
	}{
		"sized":                                  {raw: responseText("ID", "abc"), body: "abc", kept: true},
		"empty":                                  {raw: responseText("ID", ""), body: "", kept: true},
		"chunked":                                {raw: "HTTP/1.1 200 OK\r\nId: ID\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", body: "abc", kept: true},
		"without length":                         {raw: "HTTP/1.1 200 OK\r\nId: ID\r\n\r\nabc", close: true, body: "abc"},
		"the peer closes":                        {raw: "HTTP/1.1 200 OK\r\nId: ID\r\nConnection: close\r\nContent-Length: 3\r\n\r\nabc", body: "abc"},
		"interim first":                          {raw: "HTTP/1.1 103 Early Hints\r\n\r\n" + responseText("ID", "abc"), body: "abc", kept: true},
		"a late answer to another request first": {raw: responseText("old", "zzz") + responseText("ID", "abc"), body: "abc", kept: true},
		"an extra answer after it":               {raw: responseText("ID", "abc") + responseText("ID", "zzz"), body: "abc"},
		"incomplete body":                        {raw: "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 9\r\n\r\nabc", close: true, stage: StageRead},
		"incomplete chunked body":                {raw: "HTTP/1.1 200 OK\r\nId: ID\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", close: true, stage: StageRead},
		"no answer":                              {close: true, stage: StageSent},
		"no HTTP":                                {raw: "what?\r\n\r\n", stage: StageSent, close: true},
		"only answers to others":                 {raw: strings.Repeat(responseText("old", "z"), 4), stage: StageSent},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			conns := 0
			a := startPeer(t, func(cn net.Conn, r *bufio.Reader) {
				for {
					id, err := readRequestID(r)
					if err != nil {
						return
					}
					_, _ = io.WriteString(cn, strings.ReplaceAll(c.raw, "ID", id))
					if c.close {
						return
					}
				}
			})
			p := &Pool{OnDial: func() { conns++ }}
			for _, id := range []string{"one", "two"} {
				body, err := doAndRead(p, newCall(a, id))
				var ce *CallError
				if c.stage == "" {
					assert.NilError(t, err)
					assert.Equal(t, body, c.body)
				} else {
					assert.Assert(t, errors.As(err, &ce), "%v", err)
					assert.Equal(t, ce.Stage, c.stage)
				}
				time.Sleep(5 * time.Millisecond) // lets the bytes after the answer arrive
			}
			assert.Equal(t, conns == 1, c.kept, "%d connections", conns)
		})
	}
}

func doAndRead(p *Pool, c *Call) (string, error) {
	a, err := p.Do(context.Background(), c)
	if err != nil {
		return "", err
	}
	defer a.Close()
	body, err := io.ReadAll(a.Body)
	return string(body), err
}

// The peer answers before it has read a long body and keeps the connection. If
// the next request were sent on it, the peer would read it as the remainder of
// that body.
func TestEarlyAnswerEndsTheConnection(t *testing.T) {
	conns := 0
	a := startPeer(t, func(cn net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(cn, responseText("one", "no"))
		time.Sleep(100 * time.Millisecond)
	})
	p := &Pool{OnDial: func() { conns++ }}
	c := newCall(a, "one")
	c.Body = make([]byte, 64<<20) // more than the socket buffers hold
	body, err := doAndRead(p, c)
	assert.NilError(t, err)
	assert.Equal(t, body, "no")
	assert.Equal(t, len(p.idle[a]), 0)
}

// A peer that restarts closes its unused connections. Who keeps them must learn of it, and not of bytes
// that the peer sent unasked.
func TestPeerCloseIsReported(t *testing.T) {
	cases := map[string]struct {
		after string // what the peer sends after its answer
		close bool
		want  int
	}{
		"closed":        {"", true, 1},
		"open":          {"", false, 0},
		"unasked bytes": {"x", false, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			done := make(chan struct{})
			defer close(done)
			a := startPeer(t, func(cn net.Conn, r *bufio.Reader) {
				id, err := readRequestID(r)
				if err != nil {
					return
				}
				_, _ = io.WriteString(cn, responseText(id, "abc")+c.after)
				if !c.close {
					<-done
				}
			})
			closed := 0
			p := &Pool{OnPeerClose: func(peer netip.AddrPort) {
				assert.Equal(t, peer, a)
				closed++
			}}
			_, err := doAndRead(p, newCall(a, "one"))
			assert.NilError(t, err)
			for c.close && p.idle[a][0].isUsable() { // until the peer's FIN has arrived
				time.Sleep(time.Millisecond)
			}
			_, err = p.take(t.Context(), newCall(a, "two"))
			assert.NilError(t, err)
			assert.Equal(t, closed, c.want)
		})
	}
}

// The peer closes kept connections after a while. A request sent on one of them
// would be lost, and one that must not run twice could not be sent again.
func TestClosedConnectionIsNotUsed(t *testing.T) {
	a := startPeer(t, func(cn net.Conn, r *bufio.Reader) {
		id, err := readRequestID(r)
		if err == nil {
			_, _ = io.WriteString(cn, responseText(id, "abc"))
		}
	})
	p := &Pool{}
	for _, id := range []string{"one", "two", "three"} {
		_, err := doAndRead(p, newCall(a, id))
		assert.NilError(t, err)
		for p.idle[a][0].isUsable() { // until the peer's FIN has arrived
			time.Sleep(time.Millisecond)
		}
	}
}

func TestRequestIsNotResent(t *testing.T) {
	got := make(chan string, 10)
	a := startPeer(t, func(_ net.Conn, r *bufio.Reader) {
		id, _ := readRequestID(r)
		got <- id
	})
	_, err := doAndRead(&Pool{}, newCall(a, "one"))
	assert.ErrorContains(t, err, "sent")
	assert.Equal(t, <-got, "one")
	select {
	case id := <-got:
		t.Fatalf("%s was sent again", id)
	case <-time.After(20 * time.Millisecond):
	}
}

func TestCallEndsWithItsContext(t *testing.T) {
	peerSawClose := make(chan struct{})
	a := startPeer(t, func(_ net.Conn, r *bufio.Reader) {
		_, _ = readRequestID(r)
		_, _ = r.ReadByte() // until the caller closes
		close(peerSawClose)
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		time.Sleep(10 * time.Millisecond)
		cancel()
	}()
	_, err := (&Pool{}).Do(ctx, newCall(a, "one"))
	assert.ErrorIs(t, err, context.Canceled)
	<-peerSawClose // the connection was closed at the peer
}

func TestUnreachablePeer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	a := netip.MustParseAddrPort(l.Addr().String())
	l.Close()
	_, err = (&Pool{}).Do(context.Background(), newCall(a, "one"))
	var ce *CallError
	assert.Assert(t, errors.As(err, &ce))
	assert.Equal(t, ce.Stage, StageDial)
}

func TestKeepAlive(t *testing.T) {
	cases := map[string]time.Duration{
		"":                 0,
		"timeout=5":        5 * time.Second,
		"max=3, timeout=5": 5 * time.Second,
		"timeout=x":        0,
		"timeout=0":        0,
		"timeout":          0,
	}
	for header, want := range cases {
		assert.Equal(t, parseKeepAlive(http.Header{"Keep-Alive": {header}}), want, header)
	}
}

// A target reads a request slowly. The next request must not wait behind it on the same connection.
func TestConnectionOfSlowReaderIsNotUsedAgain(t *testing.T) {
	cases := map[string]struct {
		body    int
		limit   time.Duration
		reading time.Duration // pause before the target reads the body
		kept    int
	}{
		"read at once":      {2 << 20, time.Minute, 0, 1},
		"read slowly":       {64 << 20, time.Millisecond, 300 * time.Millisecond, 0},
		"no limit":          {64 << 20, 0, 100 * time.Millisecond, 1},
		"short, at once":    {100, time.Minute, 0, 1},
		"within the limits": {64 << 20, time.Minute, 100 * time.Millisecond, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				time.Sleep(c.reading)
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(w, "ok")
			}))
			defer s.Close()
			peer := netip.MustParseAddrPort(s.Listener.Addr().String())
			p := &Pool{}
			a, err := p.Do(t.Context(), &Call{Peer: peer, Method: http.MethodPost, Target: "/", Host: "h", Body: make([]byte, c.body), MaxWriteTime: c.limit})
			assert.NilError(t, err)
			_, err = io.ReadAll(a.Body)
			assert.NilError(t, err)
			if a.writer != nil {
				<-a.writer.done // the target has read the body, so that its writing ends
			}
			a.Close()
			assert.Equal(t, p.IdleCount(peer), c.kept)
		})
	}
}

// A peer answers a request again while it handles the same request, which came back: the earlier answer must not be
// taken for the one that is due, as it would be over the same connection.
func TestConnectionCarriesARequestOnce(t *testing.T) {
	cases := map[string]struct {
		ids   []string
		conns int // that the peer has accepted by the end
	}{
		"different requests":             {[]string{"a", "b", "c"}, 1},
		"the same again":                 {[]string{"a", "a"}, 2},
		"the same later":                 {[]string{"a", "b", "a"}, 2},
		"three times":                    {[]string{"a", "a", "a"}, 3},
		"another, over one that is kept": {[]string{"a", "a", "b", "c"}, 2},
		"without an ID":                  {[]string{"", "", ""}, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var conns atomic.Int32
			a := startPeer(t, func(c net.Conn, r *bufio.Reader) {
				conns.Add(1)
				for {
					id, err := readRequestID(r)
					if err != nil {
						return
					}
					_, _ = io.WriteString(c, responseText(id, "x"))
				}
			})
			p := &Pool{}
			for _, id := range c.ids {
				callOnce(t, p, a, id)
			}
			assert.Equal(t, int(conns.Load()), c.conns)
		})
	}
}

// A connection is closed when it can remember no more of the requests that it carried.
func TestConnectionRemembersBoundedNumberOfRequests(t *testing.T) {
	a := startPeer(t, func(c net.Conn, r *bufio.Reader) {
		for {
			id, err := readRequestID(r)
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, responseText(id, "x"))
		}
	})
	p := &Pool{}
	for i := range maxCarried {
		assert.Equal(t, p.IdleCount(a), min(i, 1))
		callOnce(t, p, a, strconv.Itoa(i))
	}
	assert.Equal(t, p.IdleCount(a), 0)
}

// callOnce makes a call with an ID and reads its answer.
func callOnce(t *testing.T, p *Pool, a netip.AddrPort, id string) {
	t.Helper()
	call := newCall(a, id)
	call.ID = id
	answer, err := p.Do(t.Context(), call)
	assert.NilError(t, err)
	defer answer.Close()
	_, err = io.Copy(io.Discard, answer.Body)
	assert.NilError(t, err)
}
