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
	// doubtAfter is how long a node without an answer of the store takes it to
	// be away: its lease is renewed more often.
	doubtAfter = leaseTTL/renewals + 800*time.Millisecond
	// sureAge is how long the word of a peer counts that it reaches the store.
	sureAge = 500 * time.Millisecond
	// probePeriod is the time between two questions to a target. At seven
	// requests a second, one that goes cold has taken three by the time that all
	// nodes of the region know, half of what it bears.
	probePeriod  = 250 * time.Millisecond
	probeTimeout = 300 * time.Millisecond
	// idleProbe is the time between two looks whether that has begun.
	idleProbe = 2 * probePeriod
)

// storeState tells how the node stands with the store.
type storeState struct {
	revision atomic.Uint64 // up to which changes were read
	answered atomic.Int64  // last answer, Unix nanoseconds
	failed   atomic.Bool   // the last call had none
	sure     atomic.Int64  // when a peer said last that it reaches the store
}

// called notes how a call ended.
func (s *storeState) called(now time.Time, err error) {
	answer := err == nil || errors.Is(err, jwstore.ErrNoLease) || errors.Is(err, jwstore.ErrCompacted)
	s.failed.Store(!answer)
	if answer {
		s.answered.Store(now.UnixNano())
	}
}

// doubt tells whether the store may know what the node does not.
func (s *storeState) doubt(now time.Time) bool {
	return s.failed.Load() || now.Sub(time.Unix(0, s.answered.Load())) > doubtAfter
}

// probe asks targets how long they stay cold while no node of the region
// reaches the store, until ctx ends. A target may go cold at any moment; told by
// nobody, all nodes would go on sending what a warm one bears.
func (g *Gateway) probe(ctx context.Context) {
	for ctx.Err() == nil {
		now, wait := time.Now(), idleProbe
		if g.store.doubt(now) {
			wait = probePeriod
		}
		if wait == probePeriod && now.Sub(time.Unix(0, g.store.sure.Load())) > sureAge {
			for _, x := range g.targets.Warm(now) {
				if path := g.healthPath(x.Service); path != "" && g.members.Owns(now, x.ID) {
					go g.probeOne(ctx, x, path)
				}
			}
		}
		jwclock.Sleep(ctx, wait)
	}
}

// healthPath returns where targets of a service tell how they are, "" if its
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
	if told := g.Dialect.Answer(a.Header); told.Target == x.ID && told.Cold > 0 {
		g.Log.Info("target cold by its own word", "target", x.ID, "coldMs", told.Cold.Milliseconds())
		g.targets.Cold(time.Now(), x, told.Cold)
	}
}
