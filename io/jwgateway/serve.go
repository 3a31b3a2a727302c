package jwgateway

import (
	"context"
	"net/http"
	"time"
)

// Verdict is how one send of a request ended.
type Verdict string

// The verdicts on a send.
const (
	finished Verdict = "finished" // the caller has its final answer
	notRun   Verdict = "notRun"   // no target ran it or will
	failed   Verdict = "failed"   // a target ran it and told a failure, or may have run it
	broken   Verdict = "broken"   // a stream broke off; what came of it went to the caller
)

const (
	// mostSends bounds how often one request is sent, whatever became of it.
	mostSends = 4
	// refusedWait is the Retry-After of a refusal for want of room.
	refusedWait = 300 * time.Millisecond
)

// serve sends a request until it is answered, may not be sent again, or its
// time is over.
func (g *Gateway) serve(parent context.Context, q *request) {
	ctx, cancel := context.WithDeadline(parent, q.deadline)
	defer cancel()
	q.tried = make(map[string]bool, 2)
	verdict := notRun
	ran := false // some target may have run it
	for range mostSends {
		verdict = g.send(ctx, q)
		if verdict == finished {
			return
		}
		ran = ran || verdict != notRun
		if ctx.Err() != nil || !g.mayRepeat(q, verdict) {
			break
		}
	}
	g.giveUp(ctx, parent, q, ran)
}

// giveUp tells the caller that its request was not served.
func (g *Gateway) giveUp(ctx, parent context.Context, q *request, ran bool) {
	switch {
	case parent.Err() != nil && g.ending.Load():
		g.toldAnswer(q, "cut", "the node stopped and its grace period was over", 0)
		panic(http.ErrAbortHandler)
	case parent.Err() != nil:
		g.toldAnswer(q, "callerGone", q.refused, 0)
		panic(http.ErrAbortHandler)
	case q.started:
		// An answer that ends early must not look whole.
		g.toldAnswer(q, "cut", q.refused, 0)
		panic(http.ErrAbortHandler)
	case q.body.tooLarge():
		g.toldAnswer(q, "refused", errBodyTooLarge.Error(), http.StatusRequestEntityTooLarge)
		g.refuse(q.w, q.ID, http.StatusRequestEntityTooLarge, 0, errBodyTooLarge.Error())
	case !ran:
		g.toldAnswer(q, "notRun", q.refused, http.StatusServiceUnavailable)
		g.refuse(q.w, q.ID, http.StatusServiceUnavailable, max(q.again, refusedWait), q.refused)
	case ctx.Err() != nil:
		g.toldAnswer(q, "unknown", q.refused, http.StatusGatewayTimeout)
		g.refuse(q.w, q.ID, http.StatusGatewayTimeout, 0, "not answered in time")
	default:
		g.toldAnswer(q, "unknown", q.refused, http.StatusBadGateway)
		g.refuse(q.w, q.ID, http.StatusBadGateway, 0, q.refused)
	}
}

// mayRepeat tells whether a request may be sent once more after a verdict.
func (g *Gateway) mayRepeat(q *request, v Verdict) bool {
	if q.refused == noTarget || q.refused == tooLate || q.refused == barred || q.body.once() {
		return false
	}
	if v != notRun {
		if !q.entry.Repeatable() || q.attempts >= q.entry.Attempts() {
			return false
		}
	}
	if q.paid.Swap(false) {
		g.meters.repeats.Inc(1)
		return true
	}
	if q.sends == 0 {
		return true
	}
	if !g.retries.Take(time.Now(), q.service) {
		g.meters.noBudget.Inc(1)
		return false
	}
	g.meters.repeats.Inc(1)
	return true
}

// noTarget is why a request was refused that found no target.
const noTarget = "no target has room"

// send makes one try: here or at a node of another region.
func (g *Gateway) send(ctx context.Context, q *request) Verdict {
	now := time.Now()
	if !g.mayRun(now, q) {
		q.refused, q.again = barred, barredWait
		return notRun
	}
	p := g.place(now, q)
	if p.region == "" && len(q.tried) > 0 && q.entry.Repeatable() {
		// All that are left were tried: over a new connection one may answer.
		clear(q.tried)
		p = g.place(now, q)
	}
	if p.region == "" {
		q.refused = noTarget
		if len(g.targets.Regions(q.service)) == 0 {
			q.again = mostWait // not one is left; coming back at once is in vain
		}
		return notRun
	}
	if g.late(q, p) {
		q.refused = tooLate
		q.again = min(max(p.expected-q.entry.Goal/2, refusedWait), mostWait)
		return notRun
	}
	if p.region != g.Settings.Region {
		return g.sendNode(ctx, q, p.region, p.miss)
	}
	need := g.need(q)
	g.keepApart(now, q, &need)
	c, ok := g.targets.Best(now, need)
	if !ok {
		q.refused = noTarget
		return notRun
	}
	return g.sendTarget(ctx, q, c)
}

// tooLate is why a request was refused that would come too late.
const tooLate = "would be answered too late"

// lateShare is the part of the goal that may be waited for the first event. A
// queue longer than that makes every answer late; turning some away keeps the
// others in time.
const lateShare = 1.2

// late tells whether a request that was not sent yet is to be turned away.
func (g *Gateway) late(q *request, p place) bool {
	if q.forward || q.started || q.sends > 0 || q.entry.Goal == 0 || q.Prompt.Tokens == 0 {
		return false
	}
	return p.expected > time.Duration(lateShare*float64(q.entry.Goal))
}
