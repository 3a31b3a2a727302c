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

// MaxHops bounds the nodes that one request passes: where its caller came, one
// change of region, and the holder of its key.
const MaxHops = 3

// Dispatcher serves the requests of one node; its fields are set before use,
// and it may be used by many goroutines at once.
type Dispatcher struct {
	Self    jwrequest.Hop
	Board   *jwboard.Board
	Router  *jwrouter.Router
	Targets Targets
	Peers   Peers
	Claims  Claims
	// Departed reports whether the platform has given a host up; may be nil.
	Departed func(jwpeer.Peer) bool
	// Crashed is told of a target that crashed and of the fingerprints that this
	// put in quarantine; may be nil.
	Crashed func(target netip.AddrPort, quarantined []jwsuspect.Fingerprint)
	Now     func() time.Time
	Tracer  Tracer // may be nil
	Counter Counter
}

// Counter counts what happened to requests.
type Counter interface {
	// Ended counts one request that ended at this node.
	Ended(entry string, outcome jwrequest.Outcome, reason Reason)
	// Tried counts one call of a target or node.
	Tried(entry, kind string, ok bool)
	// Seen measures one served request that a caller sent to this node;
	// requests that came from another node are measured there.
	Seen(entry string, s Seen)
}

// Seen is what a caller saw of a served request.
type Seen struct {
	First    time.Duration // from the request's arrival to the first byte of the answer's body
	Whole    time.Duration // to its end
	ServedBy string        // region of the target
	Bytes    int64         // of both bodies
}

// Tracer keeps why a request went where it went; it never sees a body.
type Tracer interface {
	Step(r *jwrequest.Request, step, detail string)
	End(r *jwrequest.Request, outcome jwrequest.Outcome, reason Reason, served string)
}

// job is one request while this node works on it.
type job struct {
	*Dispatcher
	request         *jwrequest.Request
	entry           *jwcatalogue.Entry
	workspace       jwdirectory.Workspace
	forwarded       bool
	sink            *trackedSink
	prefix          uint64
	fp              jwsuspect.Fingerprint // by way of fingerprint
	tries           int
	mayHaveRun      bool // some try may have run it
	refusedByRegion bool // another region has just refused it
	query           jwrouter.Query
}

// Serve runs a request and gives its answer to the sink. When ctx ends, nobody
// wants the answer any more.
func (d *Dispatcher) Serve(ctx context.Context, r *jwrequest.Request, sink Sink) {
	j := &job{Dispatcher: d, request: r, forwarded: len(r.Hops) > 0}
	j.sink = &trackedSink{Sink: sink, job: j, startedAt: d.Now()}
	defer j.sink.recordAbandoned()
	if refusal, refused := j.prepare(); refused {
		j.sink.refuse(refusal)
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

// Check judges a request by its headers alone, before its body is read; refused
// is false when it may go on.
func (d *Dispatcher) Check(r *jwrequest.Request) (refusal Head, refused bool) {
	j := &job{Dispatcher: d, request: r, forwarded: len(r.Hops) > 0}
	refusal, refused = j.checkHeaders()
	if refused {
		j.recordEnd(refusal.Outcome, refusal.Reason, "")
	}
	return refusal, refused
}

// CheckTicket refuses a ticket for a workspace at home in another region: it is
// run by the node that mints it, and confirmations run at home. An empty
// workspace is taken for one of this region.
func (d *Dispatcher) CheckTicket(workspace string) (refusal Head, refused bool) {
	w, known := d.Board.Directory.Lookup(workspace)
	if !known || w.Region == d.Self.Region {
		return Head{}, false
	}
	h := Refusal(http.StatusMisdirectedRequest, jwrequest.NotRun, ReasonRegion, "tickets of this workspace are minted in region "+w.Region)
	h.Hosts = d.hosts(workspace, w.Region, true)
	return h, true
}

// recordEnd counts and traces the end of a request.
func (j *job) recordEnd(outcome jwrequest.Outcome, reason Reason, servedBy string) {
	entry := j.request.Entry
	if j.entry == nil {
		entry = "" // a name that isn't in the catalogue would make a counter of its own
	}
	j.Counter.Ended(entry, outcome, reason)
	if j.Tracer != nil {
		j.Tracer.End(j.request, outcome, reason, servedBy)
	}
}

// MaxBody returns how many bytes the body of a request for an entry may have,
// 0 for an unknown entry.
func (d *Dispatcher) MaxBody(entry string) int64 {
	e, _, known := d.Board.Catalogue.Current().Entry(entry)
	if !known {
		return 0
	}
	return e.MaxBodySize
}

// prepare checks the request and fills in what the node knows of it.
func (j *job) prepare() (Head, bool) {
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
	return Head{}, false
}

// checkHeaders checks everything that needs no body.
func (j *job) checkHeaders() (Head, bool) {
	refusal, refused := j.validate()
	return j.withKeyUnchecked(refusal), refused
}

// withKeyUnchecked words a refusal that comes before the key is looked up.
func (j *job) withKeyUnchecked(refusal Head) Head {
	if j.entry != nil && j.entry.Idempotent {
		return refusal
	}
	return refusal.ForKey(j.request.Key)
}

func (j *job) validate() (Head, bool) {
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

// checkLoop refuses a request that was here before or has changed region twice,
// whatever else its hop record says: nodes that hold different revisions or
// directories could each think the other's region right and send it to and fro.
func (j *job) checkLoop() (Head, bool) {
	hops := j.request.Hops
	if len(hops) == 0 {
		return Head{}, false
	}
	way := hops.With(j.Self)
	if len(hops) >= MaxHops || hops.Visited(j.Self.Node) || way.RegionChanges() > 1 || way.Returns() {
		return Refusal(http.StatusLoopDetected, jwrequest.NotRun, ReasonLoop, "the request has passed too many nodes"), true
	}
	return Head{}, false
}

// admit asks the limiter; away tells that another region is to run the request.
// The release must be called when the request ended.
func (j *job) admit(away bool) (release func(), refused jwlimit.Refusal, admitted bool) {
	now := j.Now()
	room := j.Board.Targets.Room(j.entry.Service, now)
	q := &jwlimit.Query{
		Entry:   j.entry,
		Owner:   j.workspace.Owner,
		Caller:  j.callerHash(),
		Foreign: j.forwarded,
		Bound:   j.request.Bound,
		Left:    j.request.Deadline.Sub(now),
		Work:    j.expectedWork(now),
		Away:    away,
		Room:    room,
		Now:     now,
		Random:  rand.Float64(),
	}
	token, refused, ok := j.Board.Limiter.Admit(q)
	if !ok {
		return nil, refused, false
	}
	return func() { j.Board.Limiter.Release(token) }, jwlimit.Refusal{}, true
}
