package jwoperate

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/go-logr/logr"
	"github.com/zeromicro/go-zero/rest"

	"jujubewheel/core/jwcatalogue"
	"jujubewheel/core/jwexplain"
	"jujubewheel/core/jwpeer"
	"jujubewheel/core/jwtarget"
	"jujubewheel/io/jwaudit"
	"jujubewheel/io/jwrest"
)

// Table is the catalogue in force at this node.
type Table interface {
	Current() *jwcatalogue.Snapshot
	OldestChange() uint64
	Changes(after uint64, limit int) ([]jwcatalogue.Change, *jwcatalogue.Checkpoint)
}

// Editor writes edits to the catalogue's log of changes.
type Editor interface {
	Put(ctx context.Context, e jwcatalogue.Edit) (jwcatalogue.EditResult, error)
}

// Acceptance returns the nodes at which a revision is not yet in force.
type Acceptance interface {
	Status(ctx context.Context, revision uint64) (accepted bool, missing []string, err error)
}

// Explainer finds the traces of a request.
type Explainer interface {
	Find(id string) []jwexplain.Trace
}

// Peers lists the nodes that this node knows.
type Peers interface {
	Peers() []jwpeer.Peer
	LastSeen(name string) time.Time
}

// Targets lists the targets that this node uses.
type Targets interface {
	Polled() []jwtarget.Target
	State(address netip.AddrPort, now time.Time) (state jwtarget.State, known bool)
}

// Members removes permanently lost nodes from the list of nodes that must confirm
// changes.
type Members interface {
	Forget(ctx context.Context, region, name string) error
}

// Audit is the audit trail.
type Audit interface {
	Add(r jwaudit.Record)
	After(after uint64, limit int) []jwaudit.Record
}

// Operators serves the operators' interface. Set its fields before Handler.
type Operators struct {
	Token      string // bearer token; if empty, calls that need it are rejected
	Table      Table
	Editor     Editor
	Acceptance Acceptance
	Members    Members
	Explainer  Explainer
	Peers      Peers
	Targets    Targets
	Audit      Audit
	Metrics    http.Handler
	Ready      func() bool // whether the node serves callers
	Log        logr.Logger
}

// Limits of the number of records in one answer.
const (
	defaultLimit = 100
	maxLimit     = 1000
)

// Handler returns the handler of the operators' listener.
func (o *Operators) Handler() (http.Handler, error) {
	get := func(path string, h http.HandlerFunc) rest.Route {
		return rest.Route{Method: http.MethodGet, Path: path, Handler: o.authorized(h)}
	}
	return jwrest.Handler(o.Log, []rest.Route{
		get("/v1/catalogue", o.catalogue),
		get("/v1/catalogue/entries/:name", o.entry),
		{Method: http.MethodPut, Path: "/v1/catalogue/entries/:name", Handler: o.authorized(o.put)},
		{Method: http.MethodDelete, Path: "/v1/catalogue/entries/:name", Handler: o.authorized(o.remove)},
		get("/v1/catalogue/history", o.history),
		get("/v1/catalogue/status", o.status),
		{Method: http.MethodDelete, Path: "/v1/members/:region/:node", Handler: o.authorized(o.forget)},
		get("/v1/audit", o.audit),
		get("/v1/explain/requests/:id", o.explain),
		get("/v1/peers", o.peers),
		get("/v1/targets", o.targets),
		get("/metrics", o.Metrics.ServeHTTP),
		{Method: http.MethodGet, Path: "/healthz", Handler: healthy},
		{Method: http.MethodGet, Path: "/readyz", Handler: o.ready},
	}, jwrest.UnmatchedHandlers{})
}

// authorized calls next for requests with the operators' token and rejects all
// others. It compares digests, so that the time taken reveals neither the
// token's bytes nor its length.
func (o *Operators) authorized(next http.HandlerFunc) http.HandlerFunc {
	want := sha256.Sum256([]byte(o.Token))
	return func(w http.ResponseWriter, r *http.Request) {
		token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		got := sha256.Sum256([]byte(token))
		if !ok || o.Token == "" || subtle.ConstantTimeCompare(got[:], want[:]) != 1 {
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeError(w, http.StatusUnauthorized, ErrorBody{Error: "the operators' token is needed"})
			return
		}
		next(w, r)
	}
}

func (o *Operators) audit(w http.ResponseWriter, r *http.Request) {
	after, limit, ok := parsePage(w, r)
	if !ok {
		return
	}
	writeJSON(w, http.StatusOK, AuditRecords{Records: orEmpty(o.Audit.After(after, limit))})
}

func (o *Operators) explain(w http.ResponseWriter, r *http.Request) {
	found := o.Explainer.Find(jwrest.Var(r, "id"))
	if len(found) == 0 {
		writeError(w, http.StatusNotFound, ErrorBody{Error: "this node has no trace of the request: it came to another node, or too long ago; a bound one leaves a trace in its home region only"})
		return
	}
	writeJSON(w, http.StatusOK, Traces{Traces: found})
}

func (o *Operators) peers(w http.ResponseWriter, _ *http.Request) {
	list := PeerList{Peers: []Peer{}}
	for _, p := range o.Peers.Peers() {
		list.Peers = append(list.Peers, Peer{
			Name: p.Name, Region: p.Region, DataCentre: p.DataCentre, Callers: p.CallerAddress, Nodes: p.NodeAddress,
			Incarnation: p.Incarnation, State: p.State, Revision: p.Revision, Heard: o.Peers.LastSeen(p.Name),
		})
	}
	writeJSON(w, http.StatusOK, list)
}

func (o *Operators) targets(w http.ResponseWriter, _ *http.Request) {
	list := TargetList{Targets: []Target{}}
	for _, t := range o.Targets.Polled() {
		state, known := o.Targets.State(t.Address, time.Now())
		if !known {
			state = t.State
		}
		list.Targets = append(list.Targets, Target{
			Address: t.Address, Service: t.Service, Region: t.Region, DataCentre: t.DataCentre, State: state,
		})
	}
	writeJSON(w, http.StatusOK, list)
}

func healthy(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }

func (o *Operators) ready(w http.ResponseWriter, _ *http.Request) {
	if o.Ready != nil && !o.Ready() {
		writeError(w, http.StatusServiceUnavailable, ErrorBody{Error: "this node does not serve callers now"})
		return
	}
	w.WriteHeader(http.StatusOK)
}

// parsePage returns the query parameters of a list. It answers a malformed one and
// returns false.
func parsePage(w http.ResponseWriter, r *http.Request) (after uint64, limit int, ok bool) {
	after, ok = parseNumber(w, r, "after", 0)
	if !ok {
		return 0, 0, false
	}
	n, ok := parseNumber(w, r, "limit", defaultLimit)
	return after, int(min(n, maxLimit)), ok
}

// parseNumber returns a number of the query, or fallback if it is absent. It
// answers a malformed one and returns false.
func parseNumber(w http.ResponseWriter, r *http.Request, name string, fallback uint64) (uint64, bool) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return fallback, true
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, ErrorBody{Error: name + " must be a whole number"})
		return 0, false
	}
	return n, true
}

func writeError(w http.ResponseWriter, status int, r ErrorBody) { writeJSON(w, status, r) }

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// orEmpty replaces nil by an empty list, so that it is [] in JSON.
func orEmpty[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}
