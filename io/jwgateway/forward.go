package jwgateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"jujubewheel/core/jwadmission"
	"jujubewheel/core/jwentry"
	"jujubewheel/core/jwinstance"
	"jujubewheel/core/jwmember"
	"jujubewheel/core/jwplacement"
	"jujubewheel/core/jwretry"
	"jujubewheel/core/jwsuspect"
	"jujubewheel/core/jwversion"
	"jujubewheel/io/jwconn"
	"jujubewheel/io/jwquotaexchange"
)

// Headers of a request that one node forwards to another.
const (
	headerService     = "Jujube-Service"
	headerKind        = "Jujube-Kind" // kind, resumable, attempts left, priority, goal in milliseconds, homes
	headerOutcome     = "Jujube-Outcome"
	headerSender      = "Jujube-Caller"  // name of the node that forwards the request
	headerForward     = "Jujube-Forward" // name of the forward of a stream that may be taken up, no other has it
	headerFingerprint = "Jujube-Mark"    // fingerprint of the request, see jwsuspect
	headerWorkspace   = "Jujube-Workspace"
	headerGapGoal     = "Jujube-Gap-Goal" // in milliseconds; absent without overload control
	headerRank        = "Jujube-Rank"     // see Gateway.rank; absent without overload control
	headerSends       = "Jujube-Sends"    // jwretry.Sends, of the request and of its answer
	headerOrigin      = "Jujube-Origin"   // jwversion.Origin, of a stream that goes on and of the answer to one that begins
	headerWaited      = "Jujube-Waited"   // time since the caller's request came, in milliseconds; absent without overload control
)

// chooseRegion chooses the region that serves a request.
func (g *Gateway) chooseRegion(now time.Time, q *request) jwplacement.Choice {
	n := g.targetNeed(q)
	var here *jwplacement.Option
	if q.forwarded || q.homes.Allows(g.Settings.Region) {
		if c, ok := g.targets.Peek(now, n); ok {
			wait := g.roomWait(q)
			here = &jwplacement.Option{
				Region: g.Settings.Region, Known: true, Expected: c.Expected + wait, Queue: c.Queue + wait, OwnReadTime: c.OwnReadTime, LaterCost: c.Cost - c.Expected, Rest: c.Rest, MissTokens: c.MissTokens,
			}
		}
	}
	if q.trial {
		return g.Placement.Choose(here, nil)
	}
	if c, ok := g.balancedRegion(now, q, n, here); ok {
		return c
	}
	var others []jwplacement.Option
	if !q.forwarded {
		for _, region := range g.otherRegions(q, n) {
			if !q.rejectedRegions[region] && g.anyUntried(q, g.members.Live(now, region)) {
				others = append(others, g.regionOption(now, region, n))
			}
		}
	}
	return g.Placement.Choose(here, others)
}

// regionOption estimates what Peek would return at a node of another region, plus the round trip to
// that region.
func (g *Gateway) regionOption(now time.Time, region string, n jwinstance.Need) jwplacement.Option {
	w, known := g.regions.waitFor(now, region, n.Service)
	o := jwplacement.Option{Region: region, Known: known, Expected: g.regions.roundTrip(region) + w.wait}
	if n.Prompt.Tokens > 0 {
		miss, targets := g.targets.MissIn(now, region, n)
		o.MissTokens = miss
		// The other nodes of this region see the same state and send prompts there too.
		unreported := g.regions.unreportedTokens(region, n.Service) * max(len(g.members.Live(now, g.Settings.Region)), 1)
		o.OwnReadTime = g.targets.ReadTime(n.Service, 0, miss)
		o.Expected += g.targets.ReadTime(n.Service, unreported/max(targets, 1), miss)
		o.Queue = g.targets.Queue(n.Service, w.wait) + g.targets.ReadTime(n.Service, unreported/max(targets, 1), 0)
	}
	o.Rest = g.targets.Rest(now, n, w.eventGap)
	o.LaterCost = time.Duration(jwinstance.LaterEventWeight * float64(n.Events) * float64(w.eventGap))
	return o
}

// otherRegions returns the other regions that may serve the request and have usable targets.
func (g *Gateway) otherRegions(q *request, n jwinstance.Need) []string {
	var list []string
	for region, slots := range g.targets.RegionsFor(n) {
		if region != g.Settings.Region && slots > 0 && q.homes.Allows(region) {
			list = append(list, region)
		}
	}
	slices.Sort(list)
	return list
}

// sendNode forwards the request to a node of another region.
func (g *Gateway) sendNode(ctx context.Context, q *request, region string, miss int) Verdict {
	now := time.Now()
	nodes := g.untried(q, g.members.Live(now, region))
	if len(nodes) == 0 {
		return q.reject(noTarget, jwadmission.MinRetryAfter)
	}
	g.regions.recordSend(now, region, q.service, miss)
	if g.controlsOverload(q.service) {
		return g.forward(ctx, q, g.chooseByCapacity(nodes, hashFraction(q.ID)))
	}
	return g.forward(ctx, q, g.chooseNode(nodes, hashFraction(q.ID)))
}

// chooseNode returns the node of another region to forward a request to. It prefers nodes with an
// open connection. fraction, in [0, 1), spreads the requests over the nodes.
func (g *Gateway) chooseNode(nodes []jwmember.Member, fraction float64) jwmember.Member {
	return jwplacement.PickNode(nodes, func(m jwmember.Member) bool { return g.Nodes.IdleCount(m.Nodes) > 0 }, fraction)
}

// anyUntried reports whether the request has not been sent to at least one of the nodes.
func (g *Gateway) anyUntried(q *request, nodes []jwmember.Member) bool {
	return slices.ContainsFunc(nodes, func(m jwmember.Member) bool { return !q.tried[m.Name] })
}

// untried returns the nodes that the request has not been sent to.
func (g *Gateway) untried(q *request, nodes []jwmember.Member) []jwmember.Member {
	var list []jwmember.Member
	for _, m := range nodes {
		if !q.tried[m.Name] {
			list = append(list, m)
		}
	}
	return list
}

// forward sends the request to a node of another region and passes its answer to the caller.
func (g *Gateway) forward(ctx context.Context, q *request, m jwmember.Member) Verdict {
	q.tried[m.Name], q.sentTo, q.answer, q.timedOut = true, m.Name, answerShape{}, false
	name := strconv.FormatUint(rand.Uint64(), 36)
	defer g.forwards.begin(m.Name, q.ID, name)()
	h := q.header.Clone()
	delete(h, headerForward)
	if q.mayBeTakenUp() {
		h[headerForward] = []string{name}
	}
	h[headerService] = []string{q.service}
	h[headerKind] = []string{q.kind()}
	h[headerSender] = []string{g.Settings.Node}
	h[headerFingerprint] = []string{q.fingerprint.String()}
	h[headerSends] = []string{q.retries.Sends().String()}
	delete(h, headerWorkspace)
	delete(h, headerOrigin)
	if q.pinned {
		h[headerOrigin] = []string{jwversion.Origin{Version: q.pinnedVersion}.String()}
	}
	g.setGapGoal(h, q)
	g.setRank(h, q)
	g.setWaited(h, q)
	if q.workspace != "" {
		h[headerWorkspace] = []string{q.workspace}
	}
	g.Dialect.SetTimeLeft(h, time.Until(q.deadline))
	if id := q.lastEvent(); id != "" {
		h["Last-Event-Id"] = []string{id}
	}
	call := &jwconn.Call{
		Peer: m.Nodes, Method: q.method, Target: q.target, Host: q.host, Header: h,
		Body: q.body.buffered, Rest: q.body.sender(), Length: q.body.length,
		ID: q.ID, NewConn: q.ID == "", // without an ID, answers can't be told apart
		Match:    func(h http.Header) bool { return g.Dialect.ID(h) == q.ID },
		OnGiveUp: q.cutWrite,
		BeforeWrite: func() error {
			if g.outlivedPause(q) || !g.endsInTime(time.Now(), q, true) {
				return errHeldBack
			}
			return nil
		},
	}
	status := 0
	start := time.Now()
	var p progress
	ended := false // the other node has no more to do for it
	verdict := func() Verdict {
		a, err := g.Nodes.Do(ctx, call)
		if err != nil {
			ended = !wasSent(err)
			return g.classifyForwardError(ctx, q, m, err)
		}
		defer func() {
			q.closeAnswer(a)
			ended = a.Complete()
		}()
		status = a.Status
		return g.passForwardedAnswer(q, m, a, func(int) {
			if p.recordEvents(start, time.Now()) == 0 {
				g.metrics.recordFirstEvent(placeAway, time.Since(q.arrived))
			}
		})
	}()
	g.recordRuntime(ctx, q, true, start, verdict, status)
	if !ended && q.mayBeTakenUp() {
		g.abandonedForwards.add(g, m, name)
	}
	g.logForward(q, m.Name, verdict, status, p)
	return verdict
}

// wasSent reports whether the peer of a failed call may act on it.
func wasSent(err error) bool {
	var ce *jwconn.CallError
	return !errors.As(err, &ce) || ce.Stage != jwconn.StageDial && ce.Stage != jwconn.StageHeld
}

// kind returns the header with the properties of the entry, see parseKind.
func (q *request) kind() string {
	e := q.entry
	return strings.Join([]string{
		string(e.Kind), strconv.FormatBool(e.Resumable), strconv.Itoa(q.attemptsLeft()),
		strconv.Itoa(q.priority), strconv.FormatInt(e.Goal.Milliseconds(), 10), strings.Join(q.homes, "|"),
	}, ",")
}

// attemptsLeft returns to how many targets the request may still be sent, at least one.
func (q *request) attemptsLeft() int { return max(q.entry.Attempts()-q.attempts, 1) }

// passForwardedAnswer passes the answer of another node to the caller if it is a target's, and
// returns the verdict on the send.
func (g *Gateway) passForwardedAnswer(q *request, m jwmember.Member, a *jwconn.Answer, onEvents func(int)) Verdict {
	outcome := a.Header.Get(headerOutcome)
	sends, reported := jwretry.ParseSends(a.Header.Get(headerSends))
	if reported {
		q.retries.Merge(sends)
	} else {
		q.retries.Lost()
	}
	delete(a.Header, headerOutcome)
	delete(a.Header, headerSends)
	origin, originErr := jwversion.ParseOrigin(a.Header.Get(headerOrigin))
	delete(a.Header, headerOrigin)
	switch outcome {
	case outcomeNotRun:
		q.lastReason = refusedByNode + m.Name
		if q.rejectedRegions == nil {
			q.rejectedRegions = make(map[string]bool)
		}
		q.rejectedRegions[m.Region] = true
		drain(a)
		return notRun
	case outcomeServed:
		q.attempts += max(sends.MayHaveRun, 1)
		return g.passAnswer(q, a, func(events int) {
			if originErr == nil && isStream(a) {
				origin.BegunAt = time.Now()
				g.streamBegun(q, origin)
			}
			onEvents(events)
		})
	}
	q.lastReason, q.timedOut = "unknown at "+m.Name, a.Status == http.StatusGatewayTimeout
	q.attempts += max(sends.MayHaveRun, 1)
	drain(a)
	return failed
}

// classifyForwardError returns the verdict on a forward that failed before an answer arrived.
func (g *Gateway) classifyForwardError(ctx context.Context, q *request, m jwmember.Member, err error) Verdict {
	q.lastReason = err.Error()
	var ce *jwconn.CallError
	if errors.As(err, &ce) && ce.Stage == jwconn.StageHeld {
		return notRun
	}
	var rest *jwconn.BodyReadError
	if ctx.Err() == nil && !errors.As(err, &rest) {
		g.members.MarkUnreachable(time.Now(), m.Name)
		g.Nodes.CloseIdle(m.Nodes)
	}
	if ce != nil && ce.Stage == jwconn.StageDial {
		return notRun
	}
	q.retries.Lost()
	q.attempts += q.attemptsLeft() // the other node may have used all that it was given
	return failed
}

// Outcomes of a forwarded request that a node reports to the forwarding one in headerOutcome.
const (
	outcomeServed = "served" // the answer is a target's
	outcomeNotRun = "notRun" // no target has run the request or will run it
)

// serveForward handles a request that another node forwarded.
func (g *Gateway) serveForward(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	q := &request{
		CallerHeaders: g.Dialect.ParseCallerHeaders(r.Header), method: r.Method, target: r.RequestURI, host: r.Host,
		header: r.Header, arrived: time.Now(), epoch: g.epoch.Load(), forwarded: true, sender: r.Header.Get(headerSender), forward: r.Header.Get(headerForward), service: r.Header.Get(headerService),
	}
	q.retries.Budget, q.retries.Service = &g.retryBudget, q.service
	if sends, ok := jwretry.ParseSends(r.Header.Get(headerSends)); ok {
		q.retries.Receive(sends)
	}
	q.answerWriter = answerWriter{ResponseWriter: w, request: r}
	q.w = &outcomeWriter{ResponseWriter: &q.answerWriter, sends: q.reportSends, origin: func() *jwversion.Origin { return q.origin }, signed: func(h http.Header) bool { return g.Dialect.ParseAnswerHeaders(h).Signed }}
	q.entry = parseKind(r.Header.Get(headerKind))
	q.entry.GapGoal = time.Duration(max(parseCount(r.Header.Get(headerGapGoal)), 0)) * time.Millisecond
	q.waitedBefore = time.Duration(max(parseCount(r.Header.Get(headerWaited)), 0)) * time.Millisecond
	q.homes, q.priority, q.workspace = q.entry.Homes, q.entry.Priority, r.Header.Get(headerWorkspace)
	q.givenRank, q.controlled = r.Header.Get(headerRank), g.controlsOverload(q.service)
	if fingerprint, err := jwsuspect.ParseFingerprint(r.Header.Get(headerFingerprint)); err == nil {
		q.fingerprint = fingerprint
	}
	if origin, err := jwversion.ParseOrigin(r.Header.Get(headerOrigin)); err == nil {
		q.origin = &origin
	}
	for _, name := range []string{headerService, headerKind, headerSender, headerForward, headerFingerprint, headerWorkspace, headerGapGoal, headerRank, headerSends, headerWaited, headerOrigin} {
		delete(q.header, name)
	}
	q.deadline = q.arrived.Add(max(q.Deadline, time.Millisecond))
	g.senders.Alive(q.arrived, q.sender)
	if !g.pauseDetector.Valid() {
		g.answerError(q.w, q.ID, http.StatusServiceUnavailable, wakeRetryAfter, nodePaused)
		return
	}
	if g.rejectsNewRequests() {
		g.answerStopping(q.w, q.ID, stopAtArrival)
		return
	}
	if !g.bufferBody(q, r) {
		return
	}
	defer g.releaseMemory(q)
	defer q.body.close()
	stripHopByHop(q.header)
	ctx, done := g.watchSender(r.Context(), q)
	defer done()
	g.serve(ctx, q)
}

// reportSends returns what the node that forwarded the request learns from the answer.
func (q *request) reportSends() jwretry.Sends {
	s := q.retries.Sends()
	s.MayHaveRun = q.attempts
	return s
}

// parseKind parses the header with the properties of the entry. The entry itself may not be known
// to this node yet, or no longer. A malformed header gives the strictest kind: one attempt and no
// retry.
func parseKind(s string) *jwentry.Entry {
	f := strings.Split(s, ",")
	e := &jwentry.Entry{Kind: jwentry.NonIdempotent, MaxAttempts: 1}
	const fields = 6
	if len(f) != fields {
		return e
	}
	e.Kind = jwentry.Kind(f[0])
	e.Resumable = f[1] == "true"
	e.MaxAttempts = parseCount(f[2])
	e.Priority = parseCount(f[3])
	e.Goal = time.Duration(parseCount(f[4])) * time.Millisecond
	if f[5] != "" {
		e.Homes = strings.Split(f[5], "|")
	}
	return e
}

func parseCount(s string) int {
	n, err := strconv.Atoi(s)
	if err != nil {
		return 0
	}
	return n
}

// outcomeWriter adds the outcome, the sends and the origin of the request to the headers of its answer.
type outcomeWriter struct {
	http.ResponseWriter
	sends  func() jwretry.Sends
	origin func() *jwversion.Origin
	signed func(http.Header) bool
}

// WriteHeader implements http.ResponseWriter.
func (o *outcomeWriter) WriteHeader(status int) {
	h := o.Header()
	switch {
	case o.signed(h):
		h[headerOutcome] = []string{outcomeServed}
	case status == http.StatusServiceUnavailable || status == http.StatusRequestTimeout:
		h[headerOutcome] = []string{outcomeNotRun}
	}
	h[headerSends] = []string{o.sends().String()}
	if origin := o.origin(); origin != nil {
		h[headerOrigin] = []string{origin.String()}
	}
	o.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the underlying writer for http.ResponseController.
func (o *outcomeWriter) Unwrap() http.ResponseWriter { return o.ResponseWriter }

// Flush implements http.Flusher.
func (o *outcomeWriter) Flush() {
	if f, ok := o.ResponseWriter.(http.Flusher); ok {
		f.Flush()
	}
}

// serveNode handles the requests of other nodes.
func (g *Gateway) serveNode(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Header.Get(headerService) != "":
		g.serveForward(w, r)
	case r.URL.Path == jwquotaexchange.Path:
		g.quotaExchange.ServeHTTP(w, r)
	case r.URL.Path == regionLoadsPath:
		g.serveRegionLoads(w, r)
	case r.URL.Path == statePath:
		g.serveState(w, r)
	case r.URL.Path == changesPath:
		g.serveChanges(w, r)
	case r.URL.Path == originsPath:
		g.serveOrigins(w, r)
	case r.URL.Path == forwardsPath:
		g.serveForwardQuestion(w, r)
	case r.URL.Path == abandonedPath:
		g.serveAbandoned(w, r)
	case r.URL.Path == originPath:
		g.serveOrigin(w, r)
	case r.URL.Path == viewPath:
		g.serveView(w, r)
	default:
		http.NotFound(w, r)
	}
}
