package jwbench

import (
	"net/netip"
	"time"

	"jujubewheel/core/jwlimit"
	"jujubewheel/core/jwrouter"
	"jujubewheel/core/jwsuspect"
	"jujubewheel/core/jwtarget"
	"jujubewheel/core/jwworkspace"
)

// Retries of callers and restarts of runners.
const (
	maxTries        = 4                // tries of a caller, the first included; poison requests have no limit
	crashRetryDelay = 2 * time.Second  // minimum delay before the retry of a request whose target crashed
	restartDelay    = 10 * time.Second // time until a runner that a poison request crashed runs again
)

// arrive counts and sends a new request; its caller gives up at the deadline.
func (sim *simulation) arrive(q *request) {
	sim.result.offered(q)
	sim.after(q.deadline.Sub(sim.now), func() { sim.expire(q) })
	sim.sendToNode(q)
}

// sendToNode sends a request to the node of its home region that its workspace
// uses. The caller of a poison request uses the next node at each try.
func (sim *simulation) sendToNode(q *request) {
	if q.finished {
		return
	}
	nodes := sim.nodes[q.home]
	step := 0
	if q.poison {
		step = q.tries
	}
	if sim.policy.anyNode {
		step = sim.rnd.IntN(len(nodes))
	}
	n := nodes[(q.workspace+step)%len(nodes)]
	q.tries++
	q.away = false
	if sim.policy.choose != nil {
		n.routeByRule(q)
		return
	}
	n.route(q)
}

// routeByRule runs a request on the target that a baseline chooses.
func (n *node) routeByRule(q *request) {
	addr, found := n.sim.policy.choose(n, q)
	if !found {
		n.sim.retryLater(q, time.Second)
		return
	}
	r := n.sim.runners[addr]
	q.away = r.target.Region != q.home
	delay := localDelay
	if q.away {
		delay += n.sim.deployment.LinkDelay
	}
	n.run(q, r, delay, func(end endReason) {
		if end == endDone || end == endGivenUp {
			return
		}
		n.targets.Failed(addr, n.sim.now)
		q.exclude = append(q.exclude[:0], addr)
		pause := time.Duration(0)
		if q.poison {
			pause = crashRetryDelay
		}
		n.sim.retryLater(q, pause)
	})
}

// route runs a request as the project's policy decides: it checks for suspects,
// places the request in a region and admits it.
func (n *node) route(q *request) {
	state, remaining := n.suspects.Check(q.fingerprint, n.sim.now)
	if state == jwsuspect.Quarantined && !n.sim.policy.noSuspects {
		n.sim.retryLater(q, remaining)
		return
	}
	rq := n.query(q)
	p := n.router.Place(rq)
	if p.Region == "" {
		n.sim.retryLater(q, 2*time.Second)
		return
	}
	away := p.Region != n.region
	token, refusal, ok := n.limiter.Admit(n.admission(q, false, away))
	if !ok && !away && refusal.Reason.LacksCapacity() && !n.sim.policy.noSecondPlacement {
		rq.RejectedLocally = true
		if p = n.router.Place(rq); p.Region != "" {
			away = true
			token, refusal, ok = n.limiter.Admit(n.admission(q, false, away))
		}
	}
	n.sim.result.retried(q, ok)
	if !ok {
		n.sim.retryLater(q, refusal.RetryAfter)
		return
	}
	release := func() { n.limiter.Release(token) }
	if !away {
		n.serve(q, rq, localDelay, release)
		return
	}
	n.router.Regions.RecordSent(p.Region, q.entry.Service)
	peers := n.sim.nodes[p.Region]
	peer := peers[n.sim.rnd.IntN(len(peers))]
	n.sim.after(n.sim.deployment.LinkDelay, func() { peer.receiveForwarded(q, n, release) })
}

// receiveForwarded serves a request that a node of another region sent, or
// returns it to that node, which then tries its own region.
func (n *node) receiveForwarded(q *request, from *node, release func()) {
	rq := n.query(q)
	rq.Forwarded = true
	p := n.router.Place(rq)
	refused := p.Region == ""
	var token jwlimit.Token
	if !refused {
		var ok bool
		token, _, ok = n.limiter.Admit(n.admission(q, true, false))
		refused = !ok
	}
	if refused {
		n.sim.result.returned(q)
		n.sim.after(n.sim.deployment.LinkDelay, func() { from.serveReturned(q, release) })
		return
	}
	q.away = true
	n.serve(q, rq, localDelay, func() {
		n.limiter.Release(token)
		release()
	})
}

// serveReturned serves a request in its home region after another region had no
// capacity for it.
func (n *node) serveReturned(q *request, release func()) {
	release()
	if q.finished {
		return
	}
	token, refusal, ok := n.limiter.Admit(n.admission(q, false, false))
	if !ok {
		n.sim.retryLater(q, refusal.RetryAfter)
		return
	}
	n.serve(q, n.query(q), localDelay, func() { n.limiter.Release(token) })
}

// serve runs a request on a target of this region.
func (n *node) serve(q *request, rq *jwrouter.Query, delay time.Duration, release func()) {
	if state, _ := n.suspects.Check(q.fingerprint, n.sim.now); state != jwsuspect.Clear && !n.sim.policy.noSuspects {
		rq.Exclude = append(rq.Exclude, n.suspects.ExcludedTargets(q.fingerprint, n.addresses(q.entry.Service), n.sim.now)...)
	}
	choice, found := n.router.Pick(rq)
	if !found || q.finished {
		release()
		n.sim.retryLater(q, 2*time.Second)
		return
	}
	call := n.targets.Begin(choice.Address, rq.CallTime, n.sim.now)
	call.Kind = q.entry.Name
	var homes jwworkspace.Regions
	if q.bound {
		homes = jwworkspace.Regions{q.home}
	}
	n.suspects.Begin(q.fingerprint, choice.Address, homes)
	n.run(q, n.sim.runners[choice.Address], delay, func(end endReason) {
		now := n.sim.now
		release()
		n.targets.End(call, targetResults[end], now)
		if end == endCrash {
			n.suspects.Crashed(choice.Address, "", now)
		}
		// The end of a call is recorded after all other events of this moment:
		// when a target crashes, all its calls are still in flight as the first
		// failure is noticed. It is the same on a real node, which ends each
		// call in its own goroutine.
		n.sim.after(0, func() { n.suspects.End(q.fingerprint, choice.Address, end == endDone, now) })
		switch end {
		case endCrash:
			n.sim.retryLater(q, crashRetryDelay+time.Duration(n.sim.rnd.Float64()*float64(crashRetryDelay)))
		case endRefused:
			q.exclude = append(q.exclude, choice.Address)
			n.sim.retryLater(q, 0)
		}
	})
}

// targetResults maps how a job ended to the result that the target table takes.
var targetResults = map[endReason]jwtarget.Result{
	endDone:    jwtarget.Done,
	endCrash:   jwtarget.Broken,
	endRefused: jwtarget.Broken,
	endGivenUp: jwtarget.Canceled,
}

// addresses returns the targets of a service that this node uses.
func (n *node) addresses(service string) (out []netip.AddrPort) {
	for _, target := range n.targets.Polled() {
		if target.Service == service {
			out = append(out, target.Address)
		}
	}
	return out
}

func (n *node) query(q *request) *jwrouter.Query {
	k := kindOf(q.entry.Name)
	return &jwrouter.Query{
		Entry: q.entry, Home: q.home, Bound: q.bound, Prefix: q.prefix,
		Prefill: time.Duration(float64(k.prefill) * (1 - cachedPrefillShare)), CallTime: k.work(),
		Deadline: q.deadline, Exclude: q.exclude, Now: n.sim.now, Random: n.sim.rnd.Uint64(),
	}
}

func (n *node) admission(q *request, foreign, away bool) *jwlimit.Query {
	return &jwlimit.Query{
		Entry: q.entry, Owner: q.owner, Caller: q.id, Foreign: foreign, Bound: q.bound, Away: away,
		TimeLeft: q.deadline.Sub(n.sim.now), CallTime: kindOf(q.entry.Name).work(),
		Capacity: n.targets.Capacity(q.entry.Service, n.sim.now), Now: n.sim.now, Random: n.sim.rnd.Float64(),
	}
}

func kindOf(entry string) kind {
	for _, k := range kinds {
		if k.entry == entry {
			return k
		}
	}
	return kind{}
}

// run submits a request to a runner after a delay and delivers its answer. The
// answer takes delay to return, plus the delay between regions if the runner is
// in another region.
func (n *node) run(q *request, r *runner, delay time.Duration, done func(endReason)) {
	returnDelay := delay
	if q.away {
		returnDelay += n.sim.deployment.LinkDelay
	}
	q.runner = r
	q.job = &job{req: q}
	j := q.job
	j.onFirstToken = func() {
		if q.firstTokenAt.IsZero() {
			q.firstTokenAt = n.sim.now.Add(returnDelay)
		}
	}
	j.onEnd = func(end endReason) {
		done(end)
		switch end {
		case endDone:
			n.sim.complete(q, returnDelay)
		case endCrash:
			n.sim.crashed(q, r)
		}
	}
	n.sim.after(delay, func() {
		if !j.gone {
			r.submit(j)
		}
	})
}

// crashed counts a crash that a poison request caused and restarts the runner
// after restartDelay.
func (sim *simulation) crashed(q *request, r *runner) {
	if !q.poison {
		return
	}
	sim.result.Crashes++
	sim.after(restartDelay, r.restart)
}

// retryLater sends the request again after a pause. It counts the request as not
// run if its tries are used up or the pause would end after the deadline.
func (sim *simulation) retryLater(q *request, pause time.Duration) {
	if q.finished {
		return
	}
	limit := maxTries
	if q.poison {
		limit = 1 << 30
	}
	if q.tries >= limit || sim.now.Add(pause).After(q.deadline) {
		q.finished = true
		sim.result.refused(q)
		return
	}
	sim.after(pause, func() { sim.sendToNode(q) })
}

// complete counts a request whose complete answer has come.
func (sim *simulation) complete(q *request, returnDelay time.Duration) {
	if q.finished {
		return
	}
	if q.bound && q.away {
		sim.result.BoundViolations++
	}
	q.finished = true
	sim.result.served(q, sim.now.Add(returnDelay))
}

// expire ends a request whose deadline has passed and cancels its job.
func (sim *simulation) expire(q *request) {
	if q.finished {
		return
	}
	q.finished = true
	sim.result.late(q)
	if q.job != nil && !q.job.gone && q.runner != nil {
		q.runner.cancel(q.job)
		q.job.onEnd(endGivenUp)
	}
}
