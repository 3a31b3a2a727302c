package jwgateway

import (
	"context"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"jujubewheel/core/jwadmission"
	"jujubewheel/core/jwentry"
	"jujubewheel/core/jwinstance"
	"jujubewheel/core/jwsuspect"
	"jujubewheel/core/jwworkspace"
)

const (
	// maxConfigWait is how long after its start a node lets a request wait for the first
	// configuration: three trips to a store in another region and back. Most callers
	// retry once, and one that is rejected in that moment has used that up.
	maxConfigWait = 600 * time.Millisecond
	// configWaitShare is the part of its time that a request may wait so.
	configWaitShare = 0.25
	// noConfigRetryAfter is the Retry-After of a node that knows no configuration yet.
	noConfigRetryAfter = 500 * time.Millisecond
	// stopRetryAfter is the Retry-After of a node that is stopping: others serve.
	stopRetryAfter = 20 * time.Millisecond
	// defaultDeadline bounds a request that names none.
	defaultDeadline = 30 * time.Second
)

// request is one request on its way through the node.
type request struct {
	Call
	entry   *jwentry.Entry
	version uint64 // of the configuration that it is judged by
	service string

	workspace string              // name of the caller's, "" if it has none
	homes     jwworkspace.Regions // that may serve it
	priority  int                 // 0 is the most urgent
	units     float64             // of the workspace's quota that it took

	method    string
	target    string // path and query as the caller wrote them
	host      string
	header    http.Header
	body      body
	arrived   time.Time
	deadline  time.Time
	forwarded bool // came from another node, and is not passed on again

	w             http.ResponseWriter
	answerStarted bool // the head of an answer went to the caller
	tried         map[string]bool
	attempts      int         // sends that a target may have run
	sends         int         // sends that reached a target
	budgetTaken   atomic.Bool // the next send was taken from the retry budget already
	lastEventID   string
	fingerprint   jwsuspect.Fingerprint
	sentTo        string          // the target or node that answers
	retryAfter    time.Duration   // after a refusal
	fullRegions   map[string]bool // regions that had no room for it
	lastReason    string          // why the last send or choice did not run
}

// targetNeed describes the request to those who look for a target.
func (g *Gateway) targetNeed(q *request) jwinstance.Need {
	n := jwinstance.Need{Service: q.service, Prompt: q.Prompt, Homes: q.homes, Priority: q.priority, Goal: q.entry.Goal, Exclude: q.tried}
	c := g.entries.Current()
	if c == nil {
		return n
	}
	if s := c.Services[q.service]; s != nil && s.Engine != nil {
		n.Capacity = s.Engine.Capacity
		n.Events = q.Prompt.Output / max(s.Engine.Stride, 1)
	}
	return n
}

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

func stripHopByHop(h http.Header) {
	for _, field := range h["Connection"] {
		for _, name := range strings.Split(field, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		delete(h, name)
	}
}

// serveCaller answers callers.
func (g *Gateway) serveCaller(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	call := g.Dialect.Call(r.Header)
	cfg := g.awaitConfig(r.Context(), call.Deadline)
	if cfg == nil {
		// The longer it lasts, the longer it will: the store is away then.
		retryAfter := min(max(time.Since(g.startTime), noConfigRetryAfter), jwadmission.MaxRetryAfter)
		g.refuse(w, call.ID, http.StatusServiceUnavailable, retryAfter, "no configuration yet")
		return
	}
	if !g.pauseDetector.Alive() {
		g.refuse(w, call.ID, http.StatusServiceUnavailable, wakeRetryAfter, "the node was paused")
		return
	}
	if g.rejectsNewRequests() {
		g.refuse(w, call.ID, http.StatusServiceUnavailable, stopRetryAfter, "the node is stopping")
		return
	}
	target, path := r.RequestURI, r.RequestURI
	if i := strings.IndexByte(path, '?'); i >= 0 {
		path = path[:i]
	}
	host := r.Host
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	e := cfg.Match(host, path)
	if e == nil {
		g.refuse(w, call.ID, http.StatusNotFound, 0, "no such entry")
		return
	}
	q := &request{
		Call: call, entry: e, version: cfg.Version, method: r.Method, target: target, host: r.Host,
		header: r.Header, arrived: time.Now(), w: w,
	}
	q.service = e.Choose(hashFraction(call.ID))
	limit := defaultDeadline
	if call.Deadline > 0 {
		limit = call.Deadline
	}
	if e.Timeout > 0 {
		limit = min(limit, e.Timeout)
	}
	q.deadline = q.arrived.Add(limit)
	workspace, known := cfg.Caller(e, call.Key)
	if !g.identify(q, workspace, known) {
		return
	}
	g.demand.Count(q.homes)
	if workspace != nil && !g.charge(r.Context(), q, workspace.Quota) {
		return
	}
	if !g.bufferBody(q, r) {
		g.refund(q)
		return
	}
	defer q.body.close()
	stripHopByHop(q.header)
	g.Dialect.Strip(q.header)
	if cfg.Workspaces != nil {
		g.Dialect.StripKey(q.header)
	}
	q.fingerprint = g.fingerprintOf(q, callerOf(r.RemoteAddr))
	g.serve(r.Context(), q)
}

// awaitConfig returns the configuration in force. A node that has just started
// waits for it a moment; nil is returned if there is none then.
func (g *Gateway) awaitConfig(ctx context.Context, deadline time.Duration) *jwentry.Config {
	if c := g.entries.Current(); c != nil {
		return c
	}
	if deadline == 0 {
		deadline = defaultDeadline
	}
	wait := min(maxConfigWait-time.Since(g.startTime), time.Duration(configWaitShare*float64(deadline)))
	if wait <= 0 {
		return nil
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-g.entries.First():
	}
	return g.entries.Current()
}

// bufferBody reads what is held of the body, or answers the caller why not.
func (g *Gateway) bufferBody(q *request, r *http.Request) bool {
	maxSize := int64(defaultMaxBody)
	if c := g.entries.Current(); c != nil && c.MaxBody > 0 {
		maxSize = c.MaxBody
	}
	var err error
	q.body, err = readBody(q.w, r, maxSize)
	switch {
	case err == nil:
		return true
	case errors.Is(err, errBodyTooLarge):
		g.refuse(q.w, q.ID, http.StatusRequestEntityTooLarge, 0, err.Error())
	default:
		g.refuse(q.w, q.ID, http.StatusBadRequest, 0, "body broke off")
	}
	return false
}

// hashFraction spreads identifiers over [0, 1).
func hashFraction(id string) float64 {
	h := fnv.New32a()
	h.Write([]byte(id))
	return float64(h.Sum32()) / (1 << 32)
}

// refuse answers a request that has not run and never will, or that can't be
// answered; again is its Retry-After, 0 if retrying would not help.
func (g *Gateway) refuse(w http.ResponseWriter, id string, status int, retryAfter time.Duration, reason string) {
	h := w.Header()
	g.Dialect.Refuse(h, id)
	h["Content-Type"] = []string{"application/json"}
	if retryAfter > 0 {
		h["Retry-After"] = []string{strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64)}
	}
	if g.stopping.Load() {
		h["Connection"] = []string{"close"}
	}
	w.WriteHeader(status)
	_, _ = io.WriteString(w, `{"error":`+strconv.Quote(reason)+"}\n")
}
