package jwgateway

import (
	"time"

	"jujubewheel/core/jwinstance"
	"jujubewheel/io/jwlog"
)

// The steps of a request in the log.
const (
	stepSend    = "send"    // to a target
	stepForward = "forward" // to a node of another region
	stepBegun   = "begun"   // a stream began; its end may never be logged if the node is killed
	stepAnswer  = "answer"  // what the caller was answered
)

// newDecision begins a line about a request.
func (q *request) newDecision(step string) jwlog.Decision {
	now := time.Now()
	d := jwlog.Decision{
		Step: step, Request: q.ID, Entry: q.entry.Name, Version: q.version, Workspace: q.workspace, Service: q.service,
		Units: q.units, Attempt: q.attempts, Left: q.deadline.Sub(now), Took: now.Sub(q.arrived),
	}
	return d
}

// outcomeRefused is the outcome of a request that the node refused at once.
const outcomeRefused = "refused"

// outcomeBegun is the outcome of stepBegun.
const outcomeBegun = "begun"

// outcomeOf returns how a request ended that a target answered.
func outcomeOf(status int) string {
	if status >= 500 {
		return "failedByTarget"
	}
	return outcomeServed
}

// logSend logs a send to a target.
func (g *Gateway) logSend(q *request, c jwinstance.Choice, v Verdict, status int, p progress) {
	g.metrics.countSend(stepSend, string(q.entry.Kind), v)
	if p.first > 0 {
		g.metrics.recordFirstEvent(placeHere, p.first)
	}
	if v == finished && !q.forwarded {
		g.metrics.countRequest(string(q.entry.Kind), outcomeOf(status), placeHere, time.Since(q.arrived))
	}
	d := q.newDecision(stepSend)
	d.Target, d.Expected, d.Cold, d.Calls = c.Target.ID, c.Expected, c.Cold, c.Calls
	d.Prompt, d.Miss, d.Ahead = q.Prompt.Tokens, c.Miss, c.Ahead
	d.First, d.Pause = p.first, p.pause
	d.Silent = p.silence(v, time.Now())
	d.ViewAge, d.Outcome, d.Status = c.Age, string(v), status
	d.Minor = v == finished && status < 500
	if !d.Minor {
		d.Reason = q.lastReason
	}
	g.Decisions.Write(&d)
}

// logBegun logs that the first event of a stream is there. Streams last for
// seconds; of one whose node is killed nothing else would be known.
func (g *Gateway) logBegun(q *request) {
	d := q.newDecision(stepBegun)
	d.Peer, d.Outcome, d.Minor = q.sentTo, outcomeBegun, true
	g.Decisions.Write(&d)
}

// logForward logs a request passed on to another node.
func (g *Gateway) logForward(q *request, peer string, v Verdict, status int, p progress) {
	g.metrics.countSend(stepForward, string(q.entry.Kind), v)
	if v == finished {
		g.metrics.countRequest(string(q.entry.Kind), outcomeOf(status), placeAway, time.Since(q.arrived))
	}
	d := q.newDecision(stepForward)
	d.Peer, d.Outcome, d.Status = peer, string(v), status
	d.First, d.Pause = p.first, p.pause
	d.Minor = v == finished && status < 500
	if !d.Minor {
		d.Reason = q.lastReason
	}
	g.Decisions.Write(&d)
}

// logAnswer logs an answer of the gateway's own, or that there is none.
func (g *Gateway) logAnswer(q *request, outcome, reason string, status int) {
	if !q.forwarded {
		g.metrics.countRequest(string(q.entry.Kind), outcome, placeNone, time.Since(q.arrived))
	}
	d := q.newDecision(stepAnswer)
	d.Outcome, d.Reason, d.Status = outcome, reason, status
	g.Decisions.Write(&d)
}
