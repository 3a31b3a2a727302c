package jwrest

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/zeromicro/go-zero/rest"
	"gotest.tools/v3/assert"
)

// testServer is a running server; stop stops it and waits until it has ended.
type testServer struct {
	*Server
	stop func()
}

func (s testServer) url() string { return fmt.Sprintf("http://%s", s.Addr()) }

func startServer(t *testing.T, routes []rest.Route) testServer {
	t.Helper()
	h, err := Handler(logr.Discard(), routes, UnmatchedHandlers{})
	assert.NilError(t, err)
	s := &Server{Name: "test", Address: netip.MustParseAddrPort("127.0.0.1:0"), Handler: h, Log: logr.Discard()}
	assert.NilError(t, s.Listen())
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	return testServer{s, func() {
		cancel()
		assert.NilError(t, <-done)
	}}
}

func TestRoutes(t *testing.T) {
	s := startServer(t, []rest.Route{{
		Method: http.MethodGet, Path: "/v1/things/:name",
		Handler: func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, Var(r, "name")) },
	}})
	defer s.stop()
	tests := map[string]struct {
		method, path string
		status       int
		body         string
	}{
		"known":         {http.MethodGet, "/v1/things/menu", 200, "menu"},
		"unknown path":  {http.MethodGet, "/v1/other", 404, "404 page not found\n"},
		"wrong method":  {http.MethodPost, "/v1/things/menu", 405, ""},
		"missing value": {http.MethodGet, "/v1/things", 404, "404 page not found\n"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			req, err := http.NewRequestWithContext(t.Context(), tc.method, s.url()+tc.path, nil)
			assert.NilError(t, err)
			resp, err := http.DefaultClient.Do(req)
			assert.NilError(t, err)
			defer resp.Body.Close()
			body, err := io.ReadAll(resp.Body)
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, tc.status)
			assert.Equal(t, string(body), tc.body)
		})
	}
}

func TestPanicCutsStream(t *testing.T) {
	// A handler panics in the middle of a stream. If the stream were ended in the
	// usual way, the caller would take an incomplete answer for a complete one.
	s := startServer(t, []rest.Route{{
		Method: http.MethodGet, Path: "/stream",
		Handler: func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprint(w, "first")
			_ = http.NewResponseController(w).Flush()
			panic("broken")
		},
	}})
	defer s.stop()
	resp, err := http.Get(s.url() + "/stream")
	assert.NilError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	assert.Equal(t, string(body), "first")
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

func TestStopLetsRequestsFinish(t *testing.T) {
	// A node is stopped while a request runs. The caller must get the complete
	// answer, and the request's context must not end before it.
	entered, release := make(chan struct{}), make(chan struct{})
	s := startServer(t, []rest.Route{{
		Method: http.MethodGet, Path: "/slow",
		Handler: func(w http.ResponseWriter, r *http.Request) {
			close(entered)
			<-release
			fmt.Fprintf(w, "whole %v", r.Context().Err())
		},
	}})
	type answer struct {
		body string
		err  error
	}
	answers := make(chan answer, 1)
	go func() {
		resp, err := http.Get(s.url() + "/slow")
		if err != nil {
			answers <- answer{err: err}
			return
		}
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		answers <- answer{string(body), err}
	}()
	<-entered
	go func() {
		for !s.draining.Load() {
			time.Sleep(time.Millisecond)
		}
		close(release)
	}()
	s.stop()
	got := <-answers
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, "whole <nil>")
}

func TestDrainClosesConnections(t *testing.T) {
	// A node is about to stop while callers hold connections to it open. Each
	// connection must close after an answer, because a later request on it would
	// get a reset.
	s := startServer(t, []rest.Route{{
		Method: http.MethodGet, Path: "/",
		Handler: func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "ok") },
	}})
	defer s.stop()
	for _, draining := range []bool{false, true} {
		if draining {
			s.Drain()
		}
		resp, err := http.Get(s.url() + "/")
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		assert.Equal(t, resp.Close, draining)
	}
}

// More callers connect at once than a node may accept. Those above the limit must
// wait to be accepted and be served later. If all of them were accepted, the node
// would run out of memory and serve none.
func TestConnectionsAreLimited(t *testing.T) {
	const maxConnections, callers = 2, 6
	var mu sync.Mutex
	active, maxActive := 0, 0
	entered, release := make(chan struct{}, callers), make(chan struct{})
	h, err := Handler(logr.Discard(), []rest.Route{{Method: http.MethodGet, Path: "/", Handler: func(http.ResponseWriter, *http.Request) {
		mu.Lock()
		active++
		maxActive = max(maxActive, active)
		mu.Unlock()
		entered <- struct{}{}
		<-release
		mu.Lock()
		active--
		mu.Unlock()
	}}}, UnmatchedHandlers{})
	assert.NilError(t, err)
	s := &Server{Name: "test", Address: netip.MustParseAddrPort("127.0.0.1:0"), Handler: h, MaxConnections: maxConnections, Log: logr.Discard()}
	assert.NilError(t, s.Listen())
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()

	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			resp, err := client.Get(fmt.Sprintf("http://%s/", s.Addr()))
			assert.Check(t, err)
			if err == nil {
				_ = resp.Body.Close()
			}
		})
	}
	// The sleep gives a server without the limit time to accept more connections.
	// If it is too short, the test may miss a fault, but does not fail wrongly.
	time.Sleep(200 * time.Millisecond)
	for range callers {
		<-entered
		release <- struct{}{}
	}
	wg.Wait()
	assert.Assert(t, maxActive <= maxConnections, "%d requests at once", maxActive)
	cancel()
	assert.NilError(t, <-done)
}
