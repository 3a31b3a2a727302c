package jwgateway

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"jujubewheel/core/jwclock"
	"jujubewheel/core/jwinstance"
	"jujubewheel/core/jwstore"
	"jujubewheel/io/jwconn"
)

const (
	// storeStaleAfter is how long a node without an answer from the store waits until it assumes
	// that the store is unavailable. It is longer than the interval between two renewals of the
	// node's lease.
	storeStaleAfter = leaseTTL/renewalsPerLease + 800*time.Millisecond
	// syncedPeerAge is how long a peer's report counts at least that the peer reaches the store.
	syncedPeerAge = 500 * time.Millisecond
	// probeInterval is the time between two probes of a target. At seven requests per second, a
	// target that goes cold has received three by the time that all nodes of the region know, which
	// is half of its capacity.
	probeInterval = 250 * time.Millisecond
	probeTimeout  = 300 * time.Millisecond
	// staleCheckInterval is the time between two checks whether probes have become necessary.
	staleCheckInterval = 2 * probeInterval
)

// storeState holds how far the node has read the store and whether it still reaches it.
type storeState struct {
	revision       atomic.Uint64 // revision up to which changes were read
	lastAnswer     atomic.Int64  // time of the last answer, Unix nanoseconds
	lastCallFailed atomic.Bool   // the last call got no answer
	syncedPeerSeen atomic.Int64  // when a peer last reported that it reaches the store, Unix nanoseconds
}

// recordStoreCall records how a call of the store ended.
func (g *Gateway) recordStoreCall(now time.Time, err error) {
	g.store.recordCall(now, err)
	g.members.SetStoreLost(g.store.lastCallFailed.Load())
}

// recordCall records how a call of the store ended. An error that the store itself reports counts
// as an answer.
func (s *storeState) recordCall(now time.Time, err error) {
	answer := err == nil || errors.Is(err, jwstore.ErrNoLease) || errors.Is(err, jwstore.ErrCompacted)
	s.lastCallFailed.Store(!answer)
	if answer {
		s.lastAnswer.Store(now.UnixNano())
	}
}

// called reports whether a call of the store has ended.
func (s *storeState) called() bool { return s.lastAnswer.Load() != 0 || s.lastCallFailed.Load() }

// stale reports whether the store may hold changes that the node does not know.
func (s *storeState) stale(now time.Time) bool {
	return s.lastCallFailed.Load() || now.Sub(time.Unix(0, s.lastAnswer.Load())) > storeStaleAfter
}

// probeTargets probes for how long targets stay cold while no node of the region reaches the store,
// until ctx ends. A target may go cold at any time, and without probes all nodes would continue to
// send it what a warm one can take.
func (g *Gateway) probeTargets(ctx context.Context) {
	for ctx.Err() == nil {
		now, wait := time.Now(), staleCheckInterval
		if g.store.stale(now) {
			wait = probeInterval
		}
		if wait == probeInterval && !g.syncedPeerKnown(now) {
			g.probeOnce(ctx, now)
		}
		jwclock.Sleep(ctx, wait)
	}
}

// syncedPeerKnown reports whether a node of the region that reaches the store has reported since the
// last exchange but one.
func (g *Gateway) syncedPeerKnown(now time.Time) bool {
	age := now.Sub(time.Unix(0, g.store.syncedPeerSeen.Load()))
	return age <= max(syncedPeerAge, 2*g.reportInterval())
}

// probeOnce starts one probe of each target that this node has to ask.
func (g *Gateway) probeOnce(ctx context.Context, now time.Time) {
	c := g.entries.Current()
	if c == nil {
		return
	}
	for name, s := range c.Services {
		if s.Warmup == 0 || s.HealthPath == "" {
			continue
		}
		for _, x := range g.targets.Probes(now, name, func(id string) bool { return g.members.Owns(now, id) }) {
			go g.probeTarget(ctx, x, s.HealthPath)
		}
	}
}

// probeTarget reads the health of one target and records what its answer says about it.
func (g *Gateway) probeTarget(ctx context.Context, x *jwinstance.Target, path string) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	g.metrics.probes.Inc(1)
	a, err := g.Targets.Do(ctx, &jwconn.Call{Peer: x.Address, Method: http.MethodGet, Target: path, Host: x.Address.String()})
	if err != nil {
		return // no conclusion is drawn: a request that fails at this target is handled by its own outcome
	}
	defer a.Close()
	drain(a)
	reply := g.Dialect.ParseAnswerHeaders(a.Header)
	if reply.Target != x.ID {
		return
	}
	if reply.ColdFor > 0 {
		g.Log.Info("target reports that it is cold", "target", x.ID, "coldMs", reply.ColdFor.Milliseconds())
		g.targets.SetCold(time.Now(), x, reply.ColdFor)
	}
	if reply.Limit.Announced {
		g.noteLimit(x, reply)
	}
	g.noteLeaving(x, reply)
	g.noteRetryAfter(x, a.Status, reply)
}
