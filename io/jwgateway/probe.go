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
	// staleAfter is how long a node without an answer of the store takes it to
	// be away: its lease is renewed more often.
	staleAfter = leaseTTL/renewals + 800*time.Millisecond
	// syncedPeerAge is how long a peer's report counts that it reaches the store.
	syncedPeerAge = 500 * time.Millisecond
	// probePeriod is the time between two questions to a target. At seven
	// requests a second, one that goes cold has taken three by the time that all
	// nodes of the region know, half of its capacity.
	probePeriod  = 250 * time.Millisecond
	probeTimeout = 300 * time.Millisecond
	// idleProbe is the time between two looks whether that has begun.
	idleProbe = 2 * probePeriod
)

// storeState holds how the node stands with the store.
type storeState struct {
	revision   atomic.Uint64 // up to which changes were read
	answered   atomic.Int64  // last answer, Unix nanoseconds
	failed     atomic.Bool   // the last call had none
	syncedPeer atomic.Int64  // when a peer said last that it reaches the store
}

// called notes how a call ended.
func (s *storeState) called(now time.Time, err error) {
	answer := err == nil || errors.Is(err, jwstore.ErrNoLease) || errors.Is(err, jwstore.ErrCompacted)
	s.failed.Store(!answer)
	if answer {
		s.answered.Store(now.UnixNano())
	}
}

// stale reports whether the store may know what the node does not.
func (s *storeState) stale(now time.Time) bool {
	return s.failed.Load() || now.Sub(time.Unix(0, s.answered.Load())) > staleAfter
}

// probe asks targets how long they stay cold while no node of the region
// reaches the store, until ctx ends. A target may go cold at any moment; informed by
// nobody, all nodes would go on sending what a warm one takes.
func (g *Gateway) probe(ctx context.Context) {
	for ctx.Err() == nil {
		now, wait := time.Now(), idleProbe
		if g.store.stale(now) {
			wait = probePeriod
		}
		if wait == probePeriod && now.Sub(time.Unix(0, g.store.syncedPeer.Load())) > syncedPeerAge {
			for _, x := range g.targets.Probes(now) {
				if path := g.healthPath(x.Service); path != "" && g.members.Owns(now, x.ID) {
					go g.probeOne(ctx, x, path)
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

func (g *Gateway) probeOne(ctx context.Context, x *jwinstance.Target, path string) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	g.meters.probes.Inc(1)
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
