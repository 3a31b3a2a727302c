package jwgateway

import (
	"context"
	"sync"
	"time"

	"jujubewheel/core/jwbalance"
	"jujubewheel/core/jwinstance"
	"jujubewheel/core/jwmember"
	"jujubewheel/core/jwstore"
)

// In a region of many nodes each node exchanges state only with the relay of its data centre, and
// the relays exchange state with each other. A relay passes on what all nodes reported, and the
// changes of the store, which it alone reads in its data centre. When the relay fails, is
// unreachable or lags behind, the nodes read the store themselves and the next node becomes the
// relay.

const (
	// relayInterval is the time between two exchanges through a relay, and maxRelayInterval that in the
	// largest regions. From relayIntervalNodes nodes on the interval grows with the region, because a
	// relay serves more nodes.
	relayInterval      = 250 * time.Millisecond
	maxRelayInterval   = 500 * time.Millisecond
	relayIntervalNodes = 40
	// placementReportIntervals is how many intervals a placement is reported through relays: until the
	// next exchange has ended.
	placementReportIntervals = 1.5
	// relayWatchTimeout is how long a relay's watch of the store waits for a change, and
	// relayWatchPause is the pause between two watches. They are shorter than those of other nodes
	// because the nodes of the data centre learn of changes only through the relay. Their sum stays
	// below maxUpstreamReadAge, or relays that take the changes from this one would reject them where
	// nothing changes.
	relayWatchTimeout = 500 * time.Millisecond
	relayWatchPause   = 300 * time.Millisecond
	// maxRelayReadAge is the maximum age of a relay's last store read, and maxRelayReportAge that
	// of its last report, for other nodes to rely on it. Their sum plus the time that a node's own
	// read of the store takes stays below the time within which a change must be in force.
	maxRelayReadAge   = 2 * time.Second
	maxRelayReportAge = 1300 * time.Millisecond
	// stopReportAge is how long a relay reports that a node is stopping.
	stopReportAge = 5 * time.Second
)

// relayReport is the part of a state that is exchanged through relays only.
type relayReport struct {
	FromRelay    bool               `json:"relay,omitempty"`    // the sender is a relay and reports for other nodes too
	WantsChanges bool               `json:"asks,omitempty"`     // the sender asks for changes of the store
	After        jwstore.Revision   `json:"after,omitempty"`    // the revision after which changes are wanted
	Liveness     *jwmember.Liveness `json:"liveness,omitempty"` // sent by a relay to the nodes that report through it
	Stopping     []jwmember.Member  `json:"stopping,omitempty"` // nodes with a planned stop
	Remote       []regionReport     `json:"remote,omitempty"`   // reports about other regions
	Changes      *changes           `json:"changes,omitempty"`
}

// regionReport is what a relay knows about another region.
type regionReport struct {
	Region    string           `json:"region"`
	Age       int64            `json:"age"`  // milliseconds since the region's report
	RoundTrip int64            `json:"trip"` // milliseconds
	Waits     map[string]int64 `json:"waits"`
	Gaps      map[string]int64 `json:"gaps"`
}

// changes are changes of the store as read by a relay.
type changes struct {
	Lost   bool             `json:"lost,omitempty"` // the relay no longer has the changes, or was paused
	To     jwstore.Revision `json:"to"`             // store revision up to which the changes are complete
	Age    int64            `json:"age"`            // milliseconds since the relay read the store
	Events []change         `json:"events,omitempty"`
}

type change struct {
	Key      string           `json:"key"`
	Value    []byte           `json:"value,omitempty"`
	Deleted  bool             `json:"deleted,omitempty"`
	Revision jwstore.Revision `json:"revision"`
}

// relayExchangeInterval returns the time between two exchanges through a relay.
func (g *Gateway) relayExchangeInterval(now time.Time) time.Duration {
	nodes := g.members.Count(now, g.Settings.Region)
	return min(relayInterval*time.Duration(max(nodes, relayIntervalNodes))/relayIntervalNodes, maxRelayInterval)
}

// exchangeViaRelay exchanges state with the relay of this data centre or, if this node is the
// relay, with the other relays of the region.
func (g *Gateway) exchangeViaRelay(ctx context.Context, now time.Time) {
	relay, ok := g.members.Relay(now, g.Settings.DataCentre)
	if !ok {
		return
	}
	me := g.members.Local()
	if relay.Name != me.Name {
		g.exchangeWithRelay(ctx, now, relay, relayReport{WantsChanges: true, After: g.storeWatcher.currentRevision()})
		return
	}
	for _, m := range g.members.OtherRelays(now, g.Settings.Region) {
		if m.Name < me.Name && g.members.RecentlySeen(now, m.Name) {
			continue // of two relays that see each other, the one whose name sorts first starts the exchange
		}
		g.exchangeWithRelay(ctx, now, m, relayReport{FromRelay: true})
	}
	g.exchangeWithUnseen(ctx, now)
}

// exchangeWithUnseen exchanges state, at most once per exchangeInterval, with nodes that this relay
// has not seen recently. Two nodes that don't see each other, for example after one was paused, may
// each consider itself the relay and would otherwise call no other node of their data centre.
func (g *Gateway) exchangeWithUnseen(ctx context.Context, now time.Time) {
	if now.Sub(g.unseenCalledAt) < exchangeInterval {
		return
	}
	g.unseenCalledAt = now
	g.unseenTurn++
	for _, m := range g.members.Unseen(now, g.unseenTurn) {
		g.sendStateTo(ctx, now, m)
	}
}

// exchangeWithRelay sends the state with a relayReport to a node, unless an exchange with it is in
// flight.
func (g *Gateway) exchangeWithRelay(ctx context.Context, now time.Time, m jwmember.Member, report relayReport) {
	if _, busy := g.exchangesInFlight.LoadOrStore(m.Name, true); busy {
		return
	}
	g.sendState(ctx, m, g.relayState(now, m.Name, report))
}

// relayState returns the state to be exchanged through relays.
func (g *Gateway) relayState(now time.Time, to string, report relayReport) state {
	age := time.Duration(placementReportIntervals * float64(g.relayExchangeInterval(now)))
	configAge := g.configAge(now) // before the version, which may then be later and never earlier
	s := state{
		Member: g.members.Local(), Version: g.entries.Version(), ConfigAge: configAge, InSync: !g.store.stale(now),
		Revision: g.store.revision.Load(), Cold: g.targets.ReportCold(now),
		RelayReport: &report, Limits: g.targets.ReportLimits(now, report.FromRelay), Leaving: g.targets.ReportLeaving(),
		Ledger: g.relayedLedger(now, report),
	}
	switch {
	case report.Liveness != nil:
		s.Loads = jwinstance.NewLoadColumns(g.targets.ReportTo(now, to))
		s.Balance = g.balanceStateFor(now, jwbalance.FromRegion)
		s.Placed = jwinstance.NewPlacementColumns(g.targets.PlacementsToRelay(now, age, to, false))
	case report.FromRelay:
		s.Loads = jwinstance.NewLoadColumns(g.targets.ReportToRelay(now))
		s.Balance = g.balanceStateFor(now, jwbalance.FromDataCentre)
		s.Placed = jwinstance.NewPlacementColumns(g.targets.PlacementsToRelay(now, age, to, true))
		s.LocalSeen = g.members.LocalSeen(now)
	default:
		loads, placed := g.targets.ReportSince(now, age)
		s.Balance = g.balanceStateFor(now, jwbalance.FromNode)
		s.Loads, s.Placed = jwinstance.NewLoadColumns(loads), jwinstance.NewPlacementColumns(placed)
	}
	return s
}

// replyState returns the state to answer a node with that sent its own.
func (g *Gateway) replyState(now time.Time, s state) state {
	r := g.replyStateOf(now, s)
	r.Suspects, r.Parts = g.suspects.UpdateFor(s.Member.Name, s.Member.Region, now), g.parts.UpdateFor(s.Member.Name, s.Member.Region, now)
	if s.Ledger == nil && r.RelayReport != nil {
		r.Ledger = nil // the sender gets the ledger when it sends its own
	}
	return r
}

func (g *Gateway) replyStateOf(now time.Time, s state) state {
	switch {
	case s.RelayReport == nil || s.Member.Region != g.Settings.Region:
		return g.state(now, s.Member.Region)
	case s.RelayReport.FromRelay:
		return g.relayState(now, s.Member.Name, relayReport{FromRelay: true})
	}
	if !g.members.IsRelay(now) {
		// The sender mistakes this node for the relay. This node sees few others, so it may only
		// report which nodes run, and not which don't.
		own := g.relayState(now, s.Member.Name, relayReport{})
		own.LocalSeen = g.members.LocalSeen(now)
		return own
	}
	report := g.sharedReport.get(now, g.newSharedReport)
	report.Changes = g.changesFor(now, s.RelayReport)
	return g.relayState(now, s.Member.Name, report)
}

// newSharedReport returns the part of a relay's report that is the same for all its nodes.
func (g *Gateway) newSharedReport(now time.Time) relayReport {
	h := g.members.Liveness(now)
	return relayReport{
		FromRelay: true, Liveness: &h, Stopping: g.members.RecentlyStopping(now, stopReportAge), Remote: g.regions.report(now),
	}
}

// maxSharedReportAge is how long the shared part of a relay's report is used. It is computed from all
// nodes of the fleet, and a relay answers hundreds of them a second.
const maxSharedReportAge = 50 * time.Millisecond

// sharedReport keeps the shared part of a relay's report. The zero value is empty.
type sharedReport struct {
	mu     sync.Mutex
	at     time.Time
	report relayReport
}

// get returns the report, computed by compute if the last one is too old.
func (s *sharedReport) get(now time.Time, compute func(time.Time) relayReport) relayReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	if age := now.Sub(s.at); s.at.IsZero() || age < 0 || age >= maxSharedReportAge {
		s.report, s.at = compute(now), now
	}
	return s.report
}

// changesFor returns the changes of the store that a node asks for, nil if it asks for none.
func (g *Gateway) changesFor(now time.Time, report *relayReport) *changes {
	if !report.WantsChanges {
		return nil
	}
	return g.changesAfter(now, report.After)
}

// changesAfter returns the changes after a revision, if they are still kept.
func (g *Gateway) changesAfter(now time.Time, after jwstore.Revision) *changes {
	age := g.storeReadAge(now)
	events, to, ok := g.recentChanges.After(after)
	if !ok || !g.pauseDetector.Valid() {
		return &changes{Lost: true}
	}
	c := &changes{To: to, Age: age.Milliseconds()}
	for _, e := range events {
		c.Events = append(c.Events, change{e.Key, e.Value, e.Deleted, e.Revision})
	}
	return c
}

// mergeRelayReport merges what a node of this region reported through a relay.
func (g *Gateway) mergeRelayReport(now time.Time, s state) {
	report := s.RelayReport
	if report == nil || s.Member.Region != g.Settings.Region {
		return
	}
	if report.Liveness != nil {
		g.members.MergeLiveness(now, *report.Liveness)
	}
	for _, m := range report.Stopping {
		g.members.MergeStopping(now, m)
	}
	g.regions.mergeRelayed(now, report.Remote)
	if report.Changes != nil {
		g.storeWatcher.applyRelayed(now, report.Changes, s.Member.Name)
	}
}

// remotePeers returns the nodes of another region to exchange state with.
func (g *Gateway) remotePeers(now time.Time, region string) []jwmember.Member {
	if g.members.Large(now, region) {
		if relays := g.members.OtherRelays(now, region); len(relays) > 0 {
			return relays
		}
	}
	if m, ok := g.members.Contact(now, region); ok {
		return []jwmember.Member{m}
	}
	return nil
}

// currentRevision returns the revision up to which the store was read, by this node or by a relay
// for it.
func (w *storeWatcher) currentRevision() jwstore.Revision {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.revision
}

// applyRelayed applies changes that a relay read. If the relay no longer has them or its read
// is too old, this node reads the store itself.
func (w *storeWatcher) applyRelayed(now time.Time, c *changes, from string) {
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
	w.applyChanges(now, c.events(), c.To, from)
	w.g.storeReadAt.Store(int64(now.Sub(w.g.startTime) - age))
}

// events converts the changes to events of the store.
func (c *changes) events() []jwstore.Event {
	events := make([]jwstore.Event, 0, len(c.Events))
	for _, e := range c.Events {
		events = append(events, jwstore.Event{Key: e.Key, Value: e.Value, Deleted: e.Deleted, Revision: e.Revision})
	}
	return events
}

// relayValidFor returns for how long this node may still rely on a relay to read the store for it;
// 0 if it must read itself.
func (w *storeWatcher) relayValidFor(now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.revision == 0 || w.relayedAt.IsZero() {
		return 0
	}
	return max(maxRelayReportAge-now.Sub(w.relayedAt), 0)
}

// followsRelay reports whether this node recently got all changes of the store from a relay.
func (w *storeWatcher) followsRelay(now time.Time) bool {
	if w.relayValidFor(now) > 0 {
		return true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.upstreamReadAt.IsZero() && now.Sub(w.upstreamReadAt) < maxRelayReadAge
}

// waitForRelay waits until the relay may no longer be relied on, at most for d.
func (w *storeWatcher) waitForRelay(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-w.relayUnusable:
	}
}
