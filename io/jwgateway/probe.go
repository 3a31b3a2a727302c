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
	// storeStaleAfter is how long a node without an answer of the store takes it to
	// be away: its lease is renewed more often.
	storeStaleAfter = leaseTTL/renewalsPerLease + 800*time.Millisecond
	// syncedPeerAge is how long a peer's report counts that it reaches the store.
	syncedPeerAge = 500 * time.Millisecond
	// probePeriod is the time between two questions to a target. At seven
	// requests a second, one that goes cold has taken three by the time that all
	// nodes of the region know, half of its capacity.
	probePeriod  = 250 * time.Millisecond
	probeTimeout = 300 * time.Millisecond
	// staleCheckPeriod is the time between two looks whether that has begun.
	staleCheckPeriod = 2 * probePeriod
)

// storeState holds how the node stands with the store.
type storeState struct {
	revision       atomic.Uint64 // up to which changes were read
	lastAnswer     atomic.Int64  // last answer, Unix nanoseconds
	lastCallFailed atomic.Bool   // the last call had none
	syncedPeerSeen atomic.Int64  // when a peer said last that it reaches the store
}

// recordCall notes how a call ended.
func (s *storeState) recordCall(now time.Time, err error) {
	answer := err == nil || errors.Is(err, jwstore.ErrNoLease) || errors.Is(err, jwstore.ErrCompacted)
	s.lastCallFailed.Store(!answer)
	if answer {
		s.lastAnswer.Store(now.UnixNano())
	}
}

// stale reports whether the store may know what the node does not.
func (s *storeState) stale(now time.Time) bool {
	return s.lastCallFailed.Load() || now.Sub(time.Unix(0, s.lastAnswer.Load())) > storeStaleAfter
}

// probeTargets asks targets how long they stay cold while no node of the region
// reaches the store, until ctx ends. A target may go cold at any moment; informed by
// nobody, all nodes would go on sending what a warm one takes.
func (g *Gateway) probeTargets(ctx context.Context) {
	for ctx.Err() == nil {
		now, wait := time.Now(), staleCheckPeriod
		if g.store.stale(now) {
			wait = probePeriod
		}
		if wait == probePeriod && now.Sub(time.Unix(0, g.store.syncedPeerSeen.Load())) > syncedPeerAge {
			for _, x := range g.targets.Probes(now) {
				if path := g.healthPath(x.Service); path != "" && g.members.Owns(now, x.ID) {
					go g.probeTarget(ctx, x, path)
				}
			}
		}
		jwclock.Sleep(ctx, wait)
	}
}

// healthPath returns where targets of a service report their health, "" if its
// targets are never cold.
func (g *Gateway) healthPath(service string) string {
	c := g.entries.Current()
	if c == nil || c.Services[service] == nil || c.Services[service].Warmup == 0 {
		return ""
	}
	return c.Services[service].HealthPath
}

func (g *Gateway) probeTarget(ctx context.Context, x *jwinstance.Target, path string) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	g.metrics.probes.Inc(1)
	a, err := g.Targets.Do(ctx, &jwconn.Call{Peer: x.Address, Method: http.MethodGet, Target: path, Host: x.Address.String()})
	if err != nil {
		return // a request that fails there is judged by its own outcome
	}
	defer a.Close()
	drain(a)
	reply := g.Dialect.Answer(a.Header)
	if reply.Target != x.ID {
		return
	}
	if reply.Cold > 0 {
		g.Log.Info("target reports that it is cold", "target", x.ID, "coldMs", reply.Cold.Milliseconds())
		g.targets.Cold(time.Now(), x, reply.Cold)
	}
	if reply.Limit.Named {
		g.noteLimit(x, reply)
	}
	g.noteLeaving(x, reply)
	g.noteRetryAfter(x, a.Status, reply)
}
