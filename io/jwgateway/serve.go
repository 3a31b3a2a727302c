package jwgateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"jujubewheel/core/jwadmission"
	"jujubewheel/core/jwplacement"
	"jujubewheel/core/jwretry"
	"jujubewheel/core/jwsuspect"
)

// Verdict is the result of one send of a request.
type Verdict string

// Verdicts on a send.
const (
	finished Verdict = "finished" // the caller got its final answer
	notRun   Verdict = "notRun"   // no target has run the request or will run it
	rejected Verdict = "rejected" // as notRun, and the request was not sent to any target
	failed   Verdict = "failed"   // a target ran the request and reported a failure, or may have run it
	waiting  Verdict = "waiting"  // as rejected, but it may wait until a target has room
	broken   Verdict = "broken"   // a stream ended incomplete; its complete events went to the caller
)

const (
	// maxSends limits how often one request is sent, whatever the verdicts are.
	maxSends = 4
)

// serve sends a request until it is answered, must not be sent again, or its deadline has passed.
func (g *Gateway) serve(parent context.Context, q *request) {
	ctx, cancel := context.WithDeadline(parent, q.deadline)
	defer cancel()
	defer g.stopState.over.AfterFunc(cancel)()
	q.tried, q.retryReason = make(map[string]bool, 2), jwretry.FirstSend
	verdict := notRun
	ran := false // a target may have run the request
	defer func() { g.endShare(ctx, q, verdict) }()
	defer q.retries.Close()
	for range maxSends {
		verdict = g.sendOrWait(ctx, q)
		if verdict == finished {
			g.recordLength(q)
			return
		}
		ran = ran || verdict == failed || verdict == broken
		if ctx.Err() != nil || !g.mayRetry(q, verdict) {
			break
		}
	}
	if !ran {
		g.refund(q)
	}
	g.answerUnserved(ctx, parent, q, ran)
}

// answerUnserved answers a request that was not served, or aborts its connection if an answer has
// started or the caller is gone. ran reports whether a target may have run the request.
func (g *Gateway) answerUnserved(ctx, parent context.Context, q *request, ran bool) {
	if g.graceOver.Load() {
		q.lastReason = graceEnded
		g.endForStop(q)
	}
	switch {
	case parent.Err() != nil && g.graceOver.Load():
		g.logAnswer(q, "cut", q.lastReason, 0)
		q.answerWriter.abort()
	case parent.Err() != nil:
		if cause := context.Cause(parent); errors.Is(cause, errAbandoned) {
			q.lastReason = cause.Error()
		}
		g.logAnswer(q, "callerGone", q.lastReason, 0)
		q.answerWriter.abort()
	case q.answerStarted:
		// An incomplete answer must not look complete to the caller.
		g.logAnswer(q, "cut", q.lastReason, 0)
		q.answerWriter.abort()
	case q.body.tooLarge():
		g.logAnswer(q, outcomeRefused, errBodyTooLarge.Error(), http.StatusRequestEntityTooLarge)
		g.answerError(q.w, q.ID, http.StatusRequestEntityTooLarge, 0, errBodyTooLarge.Error())
	case !ran:
		g.logAnswer(q, "notRun", q.lastReason, http.StatusServiceUnavailable)
		g.answerError(q.w, q.ID, http.StatusServiceUnavailable, q.returnAfter(time.Now()), q.lastReason)
	case ctx.Err() != nil || q.timedOut:
		g.logAnswer(q, "unknown", q.lastReason, http.StatusGatewayTimeout)
		g.answerError(q.w, q.ID, http.StatusGatewayTimeout, 0, "not answered in time")
	default:
		g.logAnswer(q, "unknown", q.lastReason, http.StatusBadGateway)
		g.answerError(q.w, q.ID, http.StatusBadGateway, 0, q.lastReason)
	}
}

// mayRetry reports whether a request may be sent again after a verdict, and takes the retry from
// the budget if it has not been taken yet.
func (g *Gateway) mayRetry(q *request, v Verdict) bool {
	q.retryReason = q.retries.Decide(time.Now(), jwretry.Request{
		Permanent: v == rejected, BodyStreamed: q.body.consumed(), NotRun: v == notRun || v == rejected, Repeatable: g.repeatable(q),
		Attempts: q.attempts, MaxAttempts: q.entry.Attempts(),
	})
	if q.retryReason == jwretry.NoBudget {
		g.metrics.retriesRejected.Inc(1)
	}
	return q.retryReason.Allowed()
}

// repeatable reports whether a request may run more than once: by the entry that applied when its caller sent it,
// and by the one that this node knows now. A node whose configuration may be outdated repeats nothing: an entry that
// it doesn't know may say that the request must run once, and the caller knows.
func (g *Gateway) repeatable(q *request) bool {
	if !q.entry.Retryable() || !g.configIsCurrent(time.Now()) {
		return false
	}
	c := g.entries.Current()
	if c == nil || c.Version == q.version {
		return true
	}
	e := c.Match(hostOf(q.host), pathOf(q.target))
	return e == nil || e.Retryable()
}

// noTarget is the reason for rejecting a request that no target can take.
const noTarget = "no target has room"

// atLimit is the reason for rejecting a request whose targets have announced a limit that is used
// up.
const atLimit = "the targets take no more for now"

// refusedByTarget and refusedByNode, with the node's name, are the reasons for a send that was refused.
const (
	refusedByTarget = "refused by the target"
	refusedByNode   = "refused by "
)

// send sends the request once, to a target of this region or to a node of another one.
func (g *Gateway) send(ctx context.Context, q *request) Verdict {
	now := time.Now()
	if g.outlivedPause(q) {
		return q.reject(nodePaused, wakeRetryAfter)
	}
	if state, left := g.suspects.Check(q.fingerprint, now); state == jwsuspect.Quarantined {
		return q.reject(quarantined, left)
	}
	if v, barred := g.rejectBarredPart(now, q); barred {
		return v
	}
	if !g.pinVersion(now, q) {
		return g.rejectUnpinned(q)
	}
	if !g.admitByShare(now, q) {
		return g.rejectForShare(q)
	}
	p := g.chooseRegion(now, q)
	if p.Reason == jwplacement.NoTarget && len(q.tried) > 0 && g.repeatable(q) {
		// All remaining targets were tried; one of them may answer on a new connection.
		clear(q.tried)
		p = g.chooseRegion(now, q)
	}
	if p.Reason == jwplacement.NoTarget {
		if g.readyInTime(now, q, g.targetNeed(q)) {
			return waiting
		}
		return g.rejectWithoutTarget(now, q)
	}
	if !g.endsInTime(now, q, p.Region != g.Settings.Region) {
		return g.rejectForStop(q)
	}
	if d := g.admit(now, q, p); !d.Accepted() {
		g.observePressure(now, q)
		return q.reject(string(d.Reason), d.RetryAfter)
	}
	if p.Region != g.Settings.Region {
		g.observePressure(now, q)
		g.leaveRoom(q, waitForwarded)
		return g.sendNode(ctx, q, p.Region, p.MissTokens)
	}
	need := g.targetNeed(q)
	g.excludeSuspectTargets(now, q, &need)
	c, ok, wait := g.bestWithRoom(now, q, need)
	if wait {
		return waiting
	}
	g.observePressure(now, q)
	if !ok {
		return g.rejectWithoutTarget(now, q)
	}
	return g.sendTarget(ctx, q, c)
}

// rejectWithoutTarget rejects a request for which no target was found.
func (g *Gateway) rejectWithoutTarget(now time.Time, q *request) Verdict {
	if len(q.without) > 0 {
		return q.reject(unstoredVersion, jwadmission.MinRetryAfter)
	}
	if len(g.targets.RegionsFor(g.targetNeed(q))) == 0 {
		return q.reject(noTarget, jwadmission.MaxRetryAfter) // no target is registered, so an early retry would be useless
	}
	if d, ok := g.targets.LimitWait(now, q.service); ok {
		return q.reject(atLimit, min(max(d, jwadmission.MinRetryAfter), jwadmission.MaxRetryAfter))
	}
	return q.reject(noTarget, jwadmission.MinRetryAfter)
}

// reject records the reason for the rejection and the wait for its Retry-After header.
func (q *request) reject(reason string, wait time.Duration) Verdict {
	q.lastReason, q.retryAfter = reason, wait
	return rejected
}
