package jwgateway

import (
	"context"
	"time"

	"jujubewheel/core/jwinstance"
	"jujubewheel/core/jwmember"
	"jujubewheel/core/jwstore"
)

// In a region of many nodes each speaks to the relay of its data centre only, and the
// relays to each other. A relay tells what it heard of all, and the changes of the
// store, which it alone of its data centre reads. When it dies, is cut off or lags, the
// nodes read the store themselves and the next one becomes the relay.

const (
	// relayPeriod is the time between two exchanges through a relay, mostRelayPeriod that
	// in the largest regions; from relayNodes on it grows, as a relay speaks to more.
	relayPeriod     = 250 * time.Millisecond
	mostRelayPeriod = 500 * time.Millisecond
	relayNodes      = 40
	// relayNews is how long a placement is told through relays, in periods: until the
	// next exchange has ended.
	relayNews = 1.5
	// relayWait and relayPause are how long a relay waits for a change of the store and
	// between two readings: those who hear of it there rely on it.
	relayWait  = time.Second
	relayPause = 300 * time.Millisecond
	// relayAge is how old a relay's last reading may be for others to rely on it, and
	// relayHeard how old its word. Both together, with a reading of one's own, stay below
	// the time that a change has to be in force.
	relayAge   = 2 * time.Second
	relayHeard = 1300 * time.Millisecond
	// stopNews is how long a relay tells that a node stops.
	stopNews = 5 * time.Second
)

// through is what nodes tell each other where they speak through relays.
type through struct {
	Relay    bool              `json:"relay,omitempty"`    // the speaker is a relay and tells for others too
	Asks     bool              `json:"asks,omitempty"`     // for the changes of the store
	After    uint64            `json:"after,omitempty"`    // the revision which these are to follow
	Hearing  *jwmember.Hearing `json:"hearing,omitempty"`  // told by a relay to those who speak through it
	Stopping []jwmember.Member `json:"stopping,omitempty"` // nodes that stop by plan
	Far      []farWord         `json:"far,omitempty"`      // of other regions
	Changes  *changes          `json:"changes,omitempty"`
}

// farWord is what a relay heard of another region.
type farWord struct {
	Region string           `json:"region"`
	Age    int64            `json:"age"`  // milliseconds
	Trip   int64            `json:"trip"` // milliseconds there and back
	Waits  map[string]int64 `json:"waits"`
	Gaps   map[string]int64 `json:"gaps"`
}

// changes are changes of the store as a relay read them.
type changes struct {
	Lost   bool     `json:"lost,omitempty"` // it can't tell them
	To     uint64   `json:"to"`             // the revision that they lead up to
	Age    int64    `json:"age"`            // milliseconds since it read the store
	Events []change `json:"events,omitempty"`
}

type change struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
	Revision uint64 `json:"revision"`
}

// throughPeriod returns the time between two exchanges through a relay.
func (g *Gateway) throughPeriod(now time.Time) time.Duration {
	nodes := g.members.Count(now, g.Settings.Region)
	return min(relayPeriod*time.Duration(max(nodes, relayNodes))/relayNodes, mostRelayPeriod)
}

// exchangeThrough speaks to the relay of the own data centre or, as the relay, to the
// others of the region.
func (g *Gateway) exchangeThrough(ctx context.Context, now time.Time) {
	relay, ok := g.members.Relay(now, g.Settings.DataCentre)
	if !ok {
		return
	}
	me := g.members.Me()
	if relay.Name != me.Name {
		g.speakThrough(ctx, now, relay, through{Asks: true, After: g.follower.at()})
		return
	}
	for _, m := range g.members.Relays(now, g.Settings.Region) {
		if m.Name < me.Name && g.members.Speaks(now, m.Name) {
			continue // of two one begins
		}
		g.speakThrough(ctx, now, m, through{Relay: true})
	}
}

func (g *Gateway) speakThrough(ctx context.Context, now time.Time, m jwmember.Member, t through) {
	if _, busy := g.speaking.LoadOrStore(m.Name, true); busy {
		return
	}
	g.speakOf(ctx, m, g.throughState(now, m.Name, t))
}

// throughState is the state as it is told through relays.
func (g *Gateway) throughState(now time.Time, to string, t through) state {
	news := time.Duration(relayNews * float64(g.throughPeriod(now)))
	s := state{
		Member: g.members.Me(), Version: g.entries.Version(), Sure: !g.store.doubt(now),
		Revision: g.store.revision.Load(), Cold: g.targets.TellCold(now),
		Suspects: g.notices(now, g.Settings.Region, nearNews), Through: &t,
	}
	switch {
	case t.Hearing != nil:
		s.Loads = jwinstance.Columns(g.targets.TellBut(now, to))
		s.Placed = jwinstance.PlaceColumns(g.targets.Retell(now, news, to, false))
	case t.Relay:
		s.Loads = jwinstance.Columns(g.targets.TellRelay(now))
		s.Placed = jwinstance.PlaceColumns(g.targets.Retell(now, news, to, true))
		s.Near = g.members.Near(now)
	default:
		loads, placed := g.targets.TellNews(now, news)
		s.Loads, s.Placed = jwinstance.Columns(loads), jwinstance.PlaceColumns(placed)
	}
	return s
}

// answer returns what a node that told its state is told.
func (g *Gateway) answer(now time.Time, s state) state {
	switch {
	case s.Through == nil || s.Member.Region != g.Settings.Region:
		return g.state(now, s.Member.Region)
	case s.Through.Relay:
		return g.throughState(now, s.Member.Name, through{Relay: true})
	}
	h := g.members.Hearing(now)
	return g.throughState(now, s.Member.Name, through{
		Relay: true, Hearing: &h, Stopping: g.members.Stopping(now, stopNews), Far: g.regions.tell(now), Changes: g.tellChanges(now, s.Through),
	})
}

// tellChanges returns the changes of the store that a node asks for.
func (g *Gateway) tellChanges(now time.Time, t *through) *changes {
	if !t.Asks {
		return nil
	}
	return g.changesAfter(now, t.After)
}

// changesAfter returns the changes after a revision, as far as they are kept.
func (g *Gateway) changesAfter(now time.Time, after uint64) *changes {
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

// heardThrough takes what a node told that speaks through relays.
func (g *Gateway) heardThrough(now time.Time, s state) {
	t := s.Through
	if t == nil || s.Member.Region != g.Settings.Region {
		return
	}
	if t.Hearing != nil {
		g.members.Told(now, *t.Hearing)
	}
	for _, m := range t.Stopping {
		g.members.Learn(now, m)
	}
	g.regions.told(now, t.Far)
	if t.Changes != nil {
		g.follower.relayed(now, t.Changes)
	}
}

// farNodes returns the nodes of another region to speak to.
func (g *Gateway) farNodes(now time.Time, region string) []jwmember.Member {
	if g.members.Crowded(now, region) {
		if relays := g.members.Relays(now, region); len(relays) > 0 {
			return relays
		}
	}
	if m, ok := g.members.Speaker(now, region); ok {
		return []jwmember.Member{m}
	}
	return nil
}

// at returns the revision up to which the store was read, by itself or through a relay.
func (f *follower) at() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision
}

// relayed takes changes that a relay read. What it can't tell, or is late with, the node
// reads itself.
func (f *follower) relayed(now time.Time, c *changes) {
	f.mu.Lock()
	defer f.mu.Unlock()
	age := time.Duration(c.Age) * time.Millisecond
	if c.Lost || f.revision == 0 || c.To < f.revision || age > relayAge {
		f.heard = time.Time{}
		select {
		case f.alone <- struct{}{}:
		default:
		}
		return
	}
	f.heard = now
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
	if f.revision == 0 || f.heard.IsZero() {
		return 0
	}
	return max(relayHeard-now.Sub(f.heard), 0)
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
