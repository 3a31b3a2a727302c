package jwgateway

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"jujubewheel/core/jwadmission"
	"jujubewheel/core/jwentry"
	"jujubewheel/core/jwledger"
	"jujubewheel/core/jwshare"
	"jujubewheel/core/jwwaitroom"
)

// sharedPartCost is the part of a prompt's shared parts that is expected to be read again.
const sharedPartCost = 0.25

// shareTable holds the ledger of the region's demand and the shares of each service.
type shareTable struct {
	ledger     jwledger.Table
	reportedAt atomic.Int64 // when the ledger was last reported to a relay, Unix nanoseconds

	mu       sync.Mutex
	services map[string]*serviceShares
}

// serviceShares holds the shares of one service and what changes slowly about it.
type serviceShares struct {
	jwshare.Shares
	mu     sync.Mutex
	target jwledger.Target
	stride int           // tokens in an event
	gap    time.Duration // time between two events
}

// admitted is a request's entry in the ledger.
type admitted struct {
	counted    bool             // the request was offered to the shares
	flight     *jwledger.Flight // nil if it was not admitted, or the shares don't apply
	firstEvent time.Time
	fraction   float64 // part of the requests like this one that is admitted
	rejection  jwshare.Decision
	region     string // whose shares rejected it
}

// admitByShare decides whether the shares of a request's workspace and priority admit it. They apply to
// the first send of requests with a prompt that came from a caller.
func (g *Gateway) admitByShare(now time.Time, q *request) bool {
	if q.forwarded || q.share.counted || q.Prompt.Tokens == 0 || !g.controlsOverload(q.service) {
		return true
	}
	q.share.counted = true
	s := g.sharesOf(now, q.service)
	key := jwledger.Key{Workspace: q.workspace, Level: jwledger.Level(q.priority)}
	work := g.expectedWork(s, q)
	g.shares.ledger.Offer(now, q.service, key, work)
	d := s.Decide(now, key, func(fraction float64) bool { return q.admittedBy(now, fraction) })
	q.share.fraction = d.Fraction
	if d.Admitted {
		q.share.flight = g.shares.ledger.Admit(now, q.service, key, work)
		return true
	}
	q.share.rejection, q.share.region = d, g.Settings.Region
	g.metrics.countShareRejection(q.service, key)
	return false
}

// sharesOf returns the shares of a service, computed for the present demand.
func (g *Gateway) sharesOf(now time.Time, service string) *serviceShares {
	g.shares.mu.Lock()
	s := g.shares.services[service]
	if s == nil {
		if g.shares.services == nil {
			g.shares.services = make(map[string]*serviceShares)
		}
		s = &serviceShares{Shares: jwshare.Shares{Weight: g.workspaceWeight, Workspaces: g.countWorkspaces}}
		g.shares.services[service] = s
	}
	g.shares.mu.Unlock()
	if s.Due(now) {
		goal := s.refresh(now, g, service)
		s.Update(now, g.shares.ledger.Region(now, service), jwshare.Supply{
			Targets: g.targets.Room(now, service).Targets, Wait: g.shortestWait(now, service), Goal: goal,
		})
	}
	return s
}

// refresh reads what a request is expected to take of a target of the service, and returns the shortest
// goal of the entries that the service runs, 0 if there is none.
func (s *serviceShares) refresh(now time.Time, g *Gateway, service string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gap, s.stride = g.targets.Gap(now, service), 1
	c := g.entries.Current()
	if c == nil {
		return 0
	}
	if c.Services[service] != nil && c.Services[service].Engine != nil {
		e := c.Services[service].Engine
		s.target = jwledger.Target{Slots: e.Slots, Memory: e.Capacity}
		s.stride = max(e.Stride, 1)
	}
	return shortestGoal(c, service)
}

// shortestGoal returns the shortest goal of the entries that a service runs, 0 if there is none.
func shortestGoal(c *jwentry.Config, service string) time.Duration {
	shortest := time.Duration(0)
	for _, e := range c.Entries {
		runs := slices.ContainsFunc(e.Destinations, func(d jwentry.Destination) bool { return d.Service == service })
		if runs && e.Goal > 0 && (shortest == 0 || e.Goal < shortest) {
			shortest = e.Goal
		}
	}
	return shortest
}

// shortestWait returns the wait at the best targets that this region's requests may be sent to.
func (g *Gateway) shortestWait(now time.Time, service string) time.Duration {
	wait, known := g.targets.Wait(now, service)
	wait += g.serviceRoomWait(service)
	for region, slots := range g.targets.Regions(service) {
		if region == g.Settings.Region || slots == 0 {
			continue
		}
		w, ok := g.regions.waitFor(now, region, service)
		if d := w.wait + g.regions.roundTrip(region); ok && (!known || d < wait) {
			wait, known = d, true
		}
	}
	if !known {
		return time.Hour
	}
	return wait
}

// expectedWork returns the part of a target that a request is expected to take, in seconds.
func (g *Gateway) expectedWork(s *serviceShares, q *request) float64 {
	read := q.Prompt.Tokens
	if n := len(q.Prompt.Parts); n > 1 {
		own := q.Prompt.Parts[n-1].Tokens
		read = own + int(sharedPartCost*float64(max(read-own, 0)))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r := jwledger.Request{
		ReadTime: g.targets.ReadTime(q.service, 0, read),
		SlotTime: time.Duration(q.Prompt.Output/s.stride) * s.gap,
		Memory:   q.Prompt.Tokens + q.Prompt.Output,
	}
	return r.Work(s.target)
}

// workspaceWeight returns the weight of a workspace in the division of room: its quota relative to the
// mean of the workspaces with a quota in the same unit.
func (g *Gateway) workspaceWeight(name string) float64 {
	c := g.entries.Current()
	if c == nil {
		return 1
	}
	w := c.Workspaces.ByName(name)
	if w == nil || !w.Quota.Limited() {
		return 1
	}
	return w.Quota.Rate / c.Workspaces.MeanRate(w.Quota.Unit)
}

// countWorkspaces returns the number of workspaces in the configuration in force.
func (g *Gateway) countWorkspaces() int {
	if c := g.entries.Current(); c != nil {
		return c.Workspaces.Len()
	}
	return 0
}

// rejectForShare rejects a request that admitByShare did not admit.
func (g *Gateway) rejectForShare(q *request) Verdict {
	return q.reject(string(q.share.rejection.Reason), 0)
}

// observeFirstEvent returns onEvents, preceded by recording the first event in the ledger.
func (g *Gateway) observeFirstEvent(q *request, onEvents func(int)) func(int) {
	if q.share.flight == nil {
		return onEvents
	}
	return func(events int) {
		if q.share.firstEvent.IsZero() {
			q.share.firstEvent = time.Now()
			g.shares.ledger.Start(q.share.flight)
		}
		onEvents(events)
	}
}

// endShare records in the ledger how an admitted request ended.
func (g *Gateway) endShare(ctx context.Context, q *request, last Verdict) {
	if q.share.flight == nil {
		return
	}
	now := time.Now()
	g.shares.ledger.End(now, q.share.flight, shareOutcome(now, q, last, ctx.Err() != nil))
}

// rejectedForRoom reports whether the request was last rejected because targets had no room for it.
func (q *request) rejectedForRoom() bool {
	switch q.lastReason {
	case string(jwadmission.Queue), string(jwadmission.Deadline), noTarget, atLimit, refusedByTarget,
		string(jwwaitroom.Expired), string(jwwaitroom.Displaced), string(jwwaitroom.Full):
		return true
	}
	return strings.HasPrefix(q.lastReason, refusedByNode)
}

// shareOutcome tells whether an admitted request shows that there was room. A late answer shows that there
// was none only if the request did not fail elsewhere before.
func shareOutcome(now time.Time, q *request, last Verdict, ended bool) jwledger.Outcome {
	limit := time.Duration(jwadmission.MaxQueueShare * float64(q.entry.Goal))
	switch {
	case q.share.firstEvent.IsZero():
		if q.rejectedForRoom() || last != rejected && ended && now.Sub(q.arrived) > limit {
			return jwledger.Lost
		}
		return jwledger.Other
	case q.entry.Goal == 0 || q.share.firstEvent.Sub(q.arrived) <= limit:
		if last == finished {
			return jwledger.Useful
		}
		return jwledger.Other
	case q.attempts > 1 || q.retries.Sends().Reached > 1:
		return jwledger.Other
	}
	return jwledger.Lost
}
