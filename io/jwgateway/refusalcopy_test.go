package jwgateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubewheel/core/jwstore"
)

// scriptedTargets are targets at several addresses. A script says what they do with the first send of a request, the
// second one, and so on, wherever these arrive.
type scriptedTargets struct {
	feed   *jwstore.MemoryFeed
	script []func(*arrival)

	mu       sync.Mutex
	addrs    []string
	arrivals map[string][]*arrival
}

// arrival is a request that arrived at a scripted target.
type arrival struct {
	*http.Request
	targets *scriptedTargets
	addr    string
	id      string // of the request
	conn    net.Conn
	closed  chan struct{} // closed with the connection
	before  []*arrival    // of the same request
}

// listen starts another target and registers it. It returns its address.
func (s *scriptedTargets) listen(t *testing.T) string {
	t.Helper()
	l := listenAlone(t)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			go s.serve(c, l.Addr().String())
		}
	}()
	s.mu.Lock()
	s.addrs = append(s.addrs, l.Addr().String())
	id := fmt.Sprint("t", len(s.addrs))
	s.mu.Unlock()
	registerVersion(s.feed, id, l.Addr().String(), "north-a", "v1", "ready", 1)
	return l.Addr().String()
}

// remove removes the registration of the target at an address.
func (s *scriptedTargets) remove(addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.feed.Remove(fmt.Sprint("servers/t", slices.Index(s.addrs, addr)+1))
}

func (s *scriptedTargets) serve(c net.Conn, addr string) {
	closed := make(chan struct{})
	defer close(closed)
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		a := &arrival{Request: req, targets: s, addr: addr, id: req.Header.Get("Jujubewheel-Request-Id"), conn: c, closed: closed}
		if req.URL.Path != "/a/x" {
			a.answer("200 OK", "Jujubewheel-Server-Seal: seal", "")
			continue
		}
		s.mu.Lock()
		if s.arrivals == nil {
			s.arrivals = make(map[string][]*arrival)
		}
		a.before = s.arrivals[a.id]
		s.arrivals[a.id] = append(a.before, a)
		s.mu.Unlock()
		if n := len(a.before); n < len(s.script) {
			go s.script[n](a)
		} else {
			go s.script[len(s.script)-1](a)
		}
	}
}

func (s *scriptedTargets) count(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.arrivals[id])
}

func (a *arrival) answer(status, header, body string) {
	fmt.Fprintf(a.conn, "HTTP/1.1 %s\r\nJujubewheel-Request-Id: %s\r\n%s\r\nContent-Length: %d\r\n\r\n%s", status, a.id, header, len(body), body)
}

// streamTo writes the events up to a number, and ends the stream if that is the last.
func (a *arrival) streamTo(upTo int, last bool) {
	var from int
	_, _ = fmt.Sscan(a.Header.Get("Last-Event-Id"), &from)
	fmt.Fprintf(a.conn, "HTTP/1.1 200 OK\r\nJujubewheel-Request-Id: %s\r\nJujubewheel-Server-Seal: seal\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", a.id)
	for i := from + 1; i <= upTo; i++ {
		e := event(i, "x")
		fmt.Fprintf(a.conn, "%x\r\n%s\r\n", len(e), e)
	}
	if last {
		_, _ = io.WriteString(a.conn, "0\r\n\r\n")
	}
}

// work waits for as long as a run takes. It returns false if the run's connection was closed before.
func (a *arrival) work() bool {
	select {
	case <-a.closed:
		return false
	case <-time.After(maxOverlap + 200*time.Millisecond):
		return true
	}
}

// A target sends its refusal of a request twice, and the copy arrives while it runs the same request, which came back:
// the copy must not be taken for the answer, or the request runs at another target too.
func TestCopyOfRefusalIsNoAnswer(t *testing.T) {
	t.Parallel()
	const events = 12
	refusals := map[string][3]string{
		"full":            {"503 Service Unavailable", "Jujubewheel-Not-Run: 1", ""},
		"too many":        {"429 Too Many Requests", "Jujubewheel-Not-Run: 1", `{"error":"full"}`},
		"another version": {"421 Misdirected Request", "X: y", ""},
		"failed":          {"500 Internal Server Error", "Jujubewheel-Server-Seal: seal", ""},
	}
	streams := slowRoute("/a/", "stream", `,"Resumable":true`)
	// Each case gives the number of targets at the start and the script up to the run that the copy meets.
	cases := map[string]struct {
		route   string
		refusal string
		targets int
		script  []func(*arrival)
	}{
		"resumed at the target that refused, full":      {streams, "full", 2, []func(*arrival){nil, breakOff}},
		"resumed at the target that refused, too many":  {streams, "too many", 2, []func(*arrival){nil, breakOff}},
		"sent again to the only target, failed":         {slowRoute("/a/", "idempotent", ""), "failed", 1, []func(*arrival){nil}},
		"new incarnation at the address, must run once": {slowRoute("/a/", "non_idempotent", ""), "another version", 1, []func(*arrival){nil}},
	}
	for name, c := range cases {
		for _, region := range []string{"north", "south"} {
			for _, delay := range []time.Duration{0, 5 * time.Millisecond, 20 * time.Millisecond} {
				t.Run(fmt.Sprint(name, ", from ", region, ", after ", delay), func(t *testing.T) {
					t.Parallel()
					refusal := refusals[c.refusal]
					refuse := func(a *arrival) { a.answer(refusal[0], refusal[1], refusal[2]) }
					var feed jwstore.MemoryFeed
					s := &scriptedTargets{feed: &feed}
					for _, f := range c.script {
						s.script = append(s.script, func(a *arrival) {
							if len(a.before) == 0 {
								refuse(a)
							}
							if f != nil {
								f(a)
							}
						})
					}
					begun := len(s.script)
					s.script = append(s.script, func(a *arrival) {
						if len(a.before) == begun {
							s.listen(t) // that the node can take if it believes the copy
							time.Sleep(delay)
							refuse(a.before[0])
						}
						if !a.work() {
							return
						}
						if c.route == streams {
							a.streamTo(events, true)
						} else {
							a.answer("200 OK", "Jujubewheel-Server-Seal: seal", "done")
						}
					})
					for range c.targets {
						addr := s.listen(t)
						if c.refusal == "another version" {
							registerVersion(&feed, "again", addr, "north-a", "v1", "ready", 2)
						}
					}
					configure(&feed, 1, c.route)
					heartbeat(t, &feed)
					n := start(t, &feed, "n1", "north")
					sendUntil(t, n, "/a/w", served)
					if region != "north" {
						n = start(t, &feed, "n2", region)
						sendUntil(t, n, "/a/w", served)
					}
					r, err := send(t, n, http.MethodPost, "/a/x", "one", http.Header{"Jujubewheel-Deadline-Ms": {"8000"}}, "")
					assert.NilError(t, err)
					assert.Check(t, r.status == http.StatusOK && r.err == nil, "%d %q %v", r.status, r.body, r.err)
					if c.route == streams {
						assert.Check(t, strings.HasSuffix(r.body, event(events, "x")), "%q", r.body)
					}
					assert.Equal(t, s.count("one"), begun+1)
				})
			}
		}
	}
}

// breakOff begins a stream and breaks it off as the target goes away.
func breakOff(a *arrival) {
	a.streamTo(6, false)
	a.targets.remove(a.addr)
	time.Sleep(1200 * time.Millisecond)
	a.conn.Close()
}
