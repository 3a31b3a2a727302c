package jwoperate

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"jujubewheel/core/jwcatalogue"
	"jujubewheel/core/jwexplain"
	"jujubewheel/core/jwpeer"
	"jujubewheel/core/jwrequest"
	"jujubewheel/core/jwstore"
	"jujubewheel/core/jwtarget"
	"jujubewheel/io/jwaudit"
	"jujubewheel/io/jwmeter"
)

const token = "0123456789abcdef"

// fakeAcceptance implements Acceptance and Members; the nodes in missing have not
// confirmed any revision.
type fakeAcceptance struct {
	missing   []string
	err       error
	forgotten string
}

func (a *fakeAcceptance) Status(context.Context, uint64) (bool, []string, error) {
	return len(a.missing) == 0, a.missing, a.err
}

func (a *fakeAcceptance) Forget(_ context.Context, region, name string) error {
	a.forgotten = region + "/" + name
	return a.err
}

// node serves the operators' interface with an empty catalogue in memory.
type node struct {
	*Operators
	t          *testing.T
	store      *jwstore.Memory
	acceptance *fakeAcceptance
	handler    http.Handler
}

func newNode(t *testing.T) *node {
	t.Helper()
	store, table := &jwstore.Memory{}, &jwcatalogue.Table{}
	n := &node{t: t, store: store, acceptance: &fakeAcceptance{}}
	n.Operators = &Operators{
		Token:      token,
		Table:      table,
		Editor:     &jwcatalogue.Editor{Store: store, Table: table, RetryDelay: time.Millisecond},
		Acceptance: n.acceptance,
		Members:    n.acceptance,
		Explainer:  &jwexplain.Tracer{Region: "irbid-a"},
		Peers:      &jwpeer.Table{},
		Targets:    &jwtarget.Table{Node: "n1", Region: "irbid-a"},
		Audit:      &jwaudit.Trail{Node: "n1"},
		Metrics:    (&jwmeter.Meter{}).Handler(),
		Log:        logr.Discard(),
	}
	var err error
	n.handler, err = n.Handler()
	assert.NilError(t, err)
	return n
}

// call makes a call with the token; header holds pairs of name and value.
func (n *node) call(method, path, body string, header ...string) *httptest.ResponseRecorder {
	n.t.Helper()
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+token)
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	n.handler.ServeHTTP(w, r)
	return w
}

func decode[T any](t *testing.T, w *httptest.ResponseRecorder) T {
	t.Helper()
	var v T
	assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &v), w.Body.String())
	return v
}

func editBody(t *testing.T, id, owner string) string {
	t.Helper()
	data, err := json.Marshal(EditBody{Author: "amal", Reason: "opening", EditID: id, Entry: &jwcatalogue.Entry{
		Name: "order-status", Owner: owner, Class: jwcatalogue.Lookup, Service: "order-desk", Path: "/status",
		Idempotent: true, Deadline: time.Second,
	}})
	assert.NilError(t, err)
	return string(data)
}

const path = "/v1/catalogue/entries/order-status"

func TestToken(t *testing.T) {
	n := newNode(t)
	tests := map[string]struct {
		path, header string
		status       int
	}{
		"right":          {"/v1/catalogue", "Bearer " + token, 200},
		"none":           {"/v1/catalogue", "", 401},
		"wrong":          {"/v1/catalogue", "Bearer " + token + "0", 401},
		"empty":          {"/v1/catalogue", "Bearer ", 401},
		"other scheme":   {"/v1/catalogue", "Basic " + token, 401},
		"metrics":        {"/metrics", "", 401},
		"health is open": {"/healthz", "", 200},
		"ready is open":  {"/readyz", "", 200},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			w := n.call("GET", tc.path, "", "Authorization", tc.header)
			assert.Equal(t, w.Code, tc.status)
		})
	}
	n.Token = ""
	h, err := n.Handler()
	assert.NilError(t, err)
	n.handler = h
	assert.Equal(t, n.call("GET", "/v1/catalogue", "", "Authorization", "Bearer ").Code, 401)
}

func TestEdit(t *testing.T) {
	n := newNode(t)
	w := n.call("PUT", path, editBody(t, "e1", "desk"), "If-None-Match", "*")
	assert.Equal(t, w.Code, 200, w.Body.String())
	assert.Equal(t, w.Header().Get("ETag"), `"1"`)
	assert.DeepEqual(t, decode[RevisionStatus](t, w), RevisionStatus{Revision: 1, Accepted: true})

	w = n.call("GET", path, "")
	assert.Equal(t, w.Header().Get("ETag"), `"1"`)
	assert.Equal(t, decode[Entry](t, w).Entry.Owner, "desk")
	assert.Equal(t, n.Audit.After(0, 1)[0].Author, "amal")
	assert.Equal(t, len(decode[Catalogue](t, n.call("GET", "/v1/catalogue", "")).Entries), 1)

	w = n.call("DELETE", path, `{"author": "amal", "reason": "closing", "editId": "e2"}`, "If-Match", `"1"`)
	assert.Equal(t, w.Code, 200, w.Body.String())
	assert.Equal(t, n.call("GET", path, "").Code, 404)

	all := decode[History](t, n.call("GET", "/v1/catalogue/history", ""))
	assert.Equal(t, len(all.Changes), 2)
	assert.Equal(t, len(decode[History](t, n.call("GET", "/v1/catalogue/history?after=1", "")).Changes), 1)
	assert.Equal(t, len(decode[History](t, n.call("GET", "/v1/catalogue/history?entry=other", "")).Changes), 0)
	assert.Equal(t, len(decode[History](t, n.call("GET", "/v1/catalogue/history?limit=1", "")).Changes), 1)
}

func TestEditConflict(t *testing.T) {
	// Two operators read the same entry and both write it. The second must get
	// the change of the first, which it would otherwise overwrite unnoticed.
	n := newNode(t)
	assert.Equal(t, n.call("PUT", path, editBody(t, "e1", "desk"), "If-None-Match", "*").Code, 200)
	assert.Equal(t, n.call("PUT", path, editBody(t, "e2", "kitchen"), "If-Match", `"1"`).Code, 200)
	w := n.call("PUT", path, editBody(t, "e3", "hall"), "If-Match", `"1"`)
	assert.Equal(t, w.Code, 412)
	assert.Equal(t, w.Header().Get("ETag"), `"2"`)
	body := decode[ErrorBody](t, w)
	assert.Equal(t, body.Winner.EditID, "e2")
	assert.Equal(t, body.Revision, uint64(2))
}

func TestEditNotYetAccepted(t *testing.T) {
	// A node is partitioned while an operator edits. The edit must not count as
	// accepted, since that node still uses the old catalogue.
	n := newNode(t)
	n.acceptance.missing = []string{"aqaba-a-n1"}
	w := n.call("PUT", path+"?wait=0s", editBody(t, "e1", "desk"), "If-None-Match", "*")
	assert.Equal(t, w.Code, 202)
	assert.DeepEqual(t, decode[RevisionStatus](t, w), RevisionStatus{Revision: 1, Missing: []string{"aqaba-a-n1"}})
	assert.Equal(t, decode[RevisionStatus](t, n.call("GET", "/v1/catalogue/status?revision=1", "")).Accepted, false)

	n.acceptance.missing = nil
	w = n.call("PUT", path, editBody(t, "e1", "desk"), "If-None-Match", "*")
	assert.Equal(t, w.Code, 200) // the same edit, sent again
	assert.Equal(t, decode[RevisionStatus](t, n.call("GET", "/v1/catalogue/status", "")).Accepted, true)
}

func TestEditRejected(t *testing.T) {
	n := newNode(t)
	valid := editBody(t, "e1", "desk")
	tests := map[string]struct {
		query, body string
		header      []string
		status      int
		want        string
	}{
		"no precondition":  {"", valid, nil, 428, "If-Match"},
		"bad precondition": {"", valid, []string{"If-Match", `"x"`}, 428, "If-Match"},
		"not JSON":         {"", "{", []string{"If-None-Match", "*"}, 422, "cannot be read"},
		"unknown key":      {"", `{"colour": 1}`, []string{"If-None-Match", "*"}, 422, "colour"},
		"no entry":         {"", `{"author": "a"}`, []string{"If-None-Match", "*"}, 422, "entry is missing"},
		"all faults": {
			"", strings.Replace(editBody(t, "", "desk"), "lookup", "none", 1),
			[]string{"If-None-Match", "*"},
			422, "class",
		},
		"too long": {"", strings.Repeat(" ", maxEditSize+1), []string{"If-None-Match", "*"}, 413, "longer"},
		"bad wait": {"?wait=soon", valid, []string{"If-None-Match", "*"}, 400, "wait"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			w := n.call("PUT", path+tc.query, tc.body, tc.header...)
			assert.Equal(t, w.Code, tc.status, w.Body.String())
			assert.Assert(t, strings.Contains(w.Body.String(), tc.want), w.Body.String())
		})
	}
	assert.Equal(t, n.Table.Current().Revision, uint64(0))
}

func TestEditWithoutStore(t *testing.T) {
	// The key-value service is down, or its replies get lost. Only in the first
	// case may the answer say that nothing was written.
	n := newNode(t)
	n.store.SetDown(true)
	w := n.call("PUT", path, editBody(t, "e1", "desk"), "If-None-Match", "*")
	assert.Equal(t, w.Code, 503)
	assert.Assert(t, strings.Contains(w.Body.String(), "not written"))
	w = httptest.NewRecorder()
	writeEditError(w, errors.Wrap(jwstore.ErrUnknown, "write"))
	assert.Equal(t, w.Code, 504)

	n.acceptance.err = jwstore.ErrUnavailable
	assert.Equal(t, n.call("GET", "/v1/catalogue/status", "").Code, 503)
}

func TestForget(t *testing.T) {
	// The last node of a region is permanently gone, and every change waits for
	// it. An operator removes it, and the audit trail records who did.
	n := newNode(t)
	const member = "/v1/members/aqaba-a/aqaba-a-n1"
	assert.Equal(t, n.call("DELETE", member, `{"author": "amal"}`).Code, 422)
	assert.Equal(t, n.acceptance.forgotten, "")
	assert.Equal(t, n.call("DELETE", member, `{"author": "amal", "reason": "burnt"}`).Code, 200)
	assert.Equal(t, n.acceptance.forgotten, "aqaba-a/aqaba-a-n1")
	record := n.Audit.After(0, 1)[0]
	assert.Equal(t, record.Kind, jwaudit.Forgotten)
	assert.Equal(t, record.Author, "amal")
	for status, err := range map[int]error{503: jwstore.ErrUnavailable, 504: jwstore.ErrUnknown} {
		n.acceptance.err = err
		assert.Equal(t, n.call("DELETE", member, `{"author": "amal", "reason": "burnt"}`).Code, status)
	}
}

func TestReads(t *testing.T) {
	n := newNode(t)
	peers := n.Peers.(*jwpeer.Table)
	peers.SetSelf(jwpeer.Peer{Name: "n1", Region: "irbid-a", State: jwpeer.Serving}, time.Now())
	target := netip.MustParseAddrPort("127.0.0.1:9000")
	n.Targets.(*jwtarget.Table).Set([]jwtarget.Target{
		{Address: target, Service: "order-desk", Region: "irbid-a", State: jwtarget.Live},
	}, time.Now())
	n.Audit.(*jwaudit.Trail).Add(jwaudit.Record{Kind: jwaudit.NodeState, Subject: "n1", To: "serving"})
	n.Explainer.(*jwexplain.Tracer).End(&jwrequest.Request{ID: "r1"}, jwrequest.Served, "", "irbid-a")

	assert.Equal(t, decode[PeerList](t, n.call("GET", "/v1/peers", "")).Peers[0].State, jwpeer.Serving)
	assert.Equal(t, decode[TargetList](t, n.call("GET", "/v1/targets", "")).Targets[0].Address, target)
	assert.Equal(t, decode[AuditRecords](t, n.call("GET", "/v1/audit", "")).Records[0].To, "serving")
	assert.Equal(t, n.call("GET", "/v1/audit?after=1", "").Body.String(), `{"records":[]}`+"\n")
	assert.Equal(t, decode[Traces](t, n.call("GET", "/v1/explain/requests/r1", "")).Traces[0].ServedBy, "irbid-a")
	assert.Equal(t, n.call("GET", "/v1/explain/requests/r2", "").Code, 404)
	assert.Equal(t, n.call("GET", "/v1/audit?after=x", "").Code, 400)
	assert.Equal(t, n.call("GET", "/v1/catalogue/status?revision=9", "").Code, 404)
	assert.Assert(t, strings.Contains(n.call("GET", "/metrics", "").Body.String(), "go_goroutines"))
	n.Ready = func() bool { return false }
	assert.Equal(t, n.call("GET", "/readyz", "").Code, 503)
}
