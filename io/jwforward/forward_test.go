package jwforward

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	"jujubewheel/core/jwdispatch"
	"jujubewheel/core/jwpeer"
	"jujubewheel/core/jwrequest"
)

// dispatcher is a Dispatcher that calls a function for each request.
type dispatcher func(ctx context.Context, r *jwrequest.Request, sink jwdispatch.Sink)

func (d dispatcher) Serve(ctx context.Context, r *jwrequest.Request, sink jwdispatch.Sink) {
	d(ctx, r, sink)
}

// gate is a Gate that admits every request if it is true, and none otherwise.
type gate bool

func (g gate) Enter() (func(), bool) { return func() {}, bool(g) }

// serve starts s and returns it as a peer, with the gRPC server that the test
// can stop.
func serve(t *testing.T, s *Server) (jwpeer.Peer, *grpc.Server) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	g := s.GRPC()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = g.Serve(l)
	}()
	t.Cleanup(func() {
		g.Stop()
		<-done
	})
	return jwpeer.Peer{Name: "there", NodeAddress: l.Addr().(*net.TCPAddr).AddrPort()}, g
}

func testRequest() *jwrequest.Request {
	return &jwrequest.Request{
		ID: "r", Workspace: "w", Entry: "e", Body: []byte(strings.Repeat("body ", 20_000)),
		Deadline: time.Now().Add(time.Minute),
		Hops:     jwrequest.Hops{{Node: "here", Region: "east", DataCentre: "east-1"}},
	}
}

// A forwarded request fails at each step of the call. The caller may get the
// outcome notRun only if the other node did not start the request, and an answer
// counts as complete only if the other node reported that it is.
func TestForwardFailures(t *testing.T) {
	type result struct {
		atCall, atEnd jwdispatch.FailureKind // failure of Forward and of reading the body, empty for none
		body          string
	}
	var stop func()
	var begun chan struct{} // closed when the answer's head has arrived
	tests := map[string]struct {
		open    gate
		request func(*jwrequest.Request)
		serve   dispatcher
		want    result
	}{
		"complete": {open: true, serve: func(_ context.Context, r *jwrequest.Request, sink jwdispatch.Sink) {
			_ = sink.Head(jwdispatch.AnswerHead{Status: 200, Length: jwdispatch.UnknownLength})
			_ = sink.Body(r.Body)
			_ = sink.End(jwdispatch.AnswerEnd{Outcome: jwrequest.Served, Length: int64(len(r.Body))})
		}, want: result{body: strings.Repeat("body ", 20_000)}},
		"the other node stops": {open: false, want: result{atCall: jwdispatch.Refused}},
		"no hop in the record": {open: true, request: func(r *jwrequest.Request) { r.Hops = nil }, want: result{atCall: jwdispatch.Refused}},
		"body too long":        {open: true, request: func(r *jwrequest.Request) { r.Body = make([]byte, 2<<20) }, want: result{atCall: jwdispatch.Refused}},
		"ends without an end frame": {open: true, serve: func(_ context.Context, _ *jwrequest.Request, sink jwdispatch.Sink) {
			_ = sink.Head(jwdispatch.AnswerHead{Status: 200, Length: jwdispatch.UnknownLength})
			_ = sink.Body([]byte("half"))
		}, want: result{atEnd: jwdispatch.BrokenOff, body: "half"}},
		"end frame reports a failure": {open: true, serve: func(_ context.Context, _ *jwrequest.Request, sink jwdispatch.Sink) {
			_ = sink.Head(jwdispatch.AnswerHead{Status: 200, Length: jwdispatch.UnknownLength})
			_ = sink.Body([]byte("half"))
			_ = sink.End(jwdispatch.AnswerEnd{Outcome: jwrequest.Unknown, Length: 4})
		}, want: result{atEnd: jwdispatch.BrokenOff, body: "half"}},
		"wrong length in the end frame": {open: true, serve: func(_ context.Context, _ *jwrequest.Request, sink jwdispatch.Sink) {
			_ = sink.Head(jwdispatch.AnswerHead{Status: 200, Length: jwdispatch.UnknownLength})
			_ = sink.Body([]byte("half"))
			_ = sink.End(jwdispatch.AnswerEnd{Outcome: jwrequest.Served, Length: 8})
		}, want: result{atEnd: jwdispatch.BrokenOff, body: "half"}},
		"killed before the answer": {open: true, serve: func(ctx context.Context, _ *jwrequest.Request, _ jwdispatch.Sink) {
			stop()
			<-ctx.Done()
		}, want: result{atCall: jwdispatch.BrokenOff}},
		"killed in the middle of the answer": {open: true, serve: func(ctx context.Context, _ *jwrequest.Request, sink jwdispatch.Sink) {
			_ = sink.Head(jwdispatch.AnswerHead{Status: 200, Length: jwdispatch.UnknownLength})
			<-begun
			stop()
			<-ctx.Done()
		}, want: result{atEnd: jwdispatch.BrokenOff}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			to, g := serve(t, &Server{Dispatcher: test.serve, Gate: test.open, MaxBody: 1 << 20})
			stop = func() { go g.Stop() }
			begun = make(chan struct{})
			pool := &Pool{}
			defer pool.Close()
			r := testRequest()
			if test.request != nil {
				test.request(r)
			}
			a, err := pool.Forward(t.Context(), to, r, jwdispatch.ForwardRegion)
			if test.want.atCall != "" {
				assertFailureKind(t, err, test.want.atCall)
				return
			}
			assert.NilError(t, err)
			close(begun)
			body, err := io.ReadAll(a.Body)
			assert.NilError(t, a.Body.Close())
			assert.Equal(t, string(body), test.want.body)
			if test.want.atEnd == "" {
				assert.NilError(t, err)
				return
			}
			assertFailureKind(t, err, test.want.atEnd)
		})
	}
}

func assertFailureKind(t *testing.T, err error, want jwdispatch.FailureKind) {
	t.Helper()
	var failed *jwdispatch.CallError
	assert.Assert(t, errors.As(err, &failed), "%v", err)
	assert.Equal(t, failed.Kind, want, "%v", err)
}

// The other node is not running. Nothing was sent, so the caller must not get
// the answer that its request may have run.
func TestForwardToStoppedNode(t *testing.T) {
	to, g := serve(t, &Server{Gate: gate(true)})
	g.Stop()
	pool := &Pool{}
	defer pool.Close()
	_, err := pool.Forward(t.Context(), to, testRequest(), jwdispatch.ForwardRegion)
	assertFailureKind(t, err, jwdispatch.Unsent)
}
