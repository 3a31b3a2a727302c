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
	relayPeriod     = 250 * time.Millisecond
	mostRelayPeriod = 500 * time.Millisecond
	relayNodes      = 40
	// relayNewsPeriods is how long a placement is reported through relays, in periods: until the
	// next exchange has ended.
	relayNewsPeriods = 1.5
	// relayWait and relayPause are how long a relay waits for a change of the store and
	// between two readings: those who learn of it there rely on it.
	relayWait  = time.Second
	relayPause = 300 * time.Millisecond
	// relayAge is how old a relay's last reading may be for others to rely on it, and
	// relaySeenFor how old its report. Both together, with a reading of one's own, stay below
	// the time that a change has to be in force.
	relayAge     = 2 * time.Second
	relaySeenFor = 1300 * time.Millisecond
	// stopNewsAge is how long a relay reports that a node stops.
	stopNewsAge = 5 * time.Second
)

// through is what nodes report where they exchange state through relays.
type through struct {
	Relay    bool               `json:"relay,omitempty"`    // the sender is a relay and reports for others too
	Asks     bool               `json:"asks,omitempty"`     // for the changes of the store
	After    jwstore.Revision   `json:"after,omitempty"`    // the revision which these are to follow
	Liveness *jwmember.Liveness `json:"liveness,omitempty"` // from a relay to those who report through it
	Stopping []jwmember.Member  `json:"stopping,omitempty"` // nodes that stop by plan
	Remote   []regionReport     `json:"remote,omitempty"`   // of other regions
	Changes  *changes           `json:"changes,omitempty"`
}

// regionReport is what a relay knows of another region.
type regionReport struct {
	Region string           `json:"region"`
	Age    int64            `json:"age"`  // milliseconds
	Trip   int64            `json:"trip"` // milliseconds there and back
	Waits  map[string]int64 `json:"waits"`
	Gaps   map[string]int64 `json:"gaps"`
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

// throughPeriod returns the time between two exchanges through a relay.
func (g *Gateway) throughPeriod(now time.Time) time.Duration {
	nodes := g.members.Count(now, g.Settings.Region)
	return min(relayPeriod*time.Duration(max(nodes, relayNodes))/relayNodes, mostRelayPeriod)
}

// exchangeThrough exchanges state with the relay of the own data centre or, as the relay, to the
// others of the region.
func (g *Gateway) exchangeThrough(ctx context.Context, now time.Time) {
	relay, ok := g.members.Relay(now, g.Settings.DataCentre)
	if !ok {
		return
	}
	me := g.members.Me()
	if relay.Name != me.Name {
		g.exchangeWithRelay(ctx, now, relay, through{Asks: true, After: g.follower.at()})
		return
	}
	for _, m := range g.members.Relays(now, g.Settings.Region) {
		if m.Name < me.Name && g.members.RecentlySeen(now, m.Name) {
			continue // of two one begins
		}
		g.exchangeWithRelay(ctx, now, m, through{Relay: true})
	}
	g.callUnseen(ctx, now)
}

// callUnseen exchanges state, once a second, with nodes that this relay has not seen lately.
// Two that don't see each other, as after a pause of one, may each take itself for the relay,
// and would call nobody in their data centre.
func (g *Gateway) callUnseen(ctx context.Context, now time.Time) {
	if now.Sub(g.unseenAt) < exchangePeriod {
		return
	}
	g.unseenAt = now
	g.unseenTurn++
	for _, m := range g.members.Unseen(now, g.unseenTurn) {
		g.sendStateTo(ctx, now, m)
	}
}

func (g *Gateway) exchangeWithRelay(ctx context.Context, now time.Time, m jwmember.Member, t through) {
	if _, busy := g.exchanging.LoadOrStore(m.Name, true); busy {
		return
	}
	g.sendState(ctx, m, g.throughState(now, m.Name, t))
}

// throughState is the state as it is reported through relays.
func (g *Gateway) throughState(now time.Time, to string, t through) state {
	age := time.Duration(relayNewsPeriods * float64(g.throughPeriod(now)))
	s := state{
		Member: g.members.Me(), Version: g.entries.Version(), InSync: !g.store.stale(now),
		Revision: g.store.revision.Load(), Cold: g.targets.ReportCold(now),
		Suspects: g.notices(now, g.Settings.Region, localNewsAge), Through: &t,
		Limits: g.targets.ReportLimits(now, t.Relay), Leaving: g.targets.ReportLeaving(),
	}
	switch {
	case t.Liveness != nil:
		s.Loads = jwinstance.Columns(g.targets.ReportTo(now, to))
		s.Placed = jwinstance.PlaceColumns(g.targets.Relayed(now, age, to, false))
	case t.Relay:
		s.Loads = jwinstance.Columns(g.targets.ReportToRelay(now))
		s.Placed = jwinstance.PlaceColumns(g.targets.Relayed(now, age, to, true))
		s.LocalSeen = g.members.LocalSeen(now)
	default:
		loads, placed := g.targets.ReportSince(now, age)
		s.Loads, s.Placed = jwinstance.Columns(loads), jwinstance.PlaceColumns(placed)
	}
	return s
}

// answer returns the state for a node that sent its own.
func (g *Gateway) answer(now time.Time, s state) state {
	switch {
	case s.Through == nil || s.Member.Region != g.Settings.Region:
		return g.state(now, s.Member.Region)
	case s.Through.Relay:
		return g.throughState(now, s.Member.Name, through{Relay: true})
	}
	if !g.members.IsRelay(now) {
		// The sender is wrong about who relays. This node sees few others, and may only say
		// who runs, not who doesn't.
		own := g.throughState(now, s.Member.Name, through{})
		own.LocalSeen = g.members.LocalSeen(now)
		return own
	}
	h := g.members.Liveness(now)
	return g.throughState(now, s.Member.Name, through{
		Relay: true, Liveness: &h, Stopping: g.members.Stopping(now, stopNewsAge), Remote: g.regions.report(now), Changes: g.changesFor(now, s.Through),
	})
}

// changesFor returns the changes of the store that a node asks for.
func (g *Gateway) changesFor(now time.Time, t *through) *changes {
	if !t.Asks {
		return nil
	}
	return g.changesAfter(now, t.After)
}

// changesAfter returns the changes after a revision, as far as they are kept.
func (g *Gateway) changesAfter(now time.Time, after jwstore.Revision) *changes {
	age := now.Sub(g.begun) - time.Duration(g.viewed.Load())
	events, to, ok := g.recent.After(after)
	if !ok || !g.pulse.Alive() {
		return &changes{Lost: true}
	}
	c := &changes{To: to, Age: age.Milliseconds()}
	for _, e := range events {
		c.Events = append(c.Events, change{e.Key, e.Value, e.Deleted, e.Revision})
	}
	return c
}

// mergeThrough merges what came through a relay.
func (g *Gateway) mergeThrough(now time.Time, s state) {
	t := s.Through
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
		g.follower.relayed(now, t.Changes)
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

// at returns the revision up to which the store was read, by itself or through a relay.
func (f *follower) at() jwstore.Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision
}

// relayed takes changes that a relay read. What it doesn't have, or is late with, the node
// reads itself.
func (f *follower) relayed(now time.Time, c *changes) {
	f.mu.Lock()
	defer f.mu.Unlock()
	age := time.Duration(c.Age) * time.Millisecond
	if c.Lost || f.revision == 0 || c.To < f.revision || age > relayAge {
		f.relayAt = time.Time{}
		select {
		case f.alone <- struct{}{}:
		default:
		}
		return
	}
	f.relayAt = now
	f.take(now, c.events(), c.To)
	f.g.viewed.Store(int64(now.Sub(f.g.begun) - age))
}

// events returns the changes as a reading of the store brings them.
func (c *changes) events() []jwstore.Event {
	events := make([]jwstore.Event, 0, len(c.Events))
	for _, e := range c.Events {
		events = append(events, jwstore.Event{Key: e.Key, Value: e.Value, Deleted: e.Deleted, Revision: e.Revision})
	}
	return events
}

// relies returns for how long a relay is still relied on to read the store for this
// node, 0 if none is.
func (f *follower) relies(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.revision == 0 || f.relayAt.IsZero() {
		return 0
	}
	return max(relaySeenFor-now.Sub(f.relayAt), 0)
}

// rest waits until a relay may not be relied on any more.
func (f *follower) rest(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-f.alone:
	}
}
