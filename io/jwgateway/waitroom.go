package jwgateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"jujubewheel/core/jwadmission"
	"jujubewheel/core/jwclock"
	"jujubewheel/core/jwinstance"
	"jujubewheel/core/jwwaitroom"
	"jujubewheel/io/jwsettings"
)

// While no usable target has room for this node, a request under overload control waits in the
// node. Each time that a target may have got room, the first requests in order get their turn and
// are placed again, with the choice of the region. A request that has reached a target does not
// wait: its caller waits for the rest of a stream, or its retry is paid for.

const (
	// maxWaiting limits the number of requests that wait in a node.
	maxWaiting = 4096
	// roomMemoryShare is the share of the node's memory that waiting requests may take, and
	// defaultRoomMemory the limit if the settings give no memory.
	roomMemoryShare   = 0.25
	defaultRoomMemory = 32 << 20
	// waitingOverhead is the memory of a waiting request besides its body: a connection, its
	// goroutine and the headers.
	waitingOverhead = 16 << 10
	// maxWaitShare is the share of its goal that a request waits at most. Later it would begin late,
	// as its prompt must still be read.
	maxWaitShare = 0.5
	// turnInterval is the time between two turns without any other event. It covers targets that
	// get room by time alone, such as one whose backoff ends.
	turnInterval = 50 * time.Millisecond
	// callEndTurns and reportTurns are how many requests get their turn after a call has ended, and
	// after a report of another node: more than one, as the first may be bound to few targets.
	callEndTurns = 2
	reportTurns  = 4
)

// stepWait is the step in the decision log of a request that has waited.
const stepWait = "wait"

// Outcomes of a wait in the decision log.
const (
	waitPlaced    = "placed"
	waitForwarded = "forwarded"
	waitDropped   = "dropped"
	waitLeft      = "callerGone"
)

// turn is the place of a request in the waiting room.
type turn struct {
	ticket *jwwaitroom.Ticket
	since  time.Time
	ahead  int // requests that went before it when it came
}

// prepareRoom sets the limits of the waiting room.
func (g *Gateway) prepareRoom() {
	g.room.MaxRequests, g.room.MaxBytes = maxWaiting, defaultRoomMemory
	if m := g.Settings.Gateway.MemoryBytes; m > 0 {
		g.room.MaxBytes = int64(roomMemoryShare * float64(m))
	}
}

// reportInterval returns the time between two reports of another node of the region.
func (g *Gateway) reportInterval() time.Duration {
	now := time.Now()
	if g.members.Large(now, g.Settings.Region) {
		return g.relayExchangeInterval(now)
	}
	return exchangeIntervalFor(g.members.Count(now, g.Settings.Region) - 1)
}

// waitsForRoom reports whether a request waits while no target has room for it.
func (g *Gateway) waitsForRoom(q *request) bool {
	return g.waitingRoomOn() && q.Prompt.Tokens > 0 && q.attempts == 0 && !q.answerStarted && !q.mixed && g.controlsOverload(q.service)
}

func (g *Gateway) waitingRoomOn() bool {
	return g.Settings.Gateway.WaitingRoom == jwsettings.WaitAtNode && g.Settings.Gateway.Overload.Enabled()
}

// sendOrWait sends a request once, after it has waited for room if it may wait.
func (g *Gateway) sendOrWait(ctx context.Context, q *request) Verdict {
	defer g.leaveRoom(q, waitDropped)
	for {
		v := g.send(ctx, q)
		if v != waiting {
			return v
		}
		if reason := g.awaitTurn(ctx, q); reason != jwwaitroom.None {
			if ctx.Err() == nil {
				g.observePressure(time.Now(), q)
			}
			return q.reject(string(reason), g.roomRetryAfter(q, reason))
		}
	}
}

// bestWithRoom returns the best target. wait is set if the request must wait for it: no usable
// target has room, or requests that go before it wait.
func (g *Gateway) bestWithRoom(now time.Time, q *request, n jwinstance.Need) (c jwinstance.Choice, ok, wait bool) {
	if !g.waitsForRoom(q) {
		c, ok = g.targets.Best(now, n)
		return c, ok, false
	}
	if q.turn == nil {
		if ahead, _ := g.room.Ahead(q.service, g.rank(q), 0); ahead > 0 {
			return c, false, true
		}
	}
	n.OnlyWithRoom = true
	if c, ok = g.targets.Best(now, n); ok {
		g.leaveRoom(q, waitPlaced)
		return c, true, false
	}
	n.OnlyWithRoom = false
	_, usable := g.targets.Peek(now, n)
	return c, false, usable || g.readyInTime(now, q, n)
}

// readyInTime reports whether a request for which no target is usable may wait until one is again.
func (g *Gateway) readyInTime(now time.Time, q *request, n jwinstance.Need) bool {
	if !g.waitsForRoom(q) || !q.forwarded && !q.homes.Allows(g.Settings.Region) {
		return false
	}
	at, ok := g.targets.ReadyAt(now, n)
	return ok && at.Before(g.latestStart(q))
}

// awaitTurn waits until it is the request's turn and returns None, or the reason why it waits no
// longer.
func (g *Gateway) awaitTurn(ctx context.Context, q *request) jwwaitroom.Reason {
	now := time.Now()
	if q.turn == nil {
		ahead, _ := g.room.Ahead(q.service, g.rank(q), 0)
		ticket, reason := g.room.Enter(now, jwwaitroom.Request{
			Service: q.service, Priority: g.rank(q), LatestStart: g.latestStart(q), Bytes: int64(len(q.body.buffered)) + waitingOverhead,
		})
		if reason != jwwaitroom.None {
			g.metrics.room.drop(reason)
			return reason
		}
		q.turn = &turn{ticket, now, ahead}
	} else if reason := g.room.Return(now, q.turn.ticket); reason != jwwaitroom.None {
		return reason
	}
	t := q.turn.ticket
	expiry := time.NewTimer(time.Until(t.LatestStart))
	defer expiry.Stop()
	for {
		select {
		case reason := <-t.Signal():
			// The targets' state from before a pause of the process says nothing of their room.
			if reason == jwwaitroom.None && !g.pauseDetector.Valid() {
				if reason = g.room.Return(time.Now(), t); reason == jwwaitroom.None {
					continue
				}
			}
			return reason
		case <-expiry.C:
			return jwwaitroom.Expired
		case <-ctx.Done():
			g.leaveRoom(q, waitLeft)
			return jwwaitroom.Expired
		}
	}
}

// latestStart returns until when a request may wait: as long as the answer can begin before the
// deadline, and no longer than its share of the goal, counted from when the caller's request came.
func (g *Gateway) latestStart(q *request) time.Time {
	latest := q.deadline.Add(-g.targets.ReadTime(q.service, 0, q.Prompt.Tokens))
	if q.entry.Goal > 0 {
		if byGoal := q.arrived.Add(time.Duration(maxWaitShare*float64(q.entry.Goal)) - q.waitedBefore); byGoal.Before(latest) {
			return byGoal
		}
	}
	return latest
}

// leaveRoom ends the wait of a request, if it waits, with an outcome.
func (g *Gateway) leaveRoom(q *request, outcome string) {
	t := q.turn
	if t == nil {
		return
	}
	q.turn = nil
	now := time.Now()
	g.room.Leave(now, t.ticket, outcome == waitPlaced)
	waited := now.Sub(t.since)
	q.waitedInRoom = waited
	g.metrics.room.recordWait(g.rank(q), waited)
	d := q.newDecision(stepWait)
	d.Outcome, d.Waited, d.Waiting, d.Prompt = outcome, waited, t.ahead, q.Prompt.Tokens
	d.LoadAge, _ = g.targets.RoomAge(now)
	d.DropFirst = outcome == waitPlaced
	if outcome == waitDropped {
		d.Reason = q.lastReason
	}
	g.Decisions.Write(&d)
}

// roomRetryAfter returns the Retry-After of a request that the room has not taken or has dropped: the
// expected wait, and at least the goal, as the queue it could not outwait is not gone before.
func (g *Gateway) roomRetryAfter(q *request, reason jwwaitroom.Reason) time.Duration {
	if q.turn != nil {
		g.metrics.room.drop(reason)
	}
	if reason == jwwaitroom.Stopping {
		return stopRetryAfter
	}
	_, wait := g.room.Ahead(q.service, g.rank(q), 0)
	return min(max(wait, q.entry.Goal, jwadmission.MinRetryAfter), jwadmission.MaxRetryAfter)
}

// roomWait returns how long a request is expected to wait in the room.
func (g *Gateway) roomWait(q *request) time.Duration {
	if q.turn != nil || !g.waitsForRoom(q) {
		return 0
	}
	_, wait := g.room.Ahead(q.service, g.rank(q), 0)
	return wait
}

// serviceRoomWait returns how long the least urgent request of a service is expected to wait.
func (g *Gateway) serviceRoomWait(service string) time.Duration {
	if !g.waitingRoomOn() || !g.controlsOverload(service) {
		return 0
	}
	const leastUrgent = 1 << 30
	_, wait := g.room.Ahead(service, leastUrgent, 0)
	return wait
}

// offerTurn gives the first waiting requests of a service their turn after a call has ended.
func (g *Gateway) offerTurn(service string) {
	if g.waitingRoomOn() {
		g.room.Offer(time.Now(), service, callEndTurns)
	}
}

// offerAll gives the first waiting requests of all services their turn after a report was merged.
func (g *Gateway) offerAll(now time.Time) {
	if g.waitingRoomOn() {
		g.room.OfferAll(now, reportTurns)
	}
}

// runRoom gives waiting requests their turn periodically until ctx ends. Once the node is stopping
// and takes no new requests, those that wait are rejected too: other nodes serve them.
func (g *Gateway) runRoom(ctx context.Context) {
	if !g.waitingRoomOn() {
		return
	}
	updated := time.Time{}
	for ctx.Err() == nil {
		now := time.Now()
		if g.rejectsNewRequests() {
			g.room.DropAll(jwwaitroom.Stopping)
		}
		g.room.Expire(now)
		g.room.OfferAll(now, reportTurns)
		if now.Sub(updated) >= gaugeInterval {
			updated = now
			g.metrics.room.update(g.room.Load())
		}
		jwclock.Sleep(ctx, turnInterval)
	}
}

// setWaited sets the header with how long ago the caller's request came, for the node that it is
// forwarded to.
func (g *Gateway) setWaited(h http.Header, q *request) {
	delete(h, headerWaited)
	if q.entry.Goal > 0 && g.controlsOverload(q.service) {
		h[headerWaited] = []string{strconv.FormatInt((q.waitedBefore + time.Since(q.arrived)).Milliseconds(), 10)}
	}
}
