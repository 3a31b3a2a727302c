package jwgateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"jujubewheel/core/jwinstance"
	"jujubewheel/io/jwconn"
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
	// freshOnce is how long a connection may have been unused for a request
	// that must not be sent twice.
	freshOnce = time.Second
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
	if parent.Err() != nil {
		panic(http.ErrAbortHandler) // the caller is gone
	}
	switch {
	case q.started:
		panic(http.ErrAbortHandler) // an answer that ends early must not look whole
	case !ran:
		g.refuse(q.w, q.ID, http.StatusServiceUnavailable, refusedWait, q.refused)
	case ctx.Err() != nil:
		g.refuse(q.w, q.ID, http.StatusGatewayTimeout, 0, "not answered in time")
	default:
		g.refuse(q.w, q.ID, http.StatusBadGateway, 0, q.refused)
	}
}

// mayRepeat tells whether a request may be sent once more after a verdict.
func (g *Gateway) mayRepeat(q *request, v Verdict) bool {
	if q.refused == noTarget {
		return false
	}
	if v != notRun {
		if !q.entry.Repeatable() || q.attempts >= q.entry.Attempts() {
			return false
		}
	}
	return q.sends == 0 || g.retries.Take(time.Now(), q.service)
}

// noTarget is why a request was refused that found no target.
const noTarget = "no target has room"

// send makes one try: here or at a node of another region.
func (g *Gateway) send(ctx context.Context, q *request) Verdict {
	now := time.Now()
	if g.staysHere(now, q) {
		c, ok := g.targets.Best(now, q.need())
		if ok {
			return g.sendTarget(ctx, q, c)
		}
		q.refused = noTarget
	}
	if q.forward {
		return notRun
	}
	return g.sendNode(ctx, q)
}

// sendTarget sends the request to one target.
func (g *Gateway) sendTarget(ctx context.Context, q *request, c jwinstance.Choice) Verdict {
	x := c.Target
	q.tried[x.ID] = true
	first := true
	defer func() { g.targets.Done(x, c, q.Prompt, !first) }()
	if q.sends == 0 {
		g.retries.Request(time.Now(), q.service)
	}
	begun := time.Now()
	a, err := g.Pool.Do(ctx, g.targetCall(q, x))
	if err != nil {
		return g.sendFailed(ctx, q, x, err)
	}
	defer a.Close()
	q.sends++
	told := g.Dialect.Answer(a.Header)
	g.heard(x, told)
	switch {
	case told.NotRun || a.Status == http.StatusMisdirectedRequest:
		q.refused = "refused by the target"
		if a.Status == http.StatusMisdirectedRequest {
			g.targets.Replaced(time.Now(), x)
		} else {
			g.targets.Refused(time.Now(), x)
		}
		drain(a)
		return notRun
	case !told.Sealed || a.Header.Get("Content-Encoding") != "":
		q.attempts++
		q.refused = "the answer is not the target's"
		g.targets.Failed(time.Now(), x)
		return failed
	}
	q.attempts++
	if a.Status >= http.StatusInternalServerError {
		g.targets.Failed(time.Now(), x)
		if q.entry.Repeatable() && q.attempts < q.entry.Attempts() && !q.started && g.retries.Take(time.Now(), q.service) {
			drain(a)
			q.refused = "the target failed"
			return g.send(ctx, q)
		}
	}
	v := g.relay(q, a, func() {
		first = false
		g.targets.Started(x, c, time.Since(begun))
	})
	if v == finished && a.Status < http.StatusInternalServerError {
		g.targets.Served(x)
	}
	if v != finished && ctx.Err() == nil {
		g.targets.Failed(time.Now(), x)
	}
	return v
}

func (g *Gateway) targetCall(q *request, x *jwinstance.Target) *jwconn.Call {
	h := q.header.Clone()
	g.Dialect.Send(h, Send{
		Target: x.ID, Left: time.Until(q.deadline), Engine: q.Prompt.Tokens > 0,
		Priority: q.entry.Priority, LastEvent: q.lastEvent(),
	})
	c := &jwconn.Call{
		Peer: x.Address, Method: q.method, Target: q.target, Host: q.host, Header: h, Body: q.body,
		Match: func(h http.Header) bool { return g.Dialect.ID(h) == q.ID },
	}
	if !q.entry.Repeatable() {
		c.Fresh = freshOnce
	}
	return c
}

// lastEvent is the event after which the next target goes on.
func (q *request) lastEvent() string {
	if q.lastID != "" {
		return q.lastID
	}
	return q.LastEvent
}

// sendFailed judges a send without an answer.
func (g *Gateway) sendFailed(ctx context.Context, q *request, x *jwinstance.Target, err error) Verdict {
	q.refused = err.Error()
	if ctx.Err() == nil {
		g.targets.Silent(time.Now(), x)
		g.Pool.Drop(x.Address)
	}
	var ce *jwconn.CallError
	if errors.As(err, &ce) && ce.Stage == jwconn.Dial {
		return notRun
	}
	q.sends++
	q.attempts++
	return failed
}

// heard keeps what a target said of itself in an answer.
func (g *Gateway) heard(x *jwinstance.Target, told Told) {
	now := time.Now()
	if told.Load.Slots > 0 {
		told.Load.At = now
		g.targets.Said(x, told.Load)
	}
	if told.Cold > 0 {
		g.targets.Cold(now, x, told.Cold)
	}
}
