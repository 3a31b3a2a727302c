package jwlisten

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"jujubewheel/core/jwdispatch"
	"jujubewheel/core/jwrequest"
)

const (
	testMaxBody   = 16
	testWorkspace = "hall"
)

var otherHost = netip.MustParseAddrPort("10.0.0.2:8080")

// fakeDispatcher is a Dispatcher and Counter that knows only the entry "menu" and
// the workspace "hall". It records the bodies of the requests that it ran and
// the reasons of those counted as ended.
type fakeDispatcher struct {
	mu    sync.Mutex
	ran   []string
	ended []jwdispatch.Reason
}

func (d *fakeDispatcher) Check(r *jwrequest.Request) (jwdispatch.AnswerHead, bool) {
	switch {
	case r.Entry != "menu":
		return jwdispatch.Refusal(http.StatusNotFound, jwrequest.NotRun, jwdispatch.ReasonEntry, ""), true
	case r.Workspace != testWorkspace:
		return jwdispatch.Refusal(http.StatusForbidden, jwrequest.NotRun, jwdispatch.ReasonWorkspace, ""), true
	}
	return jwdispatch.AnswerHead{}, false
}

func (d *fakeDispatcher) MaxBody(string) int64 { return testMaxBody }

func (d *fakeDispatcher) Serve(_ context.Context, r *jwrequest.Request, sink jwdispatch.Sink) {
	d.mu.Lock()
	d.ran = append(d.ran, string(r.Body))
	d.mu.Unlock()
	_ = sink.Head(jwdispatch.AnswerHead{Status: http.StatusOK, Outcome: jwrequest.Served, Length: int64(len(r.Body))})
	_ = sink.Body(r.Body)
	_ = sink.End(jwdispatch.AnswerEnd{Outcome: jwrequest.Served, Length: int64(len(r.Body))})
}

func (d *fakeDispatcher) CheckTicket(string) (jwdispatch.AnswerHead, bool) {
	return jwdispatch.AnswerHead{}, false
}

func (d *fakeDispatcher) Hosts(string) []netip.AddrPort { return []netip.AddrPort{otherHost} }

func (d *fakeDispatcher) RecordEnd(_ string, _ jwrequest.Outcome, reason jwdispatch.Reason) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ended = append(d.ended, reason)
}

type gate struct{ closed bool }

func (g gate) Enter() (func(), bool) { return func() {}, !g.closed }

type tickets struct{ err error }

func (t tickets) Mint() (string, error) { return "jt1.x", t.err }

const testMaxHeader = 16 << 10

func newCallers(d *fakeDispatcher) *Callers {
	return &Callers{
		Dispatcher: d, MaxHeader: testMaxHeader, Gate: gate{}, Tickets: tickets{}, Counter: d, Log: logr.Discard(),
		Ready: func() bool { return true },
	}
}

func newHandler(t testing.TB, c *Callers) http.Handler {
	t.Helper()
	h, err := c.Handler()
	assert.NilError(t, err)
	return h
}

// decodeRefusal decodes an answer and checks that it is a refusal by the node
// itself.
func decodeRefusal(t *testing.T, resp *http.Response) refusalBody {
	t.Helper()
	assert.Equal(t, resp.Header.Get("Content-Type"), "application/json")
	var body refusalBody
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&body))
	assert.Equal(t, resp.Header.Get(headerOutcome), string(body.Outcome))
	assert.Assert(t, body.Detail != "" || body.Reason == jwdispatch.ReasonEntry || body.Reason == jwdispatch.ReasonWorkspace)
	return body
}

func TestBadRequests(t *testing.T) {
	// A caller sends a malformed or malicious request. The answer must state
	// what is wrong, and no part of the request may reach a target.
	long := strings.Repeat("a", maxKeyLength+1)
	tests := map[string]struct {
		method, path string // POST /v1/requests/menu if empty
		header       http.Header
		body         io.Reader
		status       int
		outcome      jwrequest.Outcome
		reason       jwdispatch.Reason
		counted      bool // whether it is counted here, not by the dispatcher
	}{
		"unknown path":           {path: "/v1/other", status: 404, outcome: jwrequest.NotRun, reason: reasonPath},
		"no entry":               {path: "/v1/requests/", status: 404, outcome: jwrequest.NotRun, reason: reasonPath},
		"slash in entry":         {path: "/v1/requests/me%2Fnu", status: 404, outcome: jwrequest.NotRun, reason: reasonPath},
		"request by GET":         {method: "GET", status: 405, outcome: jwrequest.NotRun, reason: reasonPath},
		"hosts by POST":          {path: "/v1/hosts", status: 405, outcome: jwrequest.NotRun, reason: reasonPath},
		"unknown method":         {method: "BREW", status: 405, outcome: jwrequest.NotRun, reason: reasonPath},
		"unknown entry":          {path: "/v1/requests/nothing", status: 404, outcome: jwrequest.NotRun, reason: jwdispatch.ReasonEntry},
		"unknown workspace":      {header: http.Header{headerWorkspace: {"nobody"}}, status: 403, outcome: jwrequest.NotRun, reason: jwdispatch.ReasonWorkspace},
		"no workspace":           {header: http.Header{headerWorkspace: nil}, status: 400, outcome: jwrequest.NotRun, reason: jwdispatch.ReasonHeader, counted: true},
		"two workspaces":         {header: http.Header{headerWorkspace: {testWorkspace, "nobody"}}, status: 400, outcome: jwrequest.NotRun, reason: jwdispatch.ReasonHeader, counted: true},
		"long workspace":         {header: http.Header{headerWorkspace: {long}}, status: 400, outcome: jwrequest.NotRun, reason: jwdispatch.ReasonHeader, counted: true},
		"non-ASCII workspace":    {header: http.Header{headerWorkspace: {"h\xc3\xa4ll"}}, status: 400, outcome: jwrequest.NotRun, reason: jwdispatch.ReasonHeader, counted: true},
		"long request id":        {header: http.Header{headerRequestID: {long}}, status: 400, outcome: jwrequest.NotRun, reason: jwdispatch.ReasonHeader, counted: true},
		"long key":               {header: http.Header{headerKey: {long}}, status: 400, outcome: jwrequest.Unknown, reason: jwdispatch.ReasonHeader, counted: true},
		"two keys":               {header: http.Header{headerKey: {"k1", "k2"}}, status: 400, outcome: jwrequest.Unknown, reason: jwdispatch.ReasonHeader, counted: true},
		"timeout without unit":   {header: http.Header{headerTimeout: {"30"}}, status: 400, outcome: jwrequest.NotRun, reason: jwdispatch.ReasonHeader, counted: true},
		"timeout of zero":        {header: http.Header{headerTimeout: {"0s"}}, status: 400, outcome: jwrequest.NotRun, reason: jwdispatch.ReasonHeader, counted: true},
		"timeout below zero":     {header: http.Header{headerTimeout: {"-1s"}}, status: 400, outcome: jwrequest.NotRun, reason: jwdispatch.ReasonHeader, counted: true},
		"timeout too large":      {header: http.Header{headerTimeout: {"99999999999h"}}, status: 400, outcome: jwrequest.NotRun, reason: jwdispatch.ReasonHeader, counted: true},
		"ticket, long workspace": {path: "/v1/tickets", header: http.Header{headerWorkspace: {long}}, status: 400, outcome: jwrequest.NotRun, reason: jwdispatch.ReasonHeader, counted: true},
		"ticket, two workspaces": {path: "/v1/tickets", header: http.Header{headerWorkspace: {testWorkspace, "nobody"}}, status: 400, outcome: jwrequest.NotRun, reason: jwdispatch.ReasonHeader, counted: true},
		"large header":           {header: http.Header{"X-Other": {strings.Repeat("x", testMaxHeader)}}, status: 431, outcome: jwrequest.NotRun, reason: jwdispatch.ReasonHeader, counted: true},
		"large header with key":  {header: http.Header{headerKey: {"k"}, "X-Other": {strings.Repeat("x", testMaxHeader)}}, status: 431, outcome: jwrequest.Unknown, reason: jwdispatch.ReasonHeader, counted: true},
		"long content type":      {header: http.Header{"Content-Type": {long}}, status: 400, outcome: jwrequest.NotRun, reason: jwdispatch.ReasonHeader, counted: true},
		"long body":              {body: strings.NewReader(long), status: 413, outcome: jwrequest.NotRun, reason: jwdispatch.ReasonBody, counted: true},
		"long body in chunks":    {body: io.MultiReader(strings.NewReader(long)), status: 413, outcome: jwrequest.NotRun, reason: jwdispatch.ReasonBody, counted: true},
		"long body with key":     {body: strings.NewReader(long), header: http.Header{headerKey: {"k"}}, status: 413, outcome: jwrequest.Unknown, reason: jwdispatch.ReasonBody, counted: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			d := &fakeDispatcher{}
			s := httptest.NewServer(newHandler(t, newCallers(d)))
			defer s.Close()
			if tc.method == "" {
				tc.method = http.MethodPost
			}
			if tc.path == "" {
				tc.path = "/v1/requests/menu"
			}
			r, err := http.NewRequestWithContext(t.Context(), tc.method, s.URL+tc.path, tc.body)
			assert.NilError(t, err)
			r.Header.Set(headerWorkspace, testWorkspace)
			for name, values := range tc.header {
				r.Header[name] = values
			}
			resp, err := http.DefaultClient.Do(r)
			assert.NilError(t, err)
			defer resp.Body.Close()
			body := decodeRefusal(t, resp)
			assert.Equal(t, resp.StatusCode, tc.status)
			assert.Equal(t, body.Outcome, tc.outcome)
			assert.Equal(t, body.Reason, tc.reason)
			assert.Equal(t, len(d.ran), 0)
			assert.Equal(t, len(d.ended) == 1, tc.counted)
		})
	}
}

// pipeListener is a listener whose connections are pipes, not sockets, so that
// their deadlines follow the fake clock of a synctest bubble.
type pipeListener struct {
	conns chan net.Conn
	ended chan struct{}
}

func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.ended:
		return nil, net.ErrClosed
	}
}

func (p *pipeListener) Close() error   { close(p.ended); return nil }
func (p *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func TestIncompleteBodies(t *testing.T) {
	// A body arrives too slowly, stops in the middle or does not match its
	// headers. A request must not run with a partial body, and the node must not
	// wait for the remainder without limit, because that would occupy memory.
	const head = "POST /v1/requests/menu HTTP/1.1\r\nHost: h\r\nJujube-Workspace: hall\r\nJujube-Request-Id: r1\r\n"
	tests := map[string]struct {
		text   string
		status int
	}{
		"slow":       {text: head + "Content-Length: 10\r\n\r\nhalf", status: http.StatusRequestTimeout},
		"bad chunks": {text: head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", status: http.StatusBadRequest},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			d := &fakeDispatcher{}
			h := newHandler(t, newCallers(d)) // made outside the bubble, because go-zero keeps a global list of servers
			synctest.Test(t, func(t *testing.T) {
				p := &pipeListener{conns: make(chan net.Conn), ended: make(chan struct{})}
				server := &http.Server{Handler: h}
				go func() { _ = server.Serve(p) }()
				defer server.Close()
				clientConn, serverConn := net.Pipe()
				defer clientConn.Close()
				p.conns <- serverConn
				go func() { _, _ = io.WriteString(clientConn, tc.text) }()
				began := time.Now()
				resp, err := http.ReadResponse(bufio.NewReader(clientConn), nil)
				assert.NilError(t, err)
				body := decodeRefusal(t, resp)
				assert.Assert(t, time.Since(began) <= bodyTimeout)
				assert.Equal(t, resp.StatusCode, tc.status)
				assert.Equal(t, body.Outcome, jwrequest.NotRun)
				assert.Equal(t, body.Reason, jwdispatch.ReasonBody)
				assert.Equal(t, resp.Header.Get(headerRequestID), "r1")
				assert.Equal(t, len(d.ran), 0)
			})
		})
	}
}

func TestUnavailableNode(t *testing.T) {
	// A node is stopping or has not started yet. Its callers must be directed to
	// other nodes, and learn that this try ran nothing.
	tests := map[string]func(c *Callers){
		"stopping":  func(c *Callers) { c.Gate = gate{closed: true} },
		"not ready": func(c *Callers) { c.Ready = func() bool { return false } },
	}
	for name, setUp := range tests {
		t.Run(name, func(t *testing.T) {
			d := &fakeDispatcher{}
			c := newCallers(d)
			setUp(c)
			c.Tickets = tickets{err: errors.New("closed")}
			for _, path := range []string{"/v1/requests/menu", "/v1/tickets"} {
				w := httptest.NewRecorder()
				r := httptest.NewRequest(http.MethodPost, path, strings.NewReader("x"))
				r.Header.Set(headerWorkspace, testWorkspace)
				newHandler(t, c).ServeHTTP(w, r)
				body := decodeRefusal(t, w.Result())
				assert.Equal(t, w.Code, http.StatusServiceUnavailable)
				assert.Equal(t, body.Outcome, jwrequest.NotRun)
				assert.Assert(t, slices.Equal(body.Hosts, []netip.AddrPort{otherHost}))
				assert.Equal(t, w.Header().Get("Retry-After"), "1")
			}
			assert.Equal(t, len(d.ran), 0)
		})
	}
}

func TestServedRequest(t *testing.T) {
	d := &fakeDispatcher{}
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodPost, "/v1/requests/menu", strings.NewReader("sixteen bytes ok"))
	r.Header.Set(headerWorkspace, testWorkspace)
	newHandler(t, newCallers(d)).ServeHTTP(w, r)
	assert.Equal(t, w.Code, http.StatusOK)
	assert.Equal(t, w.Body.String(), "sixteen bytes ok")
	assert.Equal(t, w.Header().Get(headerOutcome), "served")
	assert.Assert(t, w.Header().Get(headerRequestID) != "")
	assert.DeepEqual(t, d.ran, []string{"sixteen bytes ok"})
	assert.Equal(t, len(d.ended), 0)
}
