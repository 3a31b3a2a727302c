package jwbench

import (
	"net/netip"
	"time"

	"jujubewheel/core/jwlimit"
	"jujubewheel/core/jwrouter"
	"jujubewheel/core/jwsuspect"
	"jujubewheel/core/jwtarget"
)

// Behaviour of callers and nodes around failures.
const (
	maxTries   = 4
	crashPause = 2 * time.Second // when callers of a crashed target are told to come back, at least
	restart    = 10 * time.Second
)

// arrive takes a new request of a caller, who gives up at its deadline.
func (w *world) arrive(q *request) {
	w.result.offered(q)
	w.after(q.deadline.Sub(w.now), func() { w.giveUp(q) })
	w.try(q)
}

// try sends a request to the node of its home region that its workspace uses;
// the caller of a poison request goes on to another node each time.
func (w *world) try(q *request) {
	if q.over {
		return
	}
	nodes := w.nodes[q.home]
	step := 0
	if q.poison {
		step = q.tries
	}
	if w.policy.anyNode {
		step = w.rnd.IntN(len(nodes))
	}
	n := nodes[(q.space+step)%len(nodes)]
	q.tries++
	q.away = false
	if w.policy.choose != nil {
		n.simple(q)
		return
	}
	n.decide(q)
}

// simple runs a request by a baseline's rule.
func (n *node) simple(q *request) {
	addr, found := n.w.policy.choose(n, q)
	if !found {
		n.w.again(q, time.Second)
		return
	}
	r := n.w.runners[addr]
	q.away = r.target.Region != q.home
	delay := localDelay
	if q.away {
		delay += n.w.deploy.Delay
	}
	n.run(q, r, delay, func(end ending) {
		if end == endDone || end == endGivenUp {
			return
		}
		n.targets.Failed(addr, n.w.now)
		q.exclude = append(q.exclude[:0], addr)
		pause := time.Duration(0)
		if q.poison {
			pause = crashPause
		}
		n.w.again(q, pause)
	})
}

// decide runs a request by the real decisions.
func (n *node) decide(q *request) {
	state, left := n.suspects.Check(q.print, n.w.now)
	if state == jwsuspect.Quarantined && !n.w.policy.noSuspects {
		n.w.again(q, left)
		return
	}
	rq := n.query(q)
	p := n.router.Place(rq)
	if p.Region == "" {
		n.w.again(q, 2*time.Second)
		return
	}
	away := p.Region != n.region
	token, refusal, ok := n.limiter.Admit(n.admission(q, false, away))
	if !ok && !away && refusal.Reason.Room() && !n.w.policy.noSecond {
		rq.Full = true
		if p = n.router.Place(rq); p.Region != "" {
			away = true
			token, refusal, ok = n.limiter.Admit(n.admission(q, false, away))
		}
	}
	n.w.result.cameBack(q, ok)
	if !ok {
		n.w.again(q, refusal.RetryAfter)
		return
	}
	release := func() { n.limiter.Release(token) }
	if !away {
		n.serve(q, rq, localDelay, release)
		return
	}
	n.router.Regions.Sent(p.Region, q.entry.Service)
	peers := n.w.nodes[p.Region]
	peer := peers[n.w.rnd.IntN(len(peers))]
	n.w.after(n.w.deploy.Delay, func() { peer.receive(q, n, release) })
}

// receive serves a request that a node of another region sent, or gives it
// back to be tried at home.
func (n *node) receive(q *request, from *node, release func()) {
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
		n.w.result.sentBack(q)
		n.w.after(n.w.deploy.Delay, func() { from.fallback(q, release) })
		return
	}
	q.away = true
	n.serve(q, rq, localDelay, func() {
		n.limiter.Release(token)
		release()
	})
}

// fallback serves at home what another region had no room for.
func (n *node) fallback(q *request, release func()) {
	release()
	if q.over {
		return
	}
	token, refusal, ok := n.limiter.Admit(n.admission(q, false, false))
	if !ok {
		n.w.again(q, refusal.RetryAfter)
		return
	}
	n.serve(q, n.query(q), localDelay, func() { n.limiter.Release(token) })
}

// serve runs a request on a target of this region.
func (n *node) serve(q *request, rq *jwrouter.Query, delay time.Duration, release func()) {
	if state, _ := n.suspects.Check(q.print, n.w.now); state != jwsuspect.Clear && !n.w.policy.noSuspects {
		rq.Exclude = append(rq.Exclude, n.suspects.Apart(q.print, n.addresses(q.entry.Service), n.w.now)...)
	}
	choice, found := n.router.Pick(rq)
	if !found || q.over {
		release()
		n.w.again(q, 2*time.Second)
		return
	}
	call := n.targets.Begin(choice.Address, rq.Work, n.w.now)
	call.Kind = q.entry.Name
	n.suspects.Begin(q.print, choice.Address, q.bound)
	n.run(q, n.w.runners[choice.Address], delay, func(end ending) {
		now := n.w.now
		release()
		n.targets.End(call, results[end], now)
		if end == endCrash {
			n.suspects.Crashed(choice.Address, now)
		}
		// Calls that broke together are all still in flight when the first is
		// noticed, as they are on a node that ends each in its own goroutine.
		n.w.after(0, func() { n.suspects.End(q.print, choice.Address, end == endDone, now) })
		switch end {
		case endCrash:
			n.w.again(q, crashPause+time.Duration(n.w.rnd.Float64()*float64(crashPause)))
		case endRefused:
			q.exclude = append(q.exclude, choice.Address)
			n.w.again(q, 0)
		}
	})
}

var results = map[ending]jwtarget.Result{
	endDone:    jwtarget.Done,
	endCrash:   jwtarget.Broken,
	endRefused: jwtarget.Broken,
	endGivenUp: jwtarget.Canceled,
}

// addresses returns the targets of a service that this node uses.
func (n *node) addresses(service string) (out []netip.AddrPort) {
	for _, target := range n.targets.Used() {
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
		Prefill: time.Duration(float64(k.prefill) * (1 - cachedPart)), Work: k.work(),
		Deadline: q.deadline, Exclude: q.exclude, Now: n.w.now, Random: n.w.rnd.Uint64(),
	}
}

func (n *node) admission(q *request, foreign, away bool) *jwlimit.Query {
	return &jwlimit.Query{
		Entry: q.entry, Owner: q.owner, Caller: q.id, Foreign: foreign, Bound: q.bound, Away: away,
		Left: q.deadline.Sub(n.w.now), Work: kindOf(q.entry.Name).work(),
		Room: n.targets.Room(q.entry.Service, n.w.now), Now: n.w.now, Random: n.w.rnd.Float64(),
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

// run puts a request on a runner after a delay and brings its answer back.
func (n *node) run(q *request, r *runner, delay time.Duration, done func(ending)) {
	way := delay
	if q.away {
		way += n.w.deploy.Delay
	}
	q.runner = r
	q.job = &job{req: q}
	j := q.job
	j.onFirst = func() {
		if q.first.IsZero() {
			q.first = n.w.now.Add(way)
		}
	}
	j.onEnd = func(end ending) {
		done(end)
		switch end {
		case endDone:
			n.w.finish(q, way)
		case endCrash:
			n.w.crashed(q, r)
		}
	}
	n.w.after(delay, func() {
		if !j.gone {
			r.submit(j)
		}
	})
}

// crashed restarts a runner that a poison request took down.
func (w *world) crashed(q *request, r *runner) {
	if !q.poison {
		return
	}
	w.result.Crashes++
	w.after(restart, r.back)
}

// again lets the caller come back after a pause, if its answer could still be
// of use, or gives the request up as not run.
func (w *world) again(q *request, pause time.Duration) {
	if q.over {
		return
	}
	limit := maxTries
	if q.poison {
		limit = 1 << 30
	}
	if q.tries >= limit || w.now.Add(pause).After(q.deadline) {
		q.over = true
		w.result.refused(q)
		return
	}
	w.after(pause, func() { w.try(q) })
}

// finish counts a whole answer.
func (w *world) finish(q *request, way time.Duration) {
	if q.over {
		return
	}
	if q.bound && q.away {
		w.result.Broken++
	}
	q.over = true
	w.result.served(q, w.now.Add(way))
}

// giveUp ends a request whose deadline has passed.
func (w *world) giveUp(q *request) {
	if q.over {
		return
	}
	q.over = true
	w.result.late(q)
	if q.job != nil && !q.job.gone && q.runner != nil {
		q.runner.cancel(q.job)
		q.job.onEnd(endGivenUp)
	}
}
