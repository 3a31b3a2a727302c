package jwgateway

import (
	"net/http"
	"time"

	"jujubewheel/core/jwinstance"
	"jujubewheel/core/jwstore"
	"jujubewheel/io/jwlog"
)

// Steps of a request in the decision log.
const (
	stepSend    = "send"    // sent to a target
	stepForward = "forward" // forwarded to a node of another region
	stepBegun   = "begun"   // the first event of a stream arrived; its end is never logged if the node is killed
	stepAnswer  = "answer"  // answered by the gateway itself
	stepShed    = "shed"    // the stream of a slow caller was cut off to free memory
)

// newDecision returns a log record about the request with the fields common to all steps.
func (q *request) newDecision(step string) jwlog.Decision {
	now := time.Now()
	d := jwlog.Decision{
		Step: step, Request: q.ID, Entry: q.entry.Name, Kind: string(q.entry.Kind), Sender: q.sender, Version: q.version, Workspace: q.workspace, Service: q.service,
		Units: q.units, Attempt: q.attempts, Sends: q.retries.Sends().Reached, Left: q.deadline.Sub(now), Took: now.Sub(q.arrived),
	}
	d.LastEvent, d.FirstRequest, d.Origin, d.OriginVersion = q.LastEvent, q.FirstRequest, string(q.originSource), q.pinnedVersion
	if q.controlled {
		d.Priority = q.priority
	}
	q.addShare(&d)
	return d
}

// outcomeRefused is the outcome of a request that the node rejected without sending it.
const outcomeRefused = "refused"

// outcomeBegun is the outcome of stepBegun.
const outcomeBegun = "begun"

// outcomeOf returns the outcome of a request for the status of its target's answer.
func outcomeOf(status int) string {
	if status >= 500 {
		return "failedByTarget"
	}
	return outcomeServed
}

// logSend logs and counts a send to a target.
func (g *Gateway) logSend(q *request, c jwinstance.Choice, v Verdict, status int, p progress) {
	g.metrics.countSend(stepSend, string(q.entry.Kind), v)
	if p.first > 0 {
		g.metrics.recordFirstEvent(placeHere, p.first)
	}
	if v == finished && !q.forwarded {
		g.metrics.countRequest(string(q.entry.Kind), outcomeOf(status), placeHere, time.Since(q.arrived))
	}
	d := q.newDecision(stepSend)
	d.TargetVersion = c.Target.Version
	d.Target, d.Expected, d.Cold, d.Calls, d.ToWrite = c.Target.ID, c.Expected, c.Cold, c.Calls, p.toWrite
	if c.Cold {
		d.ColdPart = &jwlog.ColdPart{Rate: c.ColdRate, Sends: c.ColdSends, Nodes: p.coldNodes, Left: c.ColdLeft}
	}
	if c.ByPriority {
		d.Rest, d.Error, d.Load, d.LoadAge = c.Rest, c.Error, string(c.Load), c.LoadAge
	}
	d.Prompt, d.MissTokens, d.AheadTokens = q.Prompt.Tokens, c.MissTokens, c.AheadTokens
	d.First, d.Pause = p.first, p.pause
	d.Framing, d.Partial, d.BodyError = string(q.answer.framing), q.answer.partial, q.answer.bodyError
	d.Conn, d.ConnCalls = q.answer.conn.Serial, q.answer.conn.Calls
	d.Silent = p.silence(v, time.Now())
	d.ViewAge, d.Outcome, d.Status = c.Age, string(v), status
	g.addKnowledge(&d, time.Now())
	d.DropFirst = v == finished && status < 500
	if !d.DropFirst {
		d.Reason = q.lastReason
		g.addRetry(&d, q)
	}
	if v == failed || v == broken {
		d.Fingerprint, d.Caller, d.Parts = q.fingerprint.String(), q.caller, partNames(partIDs(q.Prompt))
	}
	g.Decisions.Write(&d)
}

// logStreamStart logs the first event of a stream. Streams last for seconds, and if the node is
// killed, this is the only record of them.
func (g *Gateway) logStreamStart(q *request) {
	d := q.newDecision(stepBegun)
	d.Peer, d.Outcome, d.DropFirst = q.sentTo, outcomeBegun, true
	g.Decisions.Write(&d)
}

// logForward logs and counts a request forwarded to another node.
func (g *Gateway) logForward(q *request, peer string, v Verdict, status int, p progress) {
	g.metrics.countSend(stepForward, string(q.entry.Kind), v)
	if v == finished {
		g.metrics.countRequest(string(q.entry.Kind), outcomeOf(status), placeAway, time.Since(q.arrived))
	}
	d := q.newDecision(stepForward)
	d.Peer, d.Outcome, d.Status = peer, string(v), status
	d.First, d.Pause = p.first, p.pause
	d.Framing, d.Partial, d.BodyError = string(q.answer.framing), q.answer.partial, q.answer.bodyError
	d.Conn, d.ConnCalls = q.answer.conn.Serial, q.answer.conn.Calls
	d.Region, d.PartSent, d.ShareAge, d.Expected = q.forwardShare.Region, q.forwardShare.Part, q.forwardShare.Age, q.shareWait
	d.DropFirst = v == finished && status < 500
	if !d.DropFirst {
		d.Reason = q.lastReason
		g.addRetry(&d, q)
	}
	g.Decisions.Write(&d)
}

// Reasons for rejecting a request whose host and path no entry has.
const (
	noEntry         = "no such entry"
	unverifiedEntry = "the entry is not known at this node, whose configuration may be outdated"
)

// rejectUnknownEntry answers and logs a request whose host and path no entry of a version of the
// configuration has. Callers don't send a request again after 404, so that only a node that is current
// answers so.
func (g *Gateway) rejectUnknownEntry(w http.ResponseWriter, id string, version uint64) {
	g.metrics.unknownEntries.Inc(1)
	d := jwlog.Decision{Step: stepAnswer, Request: id, Version: version, Outcome: outcomeRefused, Reason: noEntry, Status: http.StatusNotFound}
	now, retryAfter := time.Now(), time.Duration(0)
	if !g.configIsCurrent(now) {
		d.Reason, d.Status, retryAfter = unverifiedEntry, http.StatusServiceUnavailable, outdatedRetryAfter
	}
	g.addKnowledge(&d, now)
	g.Decisions.Write(&d)
	g.answerError(w, id, d.Status, retryAfter, d.Reason)
}

// addKnowledge adds to a log record how current the node's knowledge of the store is.
func (g *Gateway) addKnowledge(d *jwlog.Decision, now time.Time) {
	d.StoreAge, d.StoreRevision = g.storeReadAge(now), int64(jwstore.Number(g.store.revision.Load()))
}

// addRetry adds to a log record why the request was sent or not sent again.
func (g *Gateway) addRetry(d *jwlog.Decision, q *request) {
	s := g.retryBudget.State(time.Now(), q.service)
	d.Retry = &jwlog.Retry{Reason: string(q.retryReason), Left: s.Left, Requests: s.Requests, Retries: s.Retries, Nodes: s.Nodes}
}

// logAnswer logs and counts an answer of the gateway itself, or that the request ended without one.
func (g *Gateway) logAnswer(q *request, outcome, reason string, status int) {
	if !q.forwarded {
		g.metrics.countRequest(string(q.entry.Kind), outcome, placeNone, time.Since(q.arrived))
	}
	d := q.newDecision(stepAnswer)
	d.Outcome, d.Reason, d.Status = outcome, reason, status
	if d.Sends > 0 {
		g.addRetry(&d, q)
	}
	if reason == quarantined {
		d.Fingerprint, d.Caller = q.fingerprint.String(), q.caller
	}
	g.Decisions.Write(&d)
}
