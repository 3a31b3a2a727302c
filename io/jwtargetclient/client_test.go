package jwtargetclient

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubewheel/core/jwdispatch"
	"jujubewheel/core/jwrequest"
)

func address(t *testing.T, s *httptest.Server) netip.AddrPort {
	t.Helper()
	addr, err := netip.ParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
	assert.NilError(t, err)
	return addr
}

func call(body string) jwdispatch.TargetCall {
	return jwdispatch.TargetCall{
		Request:    &jwrequest.Request{ID: "r", Workspace: "w", Body: []byte(body)},
		Path:       "/v1/x",
		Idempotent: true,
	}
}

// A target fails at each step of a call. From the reported failure the node
// derives whether the request may have run: a wrong one leads to a request that
// runs twice, or to one reported as lost that was never run.
func TestCallFailures(t *testing.T) {
	tests := map[string]struct {
		handler  http.HandlerFunc
		progress time.Duration
		atCall   jwdispatch.FailureKind // empty when the answer begins
		atEnd    jwdispatch.FailureKind // empty when it is complete
	}{
		"complete plain answer": {handler: func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "fine")
		}},
		"complete stream": {handler: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, "data: a\n\ndata: [DONE]\n\n")
		}},
		"refused as overloaded": {handler: func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}, atCall: jwdispatch.Refused},
		"connection closed before the answer": {handler: func(http.ResponseWriter, *http.Request) {
			panic(http.ErrAbortHandler)
		}, atCall: jwdispatch.BrokenOff},
		"incomplete plain answer": {handler: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "half")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}, atEnd: jwdispatch.BrokenOff},
		"stream that ends cleanly without its end mark": {handler: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, "data: a\n\n")
		}, atEnd: jwdispatch.BrokenOff},
		"stream that breaks off after its end mark in data": {handler: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, "data: {\"text\":\"ends with data: [DONE]")
		}, atEnd: jwdispatch.BrokenOff},
		"stream whose end mark is only in data": {handler: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, "data: x data: [DONE]\n\n")
		}, atEnd: jwdispatch.BrokenOff},
		"stream that breaks off inside its end mark's event": {handler: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, "data: a\n\ndata: [DONE]\n")
		}, atEnd: jwdispatch.BrokenOff},
		"complete stream that is only its end mark": {handler: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, "data: [DONE]\r\n\r\n")
		}},
		"complete stream with a comment at its end": {handler: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, "data: a\n\ndata: [DONE]\n\n: end\n\n")
		}},
		"answer without any length": {handler: func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := w.(http.Hijacker).Hijack()
			if err == nil {
				_, _ = io.WriteString(conn, "HTTP/1.0 200 OK\r\n\r\nhalf")
				_ = conn.Close()
			}
		}, atEnd: jwdispatch.BrokenOff},
		"no answer in time": {progress: 50 * time.Millisecond, handler: func(_ http.ResponseWriter, r *http.Request) {
			<-r.Context().Done()
		}, atCall: jwdispatch.NoProgress},
		"stream that stops without closing": {progress: 50 * time.Millisecond, handler: func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, "data: a\n\n")
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
		}, atEnd: jwdispatch.NoProgress},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				test.handler(w, r)
			}))
			defer s.Close()
			c := &Client{}
			in := call("hello")
			in.ProgressTimeout = test.progress
			a, err := c.Call(t.Context(), address(t, s), in)
			if test.atCall != "" {
				assertFailureKind(t, err, test.atCall)
				return
			}
			assert.NilError(t, err)
			_, err = io.ReadAll(a.Body)
			assert.NilError(t, a.Body.Close())
			if test.atEnd == "" {
				assert.NilError(t, err)
				return
			}
			assertFailureKind(t, err, test.atEnd)
		})
	}
}

func assertFailureKind(t *testing.T, err error, want jwdispatch.FailureKind) {
	t.Helper()
	var failed *jwdispatch.CallError
	assert.Assert(t, errors.As(err, &failed), "%v", err)
	assert.Equal(t, failed.Kind, want)
}

// Nothing listens at the target's address any more. The node must report that
// the request was not run, so that the caller can retry it at once.
func TestNoListener(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := l.Addr().(*net.TCPAddr).AddrPort()
	assert.NilError(t, l.Close())
	_, err = (&Client{}).Call(t.Context(), addr, call("hello"))
	assertFailureKind(t, err, jwdispatch.Unsent)
}

// A target accepts a confirmation on a reused connection, and its process dies
// before it answers. Because the request has an Idempotency-Key, net/http would
// send it again by itself, and the confirmation would run twice.
func TestTransportDoesNotResend(t *testing.T) {
	tests := map[string]string{"with a body": "order", "without a body": ""}
	for name, body := range tests {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int32
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				if r.Header.Get("Idempotency-Key") == "" {
					return
				}
				runs.Add(1)
				conn, _, err := w.(http.Hijacker).Hijack()
				if err == nil {
					_ = conn.Close()
				}
			}))
			defer s.Close()
			c := &Client{}
			a, err := c.Call(t.Context(), address(t, s), call("warm up the connection"))
			assert.NilError(t, err)
			_, err = io.ReadAll(a.Body)
			assert.NilError(t, err)
			assert.NilError(t, a.Body.Close())

			order := call(body)
			order.Request.Key = "k"
			for _, idempotent := range []bool{true, false} {
				runs.Store(0)
				order.Idempotent = idempotent
				_, err = c.Call(t.Context(), address(t, s), order)
				assertFailureKind(t, err, jwdispatch.BrokenOff)
				assert.Equal(t, runs.Load(), int32(1))
			}
		})
	}
}

// A caller disconnects in the middle of a long answer. The target must notice, or
// it goes on generating tokens that no caller reads.
func TestCloseCancelsTheTarget(t *testing.T) {
	targetCancelled := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = fmt.Fprint(w, "data: a\n\n")
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
		close(targetCancelled)
	}))
	defer s.Close()
	a, err := (&Client{}).Call(context.Background(), address(t, s), call("draft"))
	assert.NilError(t, err)
	assert.NilError(t, a.Body.Close())
	<-targetCancelled
}

func TestParseLoad(t *testing.T) {
	load, leaving, err := parseLoad(strings.NewReader("# TYPE vllm:num_requests_running gauge\nvllm:num_requests_running 3\n" +
		"# TYPE vllm:seconds_per_output_token gauge\nvllm:seconds_per_output_token 0.02\n# TYPE vllm:leaving gauge\nvllm:leaving 1\n"))
	assert.NilError(t, err)
	assert.Equal(t, load.Running, 3)
	assert.Equal(t, load.TokenInterval, 20*time.Millisecond)
	assert.Assert(t, leaving)
}

func FuzzParseLoad(f *testing.F) {
	f.Add("# TYPE vllm:num_requests_running gauge\nvllm:num_requests_running 3\n")
	f.Add("vllm:num_requests_running NaN\n")
	f.Fuzz(func(_ *testing.T, s string) {
		_, _, _ = parseLoad(strings.NewReader(s))
	})
}
