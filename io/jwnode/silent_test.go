package jwnode

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubewheel/io/jwstand"
)

// A device between a node and a target drops its connection state: open
// connections lose every byte, while new ones work. A caller whose stream was on
// such a connection must still get the remainder of its answer after the part
// that it has, and later requests must not be sent over the silent connections.
func TestSilentTarget(t *testing.T) {
	t.Parallel()
	s := newSystem(t, "east")
	r, standIn := s.runner("east")
	r.Engine.Token = 5 * time.Millisecond
	n := s.node("e1", "east")
	e := draft()
	e.Progress = time.Second
	s.edit(n, e)
	s.awaitRevision(1)
	s.await("targets", func() bool { return len(n.board.Targets.Polled()) == 1 })
	const running = 6
	answers := make(chan reply, running)
	for i := range running {
		go func() {
			answers <- s.send(n.CallersAddr(), "draft", "free-east", prompt(strings.Repeat("x", i+1)+" menu", 300, true), nil)
		}()
	}
	s.await("all streams run on the target", func() bool { return len(r.Journal.Runs()) == running })
	second, _ := s.runner("east")
	second.Engine.Token = 5 * time.Millisecond
	s.await("another target", func() bool { return len(n.board.Targets.Polled()) == 2 })
	began := time.Now()
	standIn.SetFaults(jwstand.Faults{Silent: true})
	for range running {
		a := <-answers
		assert.Check(t, strings.Contains(a.body, "event: done") && strings.Count(a.body, "id: ") == 300, "%s %v", tail(a.body), a.err)
	}
	t.Logf("all streams complete %v after the connections went silent", time.Since(began))
	for range 10 {
		assert.Check(t, s.send(n.CallersAddr(), "draft", "free-east", prompt("menu", 2, true), nil).outcome == "served")
	}
}

func tail(s string) string { return s[max(0, len(s)-200):] }

// A key has run when a second call with it arrives whose body is incomplete, as
// when the network fails. The second call did not run, but the first one did, so the
// outcome must be unknown rather than notRun.
func TestBrokenBody(t *testing.T) {
	s := newSystem(t, "east")
	desk, _ := s.service("east")
	n := s.node("e1", "east")
	s.edit(n, confirmation())
	s.awaitRevision(1)
	s.await("targets", func() bool { return len(n.board.Targets.Polled()) == 1 })
	assert.Equal(t, s.send(n.CallersAddr(), "confirm", "free-east", "deposit", header{"Idempotency-Key": "k"}).outcome, "served")
	tests := map[string]struct{ key, outcome string }{
		"second call": {"Idempotency-Key: k\r\n", "unknown"},
		"another key": {"Idempotency-Key: other\r\n", "unknown"}, // the node did not look up the key
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", n.CallersAddr().String())
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, "POST /v1/requests/confirm HTTP/1.1\r\nHost: a\r\nJujube-Workspace: free-east\r\n"+tc.key+"Content-Length: 7\r\n\r\ndepo")
			assert.NilError(t, err)
			assert.NilError(t, conn.(*net.TCPConn).CloseWrite())
			assert.NilError(t, conn.SetReadDeadline(time.Now().Add(testTimeout)))
			answer, err := io.ReadAll(conn)
			assert.NilError(t, err)
			assert.Assert(t, strings.Contains(string(answer), "Jujube-Outcome: "+tc.outcome), "%s", answer)
			assert.Assert(t, strings.HasPrefix(string(answer), "HTTP/1.1 400"), "%s", answer)
		})
	}
	assert.Equal(t, len(desk.Journal.Runs()), 1)
}

// Callers in two regions happen to use the same request id at the same time. If a
// node kept answers by request id alone, a caller would get the answer to another
// caller's request.
func TestSameRequestID(t *testing.T) {
	s := newSystem(t, "east", "west")
	s.runner("east")
	near, far := s.node("e1", "east"), s.node("w1", "west")
	s.edit(near, draft())
	s.awaitRevision(1)
	s.await("drafts are served in both regions", func() bool {
		return s.send(near.CallersAddr(), "draft", "free-east", prompt("menu", 2, true), nil).outcome == "served" &&
			s.send(far.CallersAddr(), "draft", "free-west", prompt("menu", 2, true), nil).outcome == "served"
	})
	var callers sync.WaitGroup
	for i := range 16 {
		callers.Go(func() {
			n, workspace := near, "free-east"
			if i%2 == 1 {
				n, workspace = far, "free-west"
			}
			text := fmt.Sprintf("menu of %d", i)
			r := s.send(n.CallersAddr(), "draft", workspace, prompt(text, 20, i%4 < 2), header{"Jujube-Request-Id": "same"})
			if r.outcome == "notRun" {
				return // the target has no capacity for all requests at once
			}
			for k := range 20 {
				assert.Check(t, strings.Contains(r.body, jwstand.TokenOf(text, k+1)), "%d: %+v", i, r)
			}
		})
	}
	callers.Wait()
}
