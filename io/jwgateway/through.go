package jwgateway

import (
	"context"
	"time"

	"jujubewheel/core/jwinstance"
	"jujubewheel/core/jwmember"
	"jujubewheel/core/jwstore"
)

// In a region of many nodes each exchanges state with the relay of its data centre only, and the
// relays to each other. A relay passes on what all reported, and the changes of the
// store, which it alone of its data centre reads. When it dies, is cut off or lags, the
// nodes read the store themselves and the next one becomes the relay.

const (
	// relayPeriod is the time between two exchanges through a relay, mostRelayPeriod that
	// in the largest regions; from relayNodes on it grows, as a relay serves more.
	relayPeriod      = 250 * time.Millisecond
	maxRelayPeriod   = 500 * time.Millisecond
	relayPeriodNodes = 40
	// placementReportPeriods is how long a placement is reported through relays, in periods: until the
	// next exchange has ended.
	placementReportPeriods = 1.5
	// relayWatchTimeout and relayPause are how long a relay waits for a change of the store and
	// between two readings: those who learn of it there rely on it.
	relayWatchTimeout = time.Second
	relayWatchPause   = 300 * time.Millisecond
	// maxRelayReadAge is how old a relay's last reading may be for others to rely on it, and
	// relaySeenFor how old its report. Both together, with a reading of one's own, stay below
	// the time that a change has to be in force.
	maxRelayReadAge   = 2 * time.Second
	maxRelayReportAge = 1300 * time.Millisecond
	// stopReportAge is how long a relay reports that a node stops.
	stopReportAge = 5 * time.Second
)

// relayReport is what nodes report where they exchange state through relays.
type relayReport struct {
	FromRelay    bool               `json:"relay,omitempty"`    // the sender is a relay and reports for others too
	WantsChanges bool               `json:"asks,omitempty"`     // for the changes of the store
	After        jwstore.Revision   `json:"after,omitempty"`    // the revision which these are to follow
	Liveness     *jwmember.Liveness `json:"liveness,omitempty"` // from a relay to those who report through it
	Stopping     []jwmember.Member  `json:"stopping,omitempty"` // nodes that stop by plan
	Remote       []regionReport     `json:"remote,omitempty"`   // of other regions
	Changes      *changes           `json:"changes,omitempty"`
}

// regionReport is what a relay knows of another region.
type regionReport struct {
	Region    string           `json:"region"`
	Age       int64            `json:"age"`  // milliseconds
	RoundTrip int64            `json:"trip"` // milliseconds there and back
	Waits     map[string]int64 `json:"waits"`
	Gaps      map[string]int64 `json:"gaps"`
}

// changes are changes of the store as a relay read them.
type changes struct {
	Lost   bool             `json:"lost,omitempty"` // it doesn't have them
	To     jwstore.Revision `json:"to"`             // the revision that they lead up to
	Age    int64            `json:"age"`            // milliseconds since it read the store
	Events []change         `json:"events,omitempty"`
}

type change struct {
	Key      string           `json:"key"`
	Value    []byte           `json:"value,omitempty"`
	Deleted  bool             `json:"deleted,omitempty"`
	Revision jwstore.Revision `json:"revision"`
}

// relayExchangePeriod returns the time between two exchanges through a relay.
func (g *Gateway) relayExchangePeriod(now time.Time) time.Duration {
	nodes := g.members.Count(now, g.Settings.Region)
	return min(relayPeriod*time.Duration(max(nodes, relayPeriodNodes))/relayPeriodNodes, maxRelayPeriod)
}

// exchangeViaRelay exchanges state with the relay of the own data centre or, as the relay, to the
// others of the region.
func (g *Gateway) exchangeViaRelay(ctx context.Context, now time.Time) {
	relay, ok := g.members.Relay(now, g.Settings.DataCentre)
	if !ok {
		return
	}
	me := g.members.Me()
	if relay.Name != me.Name {
		g.exchangeWithRelay(ctx, now, relay, relayReport{WantsChanges: true, After: g.storeWatcher.currentRevision()})
		return
	}
	for _, m := range g.members.Relays(now, g.Settings.Region) {
		if m.Name < me.Name && g.members.RecentlySeen(now, m.Name) {
			continue // of two one begins
		}
		g.exchangeWithRelay(ctx, now, m, relayReport{FromRelay: true})
	}
	g.exchangeWithUnseen(ctx, now)
}

// exchangeWithUnseen exchanges state, once a second, with nodes that this relay has not seen lately.
// Two that don't see each other, as after a pause of one, may each take itself for the relay,
// and would call nobody in their data centre.
func (g *Gateway) exchangeWithUnseen(ctx context.Context, now time.Time) {
	if now.Sub(g.unseenCalledAt) < exchangePeriod {
		return
	}
	g.unseenCalledAt = now
	g.unseenTurn++
	for _, m := range g.members.Unseen(now, g.unseenTurn) {
		g.sendStateTo(ctx, now, m)
	}
}

func (g *Gateway) exchangeWithRelay(ctx context.Context, now time.Time, m jwmember.Member, t relayReport) {
	if _, busy := g.exchangesInFlight.LoadOrStore(m.Name, true); busy {
		return
	}
	g.sendState(ctx, m, g.relayState(now, m.Name, t))
}

// relayState is the state as it is reported through relays.
func (g *Gateway) relayState(now time.Time, to string, t relayReport) state {
	age := time.Duration(placementReportPeriods * float64(g.relayExchangePeriod(now)))
	s := state{
		Member: g.members.Me(), Version: g.entries.Version(), InSync: !g.store.stale(now),
		Revision: g.store.revision.Load(), Cold: g.targets.ReportCold(now),
		Suspects: g.suspectNotices(now, g.Settings.Region, localReportAge), RelayReport: &t,
		Limits: g.targets.ReportLimits(now, t.FromRelay), Leaving: g.targets.ReportLeaving(),
	}
	switch {
	case t.Liveness != nil:
		s.Loads = jwinstance.Columns(g.targets.ReportTo(now, to))
		s.Placed = jwinstance.PlaceColumns(g.targets.Relayed(now, age, to, false))
	case t.FromRelay:
		s.Loads = jwinstance.Columns(g.targets.ReportToRelay(now))
		s.Placed = jwinstance.PlaceColumns(g.targets.Relayed(now, age, to, true))
		s.LocalSeen = g.members.LocalSeen(now)
	default:
		loads, placed := g.targets.ReportSince(now, age)
		s.Loads, s.Placed = jwinstance.Columns(loads), jwinstance.PlaceColumns(placed)
	}
	return s
}

// replyState returns the state for a node that sent its own.
func (g *Gateway) replyState(now time.Time, s state) state {
	switch {
	case s.RelayReport == nil || s.Member.Region != g.Settings.Region:
		return g.state(now, s.Member.Region)
	case s.RelayReport.FromRelay:
		return g.relayState(now, s.Member.Name, relayReport{FromRelay: true})
	}
	if !g.members.IsRelay(now) {
		// The sender is wrong about who relays. This node sees few others, and may only say
		// who runs, not who doesn't.
		own := g.relayState(now, s.Member.Name, relayReport{})
		own.LocalSeen = g.members.LocalSeen(now)
		return own
	}
	h := g.members.Liveness(now)
	return g.relayState(now, s.Member.Name, relayReport{
		FromRelay: true, Liveness: &h, Stopping: g.members.Stopping(now, stopReportAge), Remote: g.regions.report(now), Changes: g.changesFor(now, s.RelayReport),
	})
}

// changesFor returns the changes of the store that a node asks for.
func (g *Gateway) changesFor(now time.Time, t *relayReport) *changes {
	if !t.WantsChanges {
		return nil
	}
	return g.changesAfter(now, t.After)
}

// changesAfter returns the changes after a revision, as far as they are kept.
func (g *Gateway) changesAfter(now time.Time, after jwstore.Revision) *changes {
	age := now.Sub(g.startTime) - time.Duration(g.storeReadAt.Load())
	events, to, ok := g.recentChanges.After(after)
	if !ok || !g.pauseDetector.Alive() {
		return &changes{Lost: true}
	}
	c := &changes{To: to, Age: age.Milliseconds()}
	for _, e := range events {
		c.Events = append(c.Events, change{e.Key, e.Value, e.Deleted, e.Revision})
	}
	return c
}

// mergeRelayReport merges what came through a relay.
func (g *Gateway) mergeRelayReport(now time.Time, s state) {
	t := s.RelayReport
	if t == nil || s.Member.Region != g.Settings.Region {
		return
	}
	if t.Liveness != nil {
		g.members.MergeLiveness(now, *t.Liveness)
	}
	for _, m := range t.Stopping {
		g.members.MergeStopping(now, m)
	}
	g.regions.mergeRelayed(now, t.Remote)
	if t.Changes != nil {
		g.storeWatcher.applyRelayed(now, t.Changes)
	}
}

// remotePeers returns the nodes of another region to exchange state with.
func (g *Gateway) remotePeers(now time.Time, region string) []jwmember.Member {
	if g.members.Large(now, region) {
		if relays := g.members.Relays(now, region); len(relays) > 0 {
			return relays
		}
	}
	if m, ok := g.members.Contact(now, region); ok {
		return []jwmember.Member{m}
	}
	return nil
}

// currentRevision returns the revision up to which the store was read, by itself or through a relay.
func (w *storeWatcher) currentRevision() jwstore.Revision {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.revision
}

// applyRelayed takes changes that a relay read. What it doesn't have, or is late with, the node
// reads itself.
func (w *storeWatcher) applyRelayed(now time.Time, c *changes) {
	w.mu.Lock()
	defer w.mu.Unlock()
	age := time.Duration(c.Age) * time.Millisecond
	if c.Lost || w.revision == 0 || c.To < w.revision || age > maxRelayReadAge {
		w.relayedAt = time.Time{}
		select {
		case w.relayUnusable <- struct{}{}:
		default:
		}
		return
	}
	w.relayedAt = now
	w.applyChanges(now, c.events(), c.To)
	w.g.storeReadAt.Store(int64(now.Sub(w.g.startTime) - age))
}

// events returns the changes as a reading of the store brings them.
func (c *changes) events() []jwstore.Event {
	events := make([]jwstore.Event, 0, len(c.Events))
	for _, e := range c.Events {
		events = append(events, jwstore.Event{Key: e.Key, Value: e.Value, Deleted: e.Deleted, Revision: e.Revision})
	}
	return events
}

// relayValidFor returns for how long a relay is still relied on to read the store for this
// node, 0 if none is.
func (w *storeWatcher) relayValidFor(now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.revision == 0 || w.relayedAt.IsZero() {
		return 0
	}
	return max(maxRelayReportAge-now.Sub(w.relayedAt), 0)
}

// waitForRelay waits until a relay may not be relied on any more.
func (w *storeWatcher) waitForRelay(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-w.relayUnusable:
	}
}
