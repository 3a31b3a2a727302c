package jwgateway

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"jujubewheel/core/jwmember"
	"jujubewheel/core/jwresolver"
	"jujubewheel/core/jwruntime"
	"jujubewheel/io/jwrest"
)

const (
	// graceShare is the share of the grace period after which requests in flight are ended, and
	// endedShare the share until which the node waits for their answers to be written. The rest is left
	// for shutting down.
	graceShare = 0.93
	endedShare = 0.96
	// lingerShare is the maximum share of the time of a stop in which requests are accepted. Requests
	// that wait in the node by then are answered in the rest.
	lingerShare = 0.75
	// stopStep is the time between two looks at the requests in flight of a stopping node.
	stopStep = 5 * time.Millisecond
	// runtimeQuantile is the part of past requests by which a stopping node judges how long one takes.
	// runtimeFactor and runtimeMargin are added, as targets have more load while nodes stop.
	runtimeQuantile = 0.99
	runtimeFactor   = 1.25
	runtimeMargin   = 100 * time.Millisecond
)

const (
	nodeStopping = "the node is stopping"
	graceEnded   = "the node stopped and its grace period was over"
)

// stopState is what a node keeps for its planned stop.
type stopState struct {
	runtimes jwruntime.Table
	late     signal // the node takes no new requests
	over     signal // the grace period is over
	rejected atomic.Int64
	ended    atomic.Int64
	longest  atomic.Int64 // of the requests that were ended, how long they had run, in nanoseconds
}

// signal tells requests that a moment of the stop has come. The zero value can be used.
type signal struct {
	once   sync.Once
	ctx    context.Context
	cancel context.CancelFunc
}

func (s *signal) init() {
	s.once.Do(func() { s.ctx, s.cancel = context.WithCancel(context.Background()) })
}

// Raise gives the signal.
func (s *signal) Raise() {
	s.init()
	s.cancel()
}

// AfterFunc calls f in its own goroutine once the signal is given, unless stop is called before. stop waits for a call that
// has begun.
func (s *signal) AfterFunc(f func()) (stop func()) {
	s.init()
	done := make(chan struct{})
	cancel := context.AfterFunc(s.ctx, func() {
		defer close(done)
		f()
	})
	return sync.OnceFunc(func() {
		if !cancel() {
			<-done
		}
	})
}

// grace returns for how long a stopping node serves the requests that it has accepted.
func (g *Gateway) grace() time.Duration { return g.shareOfGrace(graceShare) }

func (g *Gateway) shareOfGrace(share float64) time.Duration {
	return time.Duration(float64(g.bounds.Load().Grace) * share)
}

// linger returns for how long a stopping node accepts new requests, and sends those whose deadline may be after the
// end of the grace period.
func (g *Gateway) linger() time.Duration {
	return min(jwresolver.Linger, g.shareOfGrace(graceShare*lingerShare))
}

// stoppingFor returns for how long the node has been stopping.
func (g *Gateway) stoppingFor(now time.Time) time.Duration {
	return now.Sub(g.startTime) - time.Duration(g.stopStartedAt.Load())
}

// rejectsNewRequests reports whether the node has been stopping for so long that it takes no new requests.
func (g *Gateway) rejectsNewRequests() bool {
	return g.stopping.Load() && g.stoppingFor(time.Now()) > g.linger()
}

// endsInTime reports whether a request that is sent now is expected to end before a stop of this node, or of the node
// that forwarded it, cuts it off. away is whether it is forwarded.
func (g *Gateway) endsInTime(now time.Time, q *request, away bool) bool {
	if g.stopping.Load() && !g.endsInStop(now, q, away, g.stoppingFor(now)) {
		return false
	}
	if q.sender == "" {
		return true
	}
	since, stops := g.members.StoppingFor(now, q.sender)
	return !stops || g.endsInStop(now, q, away, since)
}

// endsInStop reports whether a request that is sent now is expected to end within a stop that began since ago: by its
// deadline, or, while a stopping node takes new requests, by how long others like it have taken.
func (g *Gateway) endsInStop(now time.Time, q *request, away bool, since time.Duration) bool {
	left := g.grace() - since
	if q.deadline.Sub(now) <= left {
		return true
	}
	if since > g.linger() {
		return false
	}
	d, ok := g.stopState.runtimes.Quantile(now, q.runtimeKey(away), runtimeQuantile)
	return ok && time.Duration(runtimeFactor*float64(d))+runtimeMargin <= left
}

// runtimeKey returns the key of the requests that are expected to take as long as q.
func (q *request) runtimeKey(away bool) jwruntime.Key {
	return jwruntime.Key{Service: q.service, Kind: string(q.entry.Kind), Goal: q.entry.Goal, Away: away}
}

// recordRuntime records how long a send of a request took that began at start: to its complete answer, or until its deadline.
func (g *Gateway) recordRuntime(ctx context.Context, q *request, away bool, start time.Time, v Verdict, status int) {
	whole := v == finished && status < http.StatusInternalServerError
	if !whole && context.Cause(ctx) != context.DeadlineExceeded {
		return
	}
	now := time.Now()
	g.stopState.runtimes.Record(now, q.runtimeKey(away), now.Sub(start))
}

// rejectForStop rejects a request that isn't expected to end before the node stops.
func (g *Gateway) rejectForStop(q *request) Verdict {
	g.countStopRejection(stopAtSend)
	return q.reject(nodeStopping, stopRetryAfter)
}

// answerStopping answers a request that came too late in the stop of the node.
func (g *Gateway) answerStopping(w http.ResponseWriter, id string, step stopRejection) {
	g.countStopRejection(step)
	g.answerError(w, id, http.StatusServiceUnavailable, stopRetryAfter, nodeStopping)
}

func (g *Gateway) countStopRejection(step stopRejection) {
	g.stopState.rejected.Add(1)
	g.metrics.stopRejections[step].Inc(1)
}

// endForStop records that the end of the grace period ended a request, with or without an answer.
func (g *Gateway) endForStop(q *request) {
	ran := time.Since(q.arrived)
	g.stopState.ended.Add(1)
	for {
		longest := g.stopState.longest.Load()
		if int64(ran) <= longest || g.stopState.longest.CompareAndSwap(longest, int64(ran)) {
			break
		}
	}
	g.metrics.endedByStop.RecordDuration(ran)
}

// stop carries out the planned stop: the node is no longer returned to callers, serves requests
// that still arrive for a while, and waits for the requests in flight.
func (g *Gateway) stop(servers []*jwrest.Server) {
	start := time.Now()
	g.stopStartedAt.Store(int64(start.Sub(g.startTime)))
	g.stopping.Store(true)
	g.members.Serve(start, false)
	g.reregister()
	g.Log.Info("stopping", "inFlight", g.inFlight.Load())
	g.announceStop(start)
	for _, s := range servers {
		s.Drain()
	}
	late := time.AfterFunc(g.linger(), g.stopState.late.Raise)
	defer late.Stop()
	g.awaitRequests(start, g.grace)
	inFlight := g.inFlight.Load()
	g.graceOver.Store(true)
	g.stopState.over.Raise()
	g.awaitRequests(start, func() time.Duration { return g.shareOfGrace(endedShare) })
	g.Log.Info("stop complete", "inFlight", inFlight, "after", time.Since(start).String(), "rejected", g.stopState.rejected.Load(),
		"ended", g.stopState.ended.Load(), "longestMs", time.Duration(g.stopState.longest.Load()).Milliseconds())
}

// awaitRequests waits until no new requests are taken and none are in flight, or until the stop has lasted for limit.
func (g *Gateway) awaitRequests(start time.Time, limit func() time.Duration) {
	for time.Since(start) < limit() {
		if g.rejectsNewRequests() && g.inFlight.Load() == 0 {
			return
		}
		time.Sleep(stopStep)
	}
}

// stopPeers returns the nodes to which this one reports its stop at once: all nodes or, in a large
// region, the relays, which report it to the others.
func (g *Gateway) stopPeers(now time.Time) []jwmember.Member {
	if !g.members.Large(now, g.Settings.Region) {
		return g.members.Peers(now)
	}
	list := g.members.OtherRelays(now, g.Settings.Region)
	if m, ok := g.members.Relay(now, g.Settings.DataCentre); ok {
		list = append(list, m)
	}
	return list
}

// announceStop reports to the stopPeers at once that this node stops. It includes peers with an
// exchange in flight, because that has sent the state before the stop.
func (g *Gateway) announceStop(now time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
	var wg sync.WaitGroup
	for _, m := range g.stopPeers(now) {
		body, err := json.Marshal(g.state(now, m.Region))
		if err != nil {
			g.Log.Error(err, "failed to encode the state")
			continue
		}
		wg.Go(func() { g.exchangeState(ctx, m, body) })
	}
	go func() {
		wg.Wait()
		cancel()
	}()
}
