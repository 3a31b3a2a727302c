package jwgateway

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"syscall"
	"time"

	"jujubewheel/core/jwinstance"
	"jujubewheel/core/jwversion"
	"jujubewheel/io/jwconn"
)

// maxIdleForSingleSend is how long a connection may have been idle to be used for a request that
// must not be sent twice.
const maxIdleForSingleSend = time.Second

// sendTarget sends the request to one target and passes the answer to the caller.
func (g *Gateway) sendTarget(ctx context.Context, q *request, c jwinstance.Choice) Verdict {
	x := c.Target
	run, ok := g.parts.Begin(time.Now(), partIDs(q.Prompt), x.Address, q.homes, q.trial)
	if !ok {
		g.targets.Done(time.Now(), x, c, 0)
		v, _ := g.rejectBarredPart(time.Now(), q)
		return v
	}
	q.tried[x.ID], q.sentTo, q.answer = true, x.ID, answerShape{}
	var p progress
	if q.retries.Begin(time.Now()) {
		g.metrics.countFirstSend(q.forwarded)
	}
	g.suspects.Begin(q.fingerprint, x.Address, q.homes)
	start := time.Now()
	resumes := q.goesOn()
	status := 0
	sendCtx, timer := g.withSendTimeout(ctx, q, c)
	defer timer.Stop()
	done := sync.OnceFunc(func() {
		g.targets.Done(time.Now(), x, c, p.first)
		g.offerTurn(x.Service)
	})
	q.sendTimer, q.onRead = timer, done
	verdict := func() Verdict {
		call := g.targetCall(q, c)
		call.BeforeWrite = func() error {
			p.toWrite = time.Since(start)
			if c.Cold {
				p.coldNodes = g.members.Count(time.Now(), g.Settings.Region)
			}
			if g.outlivedPause(q) || !g.endsInTime(time.Now(), q, false) || !g.targets.BeginWrite(time.Now(), x, c) {
				return errHeldBack
			}
			return nil
		}
		call.AfterWrite = func() { g.targets.Wrote(time.Now(), x) }
		a, err := g.Targets.Do(sendCtx, call)
		if err != nil {
			return g.classifySendError(ctx, q, x, err)
		}
		defer q.closeAnswer(a)
		g.recordReached(q)
		status, p.stream = a.Status, isStream(a)
		if v, ok := g.checkAnswer(q, x, a); !ok {
			return v
		}
		return g.passAnswer(q, a, func(events int) {
			now := time.Now()
			p.skipUntil(q.readResumed)
			pause := p.recordEvents(start, now)
			if pause == 0 {
				run.Begun(now)
				if p.stream {
					g.streamBegun(q, jwversion.Origin{Version: x.Version, Target: x.ID, StartedAt: x.StartedAt, BegunAt: now})
				}
				g.targets.RecordFirstEvent(x, c, q.Prompt, p.first)
				g.metrics.recordEstimate(c, p.first)
			} else {
				g.targets.RecordEvents(now, x, events, pause)
				g.metrics.eventPauses.RecordDuration(pause)
			}
			timer.Reset(maxEventPause)
		})
	}()
	done()
	q.sendTimer, q.onRead = sendTimer{}, nil
	if (verdict == failed || verdict == broken) && status != http.StatusInternalServerError && sendCtx.Err() == nil {
		g.checkCrash(ctx, x)
	}
	g.logBars(nil, run.End(time.Now(), verdict == finished && status < http.StatusMultipleChoices && q.answer.partial == 0), "")
	if g.suspects.End(q.fingerprint, x.Address, verdict == finished, time.Now()) {
		g.Log.Info("request released", "fingerprint", q.fingerprint.String(), "target", x.ID)
	}
	if verdict == finished && status < http.StatusInternalServerError {
		if resumes {
			g.targets.Resumed(x)
		} else {
			g.targets.Served(x)
		}
		if p.whole(q) {
			g.targets.RecordEnd(p.last, x, c, q.entry.GapGoal, p.last.Sub(start)-p.first, p.pause)
		}
	}
	if (verdict == broken || q.answer.givenUp) && ctx.Err() == nil {
		g.targets.Failed(x)
	}
	g.recordRuntime(ctx, q, false, start, verdict, status)
	g.logSend(q, c, verdict, status, p)
	return verdict
}

// recordReached records that a send reached a target.
func (g *Gateway) recordReached(q *request) {
	if q.retries.Reached() {
		g.metrics.retries.Inc(1)
	}
}

// progress records when the events of an answer arrived.
type progress struct {
	first time.Duration // time from the send to the first event; 0 before that
	pause time.Duration // longest pause between two events
	last  time.Time
	// stream is whether the answer is a stream of events.
	stream    bool
	toWrite   time.Duration // from the choice of the target to the writing of the request, 0 if it wasn't written
	coldNodes int           // nodes that shared the limit of a cold target then
}

// whole reports whether a finished answer is a stream from its first event to its end, so that it
// shows how long answers are.
func (p *progress) whole(q *request) bool {
	return p.stream && !p.last.IsZero() && q.retries.ReachedHere() == 1 && q.LastEvent == ""
}

// recordEvents records the arrival of events and returns the pause before them, 0 for the first ones.
func (p *progress) recordEvents(start, now time.Time) time.Duration {
	defer func() { p.last = now }()
	if p.first == 0 {
		p.first = max(now.Sub(start), 1)
		return 0
	}
	pause := max(now.Sub(p.last), 1)
	p.pause = max(p.pause, pause)
	return pause
}

// skipUntil excludes from the next pause the time in which the answer was not read because the
// caller was slow.
func (p *progress) skipUntil(resumed time.Time) {
	if p.first > 0 && resumed.After(p.last) {
		p.last = resumed
	}
}

// silence returns how long no event had arrived when an unfinished send ended; 0 for a finished
// one.
func (p *progress) silence(v Verdict, now time.Time) time.Duration {
	if v == finished || p.last.IsZero() {
		return 0
	}
	return now.Sub(p.last)
}

const (
	// minSendTimeout is the minimum wait for a target's answer before another target is tried.
	minSendTimeout = 250 * time.Millisecond
	// goalTimeoutShare is the share of the entry's latency goal that a target may use up before
	// another one is tried. The remaining time must suffice for that one.
	goalTimeoutShare = 1.0
	// expectedWaitFactor is the multiple of the expected wait that a target may take before another
	// one is tried.
	expectedWaitFactor = 4
	// maxEventPause is the longest pause between two events before a stream is assumed dead and
	// resumed at another target. Callers give up after two seconds.
	maxEventPause = 1500 * time.Millisecond
)

// errSendTimeout is the cancellation cause of a send that took too long where another target may
// answer in time.
var errSendTimeout = errors.New("the target took too long")

// errHeldBack is the reason for not writing a request to a target that was chosen.
var errHeldBack = errors.New("the node was paused or is stopping, or the target has restarted, or is cold and takes no more now")

// withSendTimeout returns the context and the timer of one send. The context ends early if the
// request may be sent to another target, so that a target that stopped responding does not use up
// the caller's time.
func (g *Gateway) withSendTimeout(ctx context.Context, q *request, c jwinstance.Choice) (context.Context, sendTimer) {
	if !g.repeatable(q) || q.body.rest != nil || q.attempts+1 >= q.entry.Attempts() {
		return ctx, sendTimer{}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	d := max(minSendTimeout, time.Duration(goalTimeoutShare*float64(q.entry.Goal)), expectedWaitFactor*c.Expected)
	expire := func() {
		// Where there can be no retry, continuing to wait is the better option.
		if now := time.Now(); g.repeatable(q) && g.endsInTime(now, q, false) && q.retries.TakeEarly(now) {
			cancel(errSendTimeout)
		}
	}
	return ctx, sendTimer{time.AfterFunc(d, expire), cancel}
}

// sendTimer is the timeout of one send. The zero value does nothing.
type sendTimer struct {
	timer  *time.Timer
	cancel context.CancelCauseFunc
}

// Reset restarts the timer.
func (s sendTimer) Reset(d time.Duration) {
	if s.timer != nil {
		s.timer.Reset(d)
	}
}

// Pause stops the timer until the next Reset.
func (s sendTimer) Pause() {
	if s.timer != nil {
		s.timer.Stop()
	}
}

// Stop stops the timer and releases the context.
func (s sendTimer) Stop() {
	if s.timer != nil {
		s.timer.Stop()
		s.cancel(nil)
	}
}

// checkAnswer checks the status and headers of an answer and updates what is known of the target.
// ok reports whether the answer may be passed to the caller; if not, v is the verdict on the send.
func (g *Gateway) checkAnswer(q *request, x *jwinstance.Target, a *jwconn.Answer) (v Verdict, ok bool) {
	reply := g.Dialect.ParseAnswerHeaders(a.Header)
	g.noteCold(x, reply)
	// An answer without a signature may come from something other than the target.
	if a.Status != http.StatusMisdirectedRequest && (reply.Signed || reply.NotRun) {
		g.noteLimit(x, reply)
		g.noteLeaving(x, reply)
		g.noteRetryAfter(x, a.Status, reply)
		g.noteLoad(x, reply)
	}
	now := time.Now()
	switch {
	case reply.NotRun || a.Status == http.StatusMisdirectedRequest:
		q.lastReason = refusedByTarget
		if a.Status == http.StatusMisdirectedRequest {
			g.targets.Replaced(now, x)
		} else {
			g.targets.Refused(now, x)
		}
		drain(a)
		return notRun, false
	case !reply.Signed || a.Header.Get("Content-Encoding") != "":
		q.attempts++
		q.lastReason = "the answer is not the target's"
		g.targets.Failed(x)
		return failed, false
	}
	q.attempts++
	if a.Status < http.StatusInternalServerError {
		return finished, true
	}
	g.targets.Failed(x)
	if q.answerStarted || !g.endsInTime(now, q, false) || !g.mayRetry(q, failed) || !q.body.retain() {
		return finished, true // the caller gets the target's error answer
	}
	drain(a)
	q.lastReason = "the target failed"
	return failed, false
}

// targetCall returns the call that sends the request to a target.
func (g *Gateway) targetCall(q *request, c jwinstance.Choice) *jwconn.Call {
	x := c.Target
	h := q.header.Clone()
	g.Dialect.SetTargetHeaders(h, TargetHeaders{
		Target: x.ID, Left: time.Until(q.deadline), Engine: q.Prompt.Tokens > 0,
		Priority: g.rank(q), LastEvent: q.lastEvent(), Workspace: q.workspace, Fetch: c.FetchFrom,
	})
	call := &jwconn.Call{
		Peer: x.Address, Method: q.method, Target: q.target, Host: q.host, Header: h,
		Body: q.body.buffered, Rest: q.body.sender(), Length: q.body.length,
		ID: q.ID, NewConn: q.ID == "", // without an ID, answers can't be told apart
		Match:    func(h http.Header) bool { return g.Dialect.ID(h) == q.ID },
		OnGiveUp: q.cutWrite,
	}
	if g.controlsOverload(q.service) {
		call.MaxWriteTime = maxTargetWriteTime
	}
	if !g.repeatable(q) {
		call.MaxUnused = maxIdleForSingleSend
	}
	return call
}

// lastEvent returns the identifier of the event after which the next target resumes the stream.
func (q *request) lastEvent() string {
	if q.lastEventID != "" {
		return q.lastEventID
	}
	return q.LastEvent
}

// classifySendError returns the verdict on a send that failed before an answer arrived, and updates
// what is known of the target.
func (g *Gateway) classifySendError(ctx context.Context, q *request, x *jwinstance.Target, err error) Verdict {
	q.lastReason = err.Error()
	var ce *jwconn.CallError
	if errors.As(err, &ce) && ce.Stage == jwconn.StageHeld {
		delete(q.tried, x.ID)
		return notRun
	}
	if errors.As(err, &ce) && ce.Stage == jwconn.StageDial {
		if ctx.Err() == nil {
			g.targets.Unreached(time.Now(), x)
			g.confirmLater(x, errors.Is(err, syscall.ECONNREFUSED))
		}
		return notRun
	}
	var rest *jwconn.BodyReadError
	if ctx.Err() == nil && !errors.As(err, &rest) {
		g.targets.Failed(x)
		g.Targets.CloseIdle(x.Address)
	}
	g.recordReached(q)
	q.attempts++
	return failed
}

// noteCold records how long the target stays cold by its reply.
func (g *Gateway) noteCold(x *jwinstance.Target, reply AnswerHeaders) {
	if reply.ColdFor > 0 {
		g.targets.SetCold(time.Now(), x, reply.ColdFor)
	}
}

// noteLimit records the limit that a target announces in its reply, or that it no longer announces
// one.
func (g *Gateway) noteLimit(x *jwinstance.Target, reply AnswerHeaders) {
	if g.targets.SetLimit(time.Now(), x, reply.Limit) {
		g.Log.Info("target limit", "target", x.ID, "named", reply.Limit.Announced, "rate", reply.Limit.Rate)
	}
}

// noteRetryAfter records for how long a target that rejected a request accepts none from this node.
func (g *Gateway) noteRetryAfter(x *jwinstance.Target, status int, reply AnswerHeaders) {
	if status == http.StatusServiceUnavailable && reply.RetryAfter > 0 {
		g.targets.SetClosed(time.Now(), x, reply.RetryAfter)
		g.Log.Info("target closed", "target", x.ID, "forMs", reply.RetryAfter.Milliseconds())
	}
}

// noteLoad records the load that a target reports in its reply.
func (g *Gateway) noteLoad(x *jwinstance.Target, reply AnswerHeaders) {
	if !g.Settings.Gateway.Overload.Enabled() {
		return
	}
	if reply.LoadMalformed {
		g.metrics.malformedLoads.Inc(1)
		return
	}
	g.targets.SetLoad(time.Now(), x, reply.Load)
}

// noteLeaving records that a target announces in its reply that it is leaving.
func (g *Gateway) noteLeaving(x *jwinstance.Target, reply AnswerHeaders) {
	if reply.Leaving && g.targets.Leave(x) {
		g.Log.Info("target leaves", "target", x.ID, "from", "its answer")
	}
}
