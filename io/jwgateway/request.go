package jwgateway

import (
	"context"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"jujubewheel/core/jwadmission"
	"jujubewheel/core/jwbalance"
	"jujubewheel/core/jwentry"
	"jujubewheel/core/jwinstance"
	"jujubewheel/core/jwretry"
	"jujubewheel/core/jwsuspect"
	"jujubewheel/core/jwversion"
	"jujubewheel/core/jwworkspace"
	"jujubewheel/io/jwconn"
	"jujubewheel/io/jwrest"
)

const (
	// maxConfigWait is how long after its start a node lets a request wait for the first
	// configuration: three round trips to a store in another region. Most callers retry once, and a
	// rejection at this point would use up that retry.
	maxConfigWait = 600 * time.Millisecond
	// configWaitShare is the maximum share of a request's time that it waits for the first
	// configuration.
	configWaitShare = 0.25
	// noConfigRetryAfter is the minimum Retry-After of a node without a configuration.
	noConfigRetryAfter = 500 * time.Millisecond
	// stopRetryAfter is the Retry-After of a node that is stopping. It is short because other nodes
	// serve.
	stopRetryAfter = 20 * time.Millisecond
	// defaultDeadline applies to a request without a deadline of its own.
	defaultDeadline = 30 * time.Second
)

// request is the state of one request while the node handles it.
type request struct {
	CallerHeaders
	entry   *jwentry.Entry
	version uint64 // of the configuration that the entry belongs to
	service string

	workspace string              // name of the caller's workspace, "" if the caller has none
	homes     jwworkspace.Regions // regions that may serve the request
	priority  int                 // 0 is the most urgent
	units     float64             // units taken from the workspace's quota

	method  string
	target  string // path and query as the caller sent them
	host    string
	header  http.Header
	body    body
	arrived time.Time
	epoch   *epoch // in which it came
	// waitedBefore is how long before that the caller's request came to the node that forwarded it.
	waitedBefore time.Duration
	deadline     time.Time
	forwarded    bool   // received from another node; must not be forwarded again
	sender       string // name of that node
	forward      string // that node's name of the forward, "" for none

	w               http.ResponseWriter
	answerWriter    answerWriter // w or what it wraps
	writing         atomic.Bool  // a write of a held answer to the caller is in progress
	writeCut        atomic.Bool  // it was ended to free memory
	link            *callerLink  // nil for a forwarded request
	answerStarted   bool         // the status and headers were sent to the caller
	tried           map[string]bool
	attempts        int // number of sends that a target may have run
	retries         jwretry.Tracker
	retryReason     jwretry.Reason // why it is sent, or why it is not sent again
	lastEventID     string
	fingerprint     jwsuspect.Fingerprint
	trial           bool              // it tries whether a barred part of its prompt is harmless, and is not forwarded
	caller          string            // the caller's address, "" for a forwarded request
	sentTo          string            // the target or node that the request was sent to last
	timedOut        bool              // the node that it was forwarded to last ran out of its time
	retryAfter      time.Duration     // Retry-After of the last rejection
	rejectedRegions map[string]bool   // regions whose nodes rejected the request
	turn            *turn             // while it waits for a target with room
	waitedInRoom    time.Duration     // how long it has waited for that
	behind          time.Duration     // expected wait behind others at the place chosen last
	observes        bool              // behind has not been recorded yet
	sendTimer       sendTimer         // of the current send to a target
	onRead          func()            // called once an answer was read while its caller is slow; nil for none
	readResumed     time.Time         // when reading an answer was last resumed after it had waited for the caller
	heldRequest     int64             // bytes accounted for the request except its body, 0 if they are not counted
	heldBody        int64             // bytes accounted for its body
	lastReason      string            // why the last send or choice of a target failed
	answer          answerShape       // of the last send, zero before its answer
	origin          *jwversion.Origin // of the stream, nil if it hasn't begun or isn't known
	originSource    originSource
	pinned          bool     // only targets of pinnedVersion may run it
	pinnedVersion   string   // see pinned
	without         []string // versions whose targets may not run it
	mixed           bool     // the service may have targets of other versions than those that may run it
	share           admitted
	givenRank       string          // rank given by the node that forwarded it, "" for none
	controlled      bool            // under overload control
	counted         bool            // counted as demand of the region
	drawn           bool            // it was decided by the shares whether it leaves the region
	events          int             // events of a stream passed to the caller
	forwardShare    jwbalance.Share // the share by which it is forwarded, zero if none
	shareWait       time.Duration   // expected wait for the first event there
}

// answerShape is how an answer was framed and where it ended.
type answerShape struct {
	framing   jwconn.Framing
	partial   int    // bytes after the last complete event of a stream that has ended
	bodyError string // why the request's body wasn't sent completely by then
	givenUp   bool   // the node could not hold it
	conn      jwconn.ConnUse
}

// targetNeed describes the request for the choice of a target.
func (g *Gateway) targetNeed(q *request) jwinstance.Need {
	n := jwinstance.Need{Service: q.service, Prompt: q.Prompt, Homes: q.homes, Priority: q.priority, FirstEventGoal: q.entry.Goal, Exclude: q.tried}
	n.ByPriority = g.controlsOverload(q.service)
	n.Priority, n.GapGoal = g.rank(q), q.entry.GapGoal
	n.Pinned, n.Version, n.Without = q.pinned, q.pinnedVersion, q.without
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

// hopHeaders are the hop-by-hop headers, which apply to one connection only, and the headers that
// are set for each send.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// stripHopByHop removes the hopHeaders and those that the Connection header lists.
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

// serveCaller handles a request of a caller.
func (g *Gateway) serveCaller(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	call := g.Dialect.ParseCallerHeaders(r.Header)
	q := &request{CallerHeaders: call, method: r.Method, host: r.Host, header: r.Header}
	q.answerWriter = answerWriter{ResponseWriter: w, request: r}
	w = &q.answerWriter
	q.epoch = g.epoch.Load()
	cfg := g.awaitConfig(r.Context(), call.Deadline)
	if cfg == nil {
		// The longer the configuration has been missing, the longer the store is likely to stay
		// unavailable.
		retryAfter := min(max(time.Since(g.startTime), noConfigRetryAfter), jwadmission.MaxRetryAfter)
		g.answerError(w, call.ID, http.StatusServiceUnavailable, retryAfter, "no configuration yet")
		return
	}
	if !g.pauseDetector.Valid() {
		g.answerError(w, call.ID, http.StatusServiceUnavailable, wakeRetryAfter, nodePaused)
		return
	}
	if g.rejectsNewRequests() {
		g.answerStopping(w, call.ID, stopAtArrival)
		return
	}
	e := cfg.Match(hostOf(r.Host), pathOf(r.RequestURI))
	if e == nil {
		g.rejectUnknownEntry(w, call.ID, cfg.Version)
		return
	}
	q.entry, q.version, q.target, q.arrived, q.w = e, cfg.Version, r.RequestURI, time.Now(), w
	q.service = e.Choose(hashFraction(call.ID))
	q.controlled = g.controlsOverload(q.service)
	q.retries.Budget, q.retries.Service = &g.retryBudget, q.service
	limit := defaultDeadline
	if call.Deadline > 0 {
		limit = call.Deadline
	}
	if e.Timeout > 0 {
		limit = min(limit, e.Timeout)
	}
	q.deadline = q.arrived.Add(limit)
	_ = http.NewResponseController(w).SetWriteDeadline(q.deadline.Add(deadlineMargin)) // a caller may read nothing
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
	defer g.releaseMemory(q)
	defer q.body.close()
	stripHopByHop(q.header)
	g.Dialect.Strip(q.header)
	if cfg.Workspaces != nil {
		g.Dialect.StripKey(q.header)
	}
	q.caller = callerOf(r.RemoteAddr)
	q.fingerprint = q.contentFingerprint()
	q.link = g.limitUnacknowledged(r.Context(), q)
	defer q.link.release()
	g.findOrigin(r.Context(), q)
	g.serve(r.Context(), q)
}

// hostOf returns a Host header without its port.
func hostOf(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		return h
	}
	return host
}

// pathOf returns a request's path without its query.
func pathOf(target string) string {
	path, _, _ := strings.Cut(target, "?")
	return path
}

// awaitConfig returns the configuration in force. A node that has just started waits for its first
// one, up to maxConfigWait after its start; the result is nil if there is none by then.
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

// bodyTooSlow is the reason for rejecting a request whose body did not come in its time.
const bodyTooSlow = "the body did not come in time"

// bufferBody reads the part of the body that is buffered. On failure it answers the request and
// returns false.
func (g *Gateway) bufferBody(q *request, r *http.Request) bool {
	maxSize := int64(defaultMaxBody)
	if c := g.entries.Current(); c != nil && c.MaxBody > 0 {
		maxSize = c.MaxBody
	}
	if !g.admitMemory(q, r.ContentLength) {
		return false
	}
	controller := http.NewResponseController(q.w)
	stopWaiting := func() {}
	if r.ContentLength != 0 {
		_ = controller.SetReadDeadline(q.deadline) // a caller may pause in its body
		stopWaiting = g.stopState.late.AfterFunc(func() { _ = controller.SetReadDeadline(time.Now()) })
	}
	var err error
	q.body, err = readBody(q.w, r, maxSize)
	stopWaiting()
	if err == nil {
		_ = controller.SetReadDeadline(time.Time{})
		q.answerWriter.body = &q.body
		return true
	}
	switch {
	case errors.Is(err, errBodyTooLarge):
		g.answerError(q.w, q.ID, http.StatusRequestEntityTooLarge, 0, err.Error())
	case errors.Is(err, os.ErrDeadlineExceeded) && g.rejectsNewRequests():
		q.answerWriter.broken = true
		g.logAnswer(q, "notRun", nodeStopping, http.StatusServiceUnavailable)
		g.answerStopping(q.w, q.ID, stopAtBody)
	case errors.Is(err, os.ErrDeadlineExceeded):
		q.answerWriter.broken = true
		g.logAnswer(q, "notRun", bodyTooSlow, http.StatusRequestTimeout)
		g.answerError(q.w, q.ID, http.StatusRequestTimeout, 0, bodyTooSlow)
	case errors.Is(err, jwrest.ErrNoRoom):
		q.answerWriter.broken = true
		g.metrics.callerRejections.Inc(1)
		g.logAnswer(q, "notRun", memoryFull, http.StatusServiceUnavailable)
		g.answerError(q.w, q.ID, http.StatusServiceUnavailable, memoryRetryAfter, memoryFull)
	default:
		q.answerWriter.broken = true
		g.answerError(q.w, q.ID, http.StatusBadRequest, 0, "body broke off")
	}
	g.releaseMemory(q)
	return false
}

// hashFraction hashes an identifier to a number in [0, 1).
func hashFraction(id string) float64 {
	h := fnv.New32a()
	h.Write([]byte(id))
	return float64(h.Sum32()) / (1 << 32)
}

// answerError answers a request with an error. retryAfter is the value of its Retry-After header; 0
// omits the header, for errors that a retry would not resolve.
func (g *Gateway) answerError(w http.ResponseWriter, id string, status int, retryAfter time.Duration, reason string) {
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
