package jwdispatch

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"time"

	"jujubewheel/core/jwboard"
	"jujubewheel/core/jwcatalogue"
	"jujubewheel/core/jwdirectory"
	"jujubewheel/core/jwlimit"
	"jujubewheel/core/jwpeer"
	"jujubewheel/core/jwrequest"
	"jujubewheel/core/jwrouter"
	"jujubewheel/core/jwsuspect"
)

// MaxHops is the maximum number of nodes that one request passes: the node that
// its caller sent it to, one in another region, and the holder of its key.
const MaxHops = 3

// Dispatcher serves the requests that reach one node. Its fields are set before
// use, and it is safe for concurrent use.
type Dispatcher struct {
	Self    jwrequest.Hop
	Board   *jwboard.Board
	Router  *jwrouter.Router
	Targets Targets
	Peers   Peers
	Claims  Claims
	// Departed reports whether the platform has given a host up; it may be
	// nil.
	Departed func(jwpeer.Peer) bool
	// OnCrash is called with a target that crashed and the fingerprints that
	// were quarantined because of it; it may be nil.
	OnCrash func(target netip.AddrPort, quarantined []jwsuspect.Fingerprint)
	Now     func() time.Time
	Tracer  Tracer // may be nil
	Counter Counter
}

// Counter counts the results of requests and calls.
type Counter interface {
	// RecordEnd counts one request that ended at this node.
	RecordEnd(entry string, outcome jwrequest.Outcome, reason Reason)
	// RecordTry counts one call of a target or another node.
	RecordTry(entry, kind string, ok bool)
	// RecordServed measures one served request that a caller sent to this node; a
	// forwarded request is measured at the node that its caller sent it to.
	RecordServed(entry string, s Latency)
}

// Latency holds what a caller observed of a served request.
type Latency struct {
	First    time.Duration // from the arrival of the request to the first byte of the answer's body
	Whole    time.Duration // from the arrival of the request to the end of the answer
	ServedBy string        // region of the target
	Bytes    int64         // total length of the request's and the answer's body
}

// Tracer records why a request was routed as it was; it does not record bodies.
type Tracer interface {
	Step(r *jwrequest.Request, step, detail string)
	End(r *jwrequest.Request, outcome jwrequest.Outcome, reason Reason, served string)
}

// job is the state of one request while this node handles it.
type job struct {
	*Dispatcher
	request          *jwrequest.Request
	entry            *jwcatalogue.Entry
	workspace        jwdirectory.Workspace
	forwarded        bool
	sink             *trackedSink
	prefix           uint64
	fp               jwsuspect.Fingerprint // cached result of the method fingerprint
	tries            int
	mayHaveRun       bool // some try may have run the request
	rejectedByRegion bool // the last try was rejected by another region
	query            jwrouter.Query
}

// Serve runs a request and writes its answer to the sink. When ctx ends, the
// caller no longer waits for the answer.
func (d *Dispatcher) Serve(ctx context.Context, r *jwrequest.Request, sink Sink) {
	j := &job{Dispatcher: d, request: r, forwarded: len(r.Hops) > 0}
	j.sink = &trackedSink{Sink: sink, job: j, startedAt: d.Now()}
	defer j.sink.recordAbandoned()
	if refusal, refused := j.prepare(); refused {
		j.sink.reject(refusal)
		return
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	if !j.entry.Idempotent {
		j.serveOnce(ctx)
		return
	}
	j.serveIdempotent(ctx)
}

// Check validates a request by its headers alone, before its body is read;
// refused is false when the request may proceed.
func (d *Dispatcher) Check(r *jwrequest.Request) (refusal AnswerHead, refused bool) {
	j := &job{Dispatcher: d, request: r, forwarded: len(r.Hops) > 0}
	refusal, refused = j.checkHeaders()
	if refused {
		j.recordEnd(refusal.Outcome, refusal.Reason, "")
	}
	return refusal, refused
}

// CheckTicket rejects a ticket for a workspace whose home is another region: a
// ticket is run by the node that minted it, and confirmations run in the home
// region. An unknown workspace, such as an empty one, is treated as one of this
// region.
func (d *Dispatcher) CheckTicket(workspace string) (refusal AnswerHead, refused bool) {
	w, known := d.Board.Directory.Lookup(workspace)
	if !known || w.Region == d.Self.Region {
		return AnswerHead{}, false
	}
	h := Refusal(http.StatusMisdirectedRequest, jwrequest.NotRun, ReasonRegion, "tickets of this workspace are minted in region "+w.Region)
	h.Hosts = d.hosts(workspace, w.Region, true)
	return h, true
}

// recordEnd counts and traces the end of a request.
func (j *job) recordEnd(outcome jwrequest.Outcome, reason Reason, servedBy string) {
	entry := j.request.Entry
	if j.entry == nil {
		entry = "" // a name that is not in the catalogue would create an additional counter
	}
	j.Counter.RecordEnd(entry, outcome, reason)
	if j.Tracer != nil {
		j.Tracer.End(j.request, outcome, reason, servedBy)
	}
}

// MaxBody returns the maximum size in bytes of the body of a request for an
// entry, 0 for an unknown entry.
func (d *Dispatcher) MaxBody(entry string) int64 {
	e, _, known := d.Board.Catalogue.Current().Entry(entry)
	if !known {
		return 0
	}
	return e.MaxBodySize
}

// prepare validates the request and fills in the fields that depend on the
// catalogue and the client directory.
func (j *job) prepare() (AnswerHead, bool) {
	if refusal, refused := j.checkHeaders(); refused {
		return refusal, true
	}
	r := j.request
	latest := j.Now().Add(j.entry.Deadline)
	if r.Deadline.IsZero() || r.Deadline.After(latest) {
		r.Deadline = latest
	}
	if size := int64(len(r.Body)); j.entry.MaxBodySize > 0 && size > j.entry.MaxBodySize {
		h := Refusal(http.StatusRequestEntityTooLarge, jwrequest.NotRun, ReasonBody, "body longer than the entry allows")
		return j.withKeyUnchecked(h), true
	}
	r.Hops = r.Hops.With(j.Self)
	j.prefix = jwrouter.PrefixOf(r.Workspace, r.Entry, r.Body)
	return AnswerHead{}, false
}

// checkHeaders checks everything that does not depend on the body.
func (j *job) checkHeaders() (AnswerHead, bool) {
	refusal, refused := j.validate()
	return j.withKeyUnchecked(refusal), refused
}

// withKeyUnchecked adapts a refusal that is made before the key is looked up.
// Only entries that are not idempotent claim keys.
func (j *job) withKeyUnchecked(refusal AnswerHead) AnswerHead {
	if j.entry != nil && j.entry.Idempotent {
		return refusal
	}
	return refusal.ForKey(j.request.Key)
}

// validate checks the entry, the workspace, the region and the key of the
// request, and its record of hops.
func (j *job) validate() (AnswerHead, bool) {
	r := j.request
	e, _, known := j.Board.Catalogue.Current().Entry(r.Entry)
	if !known {
		return Refusal(http.StatusNotFound, jwrequest.NotRun, ReasonEntry, "no such entry in the catalogue"), true
	}
	j.entry = &e
	if j.Board.Directory.Current() == nil {
		return unavailable(ReasonDirectory, "this node has no client directory yet", time.Second), true
	}
	w, known := j.Board.Directory.Lookup(r.Workspace)
	if !known {
		return Refusal(http.StatusForbidden, jwrequest.NotRun, ReasonWorkspace, "no such workspace in the client directory"), true
	}
	j.workspace = w
	r.Region = w.Region
	r.Bound = w.Bound || e.Bound
	if r.Bound && w.Region != j.Self.Region {
		h := Refusal(http.StatusMisdirectedRequest, jwrequest.NotRun, ReasonRegion, "data is bound to region "+w.Region)
		h.Hosts = j.hosts(r.Workspace, w.Region, true)
		return h, true
	}
	if !e.Idempotent && r.Key == "" {
		return Refusal(http.StatusBadRequest, jwrequest.NotRun, ReasonKey, "the entry needs an Idempotency-Key"), true
	}
	return j.checkLoop()
}

// checkLoop rejects a request that has been at this node before or has changed
// region twice, whatever else its record of hops says. Nodes with different
// catalogue revisions or client directories could each consider the other's
// region the right one and forward the request back and forth.
func (j *job) checkLoop() (AnswerHead, bool) {
	hops := j.request.Hops
	if len(hops) == 0 {
		return AnswerHead{}, false
	}
	path := hops.With(j.Self)
	if len(hops) >= MaxHops || hops.Visited(j.Self.Node) || path.RegionChanges() > 1 || path.RevisitsDataCentre() {
		return Refusal(http.StatusLoopDetected, jwrequest.NotRun, ReasonLoop, "the request has passed too many nodes"), true
	}
	return AnswerHead{}, false
}

// admit asks the limiter for admission; away means that another region is to
// run the request. The caller must call release when the request has ended.
func (j *job) admit(away bool) (release func(), refused jwlimit.Rejection, admitted bool) {
	now := j.Now()
	capacity := j.Board.Targets.Capacity(j.entry.Service, now)
	q := &jwlimit.Query{
		Entry:    j.entry,
		Owner:    j.workspace.Owner,
		Caller:   j.callerHash(),
		Foreign:  j.forwarded,
		Bound:    j.request.Bound,
		TimeLeft: j.request.Deadline.Sub(now),
		CallTime: j.expectedCallTime(now),
		Away:     away,
		Capacity: capacity,
		Now:      now,
		Random:   rand.Float64(),
	}
	token, refused, ok := j.Board.Limiter.Admit(q)
	if !ok {
		return nil, refused, false
	}
	return func() { j.Board.Limiter.Release(token) }, jwlimit.Rejection{}, true
}
