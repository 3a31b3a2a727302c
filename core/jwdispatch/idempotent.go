package jwdispatch

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"jujubewheel/core/jwpeer"
	"jujubewheel/core/jwrequest"
	"jujubewheel/core/jwrouter"
	"jujubewheel/core/jwsuspect"
)

// maxTries is the maximum number of calls made for one request, including the
// first.
const maxTries = 4

// The reasons that are sent along with a forwarded request.
const (
	ForwardRegion = "region"
	ForwardHolder = "claimHolder"
	ForwardWriter = "claimWriter"
)

// defaultRetryAfter is when a caller may retry after a failure that gives no
// better estimate.
const defaultRetryAfter = time.Second

// crashRetryAfter is when the callers of requests that ran on a crashed target
// may retry. A random time of up to the same length is added to it.
const crashRetryAfter = 2 * time.Second

// serveIdempotent runs a request that may be run again after a failure.
func (j *job) serveIdempotent(ctx context.Context) {
	if j.quarantined() {
		return
	}
	j.initQuery()
	place, release, refusal, admitted := j.placeAndAdmit()
	if !admitted {
		j.sink.reject(refusal)
		return
	}
	defer func() { release() }()
	j.Board.Budget.Try(j.entry.Name)
	rl := &relay{sink: j.sink}
	for {
		j.tries++
		err := j.try(ctx, rl, place)
		if err == nil {
			return
		}
		if !j.mayRetry(ctx, err) {
			j.giveUp(ctx, err)
			return
		}
		if place.Region != j.Self.Region {
			release()
			if release, refusal, admitted = j.admitLocally(); !admitted {
				j.sink.reject(refusal)
				return
			}
		}
		j.query.Now = j.Now()
		j.query.Random = rand.Uint64()
		place = j.Router.Place(&j.query)
	}
}

// admitLocally admits in this region a request that another region did not
// serve. It has only been admitted for the other region so far; if such
// requests ran here without a check, they would lengthen the queue of a region
// that has rejected others.
func (j *job) admitLocally() (release func(), refusal AnswerHead, admitted bool) {
	j.query.RejectedLocally = false
	release, refused, admitted := j.admit(false)
	if admitted {
		return release, AnswerHead{}, true
	}
	refusal = unavailable(ReasonLimit, string(refused.Reason), refused.RetryAfter)
	if j.mayHaveRun {
		refusal.Outcome = jwrequest.Unknown
	}
	return func() {}, refusal, false
}

// placeAndAdmit chooses a region and asks for admission there. The first choice
// is the region with the lowest cost. If that is this region and it has no
// capacity, it tries another region that may have some.
func (j *job) placeAndAdmit() (place jwrouter.Placement, release func(), refusal AnswerHead, admitted bool) {
	place = j.Router.Place(&j.query)
	away := place.Region != "" && place.Region != j.Self.Region
	release, refused, admitted := j.admit(away)
	if admitted {
		return place, release, AnswerHead{}, true
	}
	if !away && refused.Reason.LacksCapacity() {
		j.query.RejectedLocally = true
		other := j.Router.Place(&j.query)
		if other.Region != "" && other.Region != j.Self.Region {
			release, _, admitted = j.admit(true)
			if admitted {
				return other, release, AnswerHead{}, true
			}
		}
	}
	return place, nil, unavailable(ReasonLimit, string(refused.Reason), refused.RetryAfter), false
}

// initQuery fills in the query for the router.
func (j *job) initQuery() {
	now := j.Now()
	j.query = jwrouter.Query{
		Entry:     j.entry,
		Home:      j.workspace.Region,
		Bound:     j.request.Bound,
		Forwarded: j.forwarded,
		Hops:      j.request.Hops[:len(j.request.Hops)-1],
		Prefix:    j.prefix,
		CallTime:  j.expectedCallTime(now),
		Deadline:  j.request.Deadline,
		Now:       now,
		Random:    rand.Uint64(),
	}
}

// expectedCallTime returns the usual duration of a call of this entry.
func (j *job) expectedCallTime(now time.Time) time.Duration {
	if known := j.Board.Targets.CallTimeOf(j.entry.Service, j.entry.Name); known > 0 {
		return known
	}
	return j.Board.Targets.Capacity(j.entry.Service, now).CallTime
}

// try makes one call and copies its answer; nil means that the request has
// ended.
func (j *job) try(ctx context.Context, rl *relay, place jwrouter.Placement) error {
	j.trace("place", string(place.Reason)+" "+place.Region)
	switch place.Region {
	case "":
		return &noPlacementError{reason: place.Reason}
	case j.Self.Region:
		return j.tryTarget(ctx, rl)
	}
	return j.tryRegion(ctx, rl, place.Region)
}

// noPlacementError reports that no region that this node can reach may run the
// request.
type noPlacementError struct{ reason jwrouter.PlaceReason }

// Error returns the reason given by the router.
func (e *noPlacementError) Error() string { return "no place: " + string(e.reason) }

// tryRegion forwards the request to a node of another region.
func (j *job) tryRegion(ctx context.Context, rl *relay, region string) error {
	peers := j.peersIn(region, j.workspace.Name)
	if len(peers) == 0 {
		return &noPlacementError{reason: jwrouter.Nowhere}
	}
	j.Board.Regions.RecordSent(region, j.entry.Service)
	to, a, err := j.forwardToFirst(ctx, peers)
	if err == nil {
		if a.Head.Outcome == jwrequest.NotRun {
			_ = a.Body.Close()
			j.rejectedByRegion = true
			err = &CallError{
				Step: "forward to region " + region, Peer: to.NodeAddress, Kind: Refused,
				RetryAfter: a.Head.RetryAfter, Err: errors.New(a.Head.Detail),
			}
		} else {
			err = rl.copy(a)
		}
	}
	j.Counter.RecordTry(j.entry.Name, "region", err == nil)
	if err != nil {
		// The next try stays in this region or is not made at all: a request
		// may change region only once, and it may have begun to run in the
		// other region.
		j.query.Forwarded = true
	}
	return err
}

// maxRegionNodes is the maximum number of nodes of another region that are
// tried one after the other.
const maxRegionNodes = 3

// forwardToFirst forwards the request to the first node that accepts it and
// skips nodes that can't be reached or did not run it.
func (j *job) forwardToFirst(ctx context.Context, peers []jwpeer.Peer) (to jwpeer.Peer, a *Answer, err error) {
	for _, to = range peers[:min(len(peers), maxRegionNodes)] {
		j.trace("forward", to.Name)
		a, err = j.Peers.Forward(ctx, to, j.request, ForwardRegion)
		if err == nil || !notRun(err) {
			break
		}
	}
	return to, a, err
}

// mayRetry reports whether the request may be tried again after err.
func (j *job) mayRetry(ctx context.Context, err error) bool {
	var failed *CallError
	if ctx.Err() != nil || !errors.As(err, &failed) {
		return false
	}
	if !failed.NotRun() {
		j.mayHaveRun = true
	}
	// A request that ran on a crashed target may have caused the crash. If it
	// were retried automatically, it could crash one target after the other.
	if state, _ := j.Board.Suspects.Check(j.fingerprint(), j.Now()); state != jwsuspect.Clear {
		return false
	}
	// A region without capacity ran nothing, so the request is tried in this
	// region. That does not count against the retry budget, which is for
	// failures.
	if j.rejectedByRegion {
		j.rejectedByRegion = false
		return true
	}
	return j.tries < maxTries && j.Board.Budget.Retry(j.entry.Name)
}

// trace passes a step of the request to the Tracer, if there is one.
func (j *job) trace(step, detail string) {
	if j.Tracer != nil {
		j.Tracer.Step(j.request, step, detail)
	}
}
