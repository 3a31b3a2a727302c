package jwgateway

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"jujubewheel/core/jwclock"
	"jujubewheel/core/jwinstance"
	"jujubewheel/core/jwmember"
	"jujubewheel/core/jwstore"
)

const (
	// nodePrefix is where nodes register themselves.
	nodePrefix = "jujubewheel/nodes/"
	// fleetKey is where the size of the fleet stands.
	fleetKey = "jujubewheel/fleet"
	// followPause is the wait between two readings of changes. Targets register
	// about once a second each; without it every one would cost a call.
	followPause = 700 * time.Millisecond
	// mostFollowPause and followNodes bound what a large fleet asks of the store, which
	// prices each call: from followNodes on the pause grows with the fleet, so that all
	// together make as many calls. Changes have three seconds to be in force.
	mostFollowPause = 1400 * time.Millisecond
	followNodes     = 40
	// followWait is how long a reading waits for a change. A connection that
	// fell silent is noticed after it.
	followWait = 4 * time.Second
	// followRetry is the wait after a reading that failed.
	followRetry = 300 * time.Millisecond
	// mostRetry bounds what it grows to in a large fleet.
	mostRetry = time.Second
)

// follower keeps the tables as the store has them.
type follower struct {
	g    *Gateway
	lost time.Time // when the store stopped answering, zero while it answers

	mu       sync.Mutex       // held while changes are applied
	revision jwstore.Revision // the changes after it are to be read
	known    jwstore.Revision // the last one, also while everything is to be read anew
	relayAt  time.Time        // when a relay passed changes on last, zero if it can't be relied on
	refused  time.Time        // when a relay that reads the store could not pass its changes on

	evacuated map[string]time.Time // data centres whose evacuation is held, and until when
	alone     chan struct{}        // the relay can't be relied on any more
}

// newFollower returns a follower of a node.
func newFollower(g *Gateway) *follower {
	return &follower{g: g, evacuated: make(map[string]time.Time), alone: make(chan struct{}, 1)}
}

// follow reads all keys once and then their changes, until ctx ends.
func (g *Gateway) follow(ctx context.Context) {
	f := g.follower
	known := g.epoch.Load()
	for ctx.Err() == nil {
		f.endHeld(time.Now())
		epoch := g.epoch.Load()
		if epoch != known {
			f.restart() // the node was paused, and its history may be gone
			known = epoch
		}
		if d := f.relies(time.Now()); d > 0 && !g.reads(time.Now()) && epoch.Err() == nil {
			f.rest(epoch, d)
			continue
		}
		seen, err := f.step(epoch)
		if ctx.Err() != nil {
			return
		}
		if epoch.Err() != nil {
			continue
		}
		now := time.Now()
		if err == nil {
			g.viewed.Store(int64(seen.Sub(g.begun)))
			if !f.lost.IsZero() {
				g.Log.Info("store regained", "after", now.Sub(f.lost).String())
				f.lost = time.Time{}
			}
			jwclock.Sleep(epoch, g.followPause(now))
			continue
		}
		if errors.Is(err, jwstore.ErrCompacted) {
			g.Log.Info("store history gone, reading anew", "revision", f.at())
			f.restart()
			g.spreadReading(epoch)
			continue
		}
		if f.lost.IsZero() {
			f.lost = now
			g.Log.Info("store lost", "error", err.Error())
		}
		jwclock.Sleep(epoch, g.retryWait(followRetry)+rand.N(followRetry))
	}
}

// reads reports whether the node reads the store for others.
func (g *Gateway) reads(now time.Time) bool {
	return g.members.IsRelay(now) && g.members.Large(now, g.members.Me().Region)
}

// followPause returns the wait between two readings of changes.
func (g *Gateway) followPause(now time.Time) time.Duration {
	if g.reads(now) {
		return relayPause
	}
	return pauseOf(g.members.Count(now, ""))
}

// pauseOf returns the wait between two readings of changes in a fleet.
func pauseOf(nodes int) time.Duration { return spread(followPause, nodes, mostFollowPause) }

// spread returns a wait between two calls of the store, which from followNodes on grows
// with the fleet up to a bound.
func spread(wait time.Duration, nodes int, most time.Duration) time.Duration {
	return min(wait*time.Duration(max(nodes, followNodes))/followNodes, most)
}

// retryWait returns the wait after a call of the store that failed. The store turns
// whole parts of a fleet away at times, and each call counts, refused ones too.
func (g *Gateway) retryWait(wait time.Duration) time.Duration {
	return spread(wait, g.members.Count(time.Now(), ""), mostRetry)
}

// restart makes the next reading one of everything.
func (f *follower) restart() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision, f.relayAt = 0, time.Time{}
	f.g.recent.Forget()
}

// step reads once, and returns as of when the store was read.
func (f *follower) step(ctx context.Context) (seen time.Time, err error) {
	from := f.at()
	if from == 0 {
		return time.Now(), f.readAll(ctx)
	}
	reads := f.g.reads(time.Now())
	wait := followWait
	if reads {
		wait = relayWait
	}
	if reads {
		if c, ok := f.askUpstream(ctx, from); ok {
			return f.passOn(time.Now(), c, from), nil
		}
	}
	events, revision, err := f.g.Feed.Watch(ctx, "", from, wait)
	now := f.answered(ctx, err)
	if err != nil {
		return now, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := f.take(now, events, revision)
	if reads {
		f.g.recent.Add(changed, from, revision)
	} else {
		f.g.recent.Forget()
	}
	return now, nil
}

// take brings changes into the tables that follow what was read before, up to a
// revision, and returns those that changed something; f.mu is held.
func (f *follower) take(now time.Time, events []jwstore.Event, revision jwstore.Revision) []jwstore.Event {
	changed := events[:0:0]
	for i, e := range events {
		// Each configuration is whole, so that only the last one counts; in quick
		// succession, decoding all of them would hold up requests.
		if e.Revision <= f.revision || f.g.Records.IsConfig(e.Key) && changedAgain(events[i+1:], e.Key) {
			continue
		}
		if f.apply(now, e) {
			changed = append(changed, e)
		}
	}
	f.revision = max(f.revision, revision)
	f.known = f.revision
	f.g.store.revision.Store(f.revision)
	return changed
}

// answered notes how a call of the store ended, before what it brought is taken:
// that lasts, and a target would be asked meanwhile as if the store were away.
func (f *follower) answered(ctx context.Context, err error) time.Time {
	now := time.Now()
	if ctx.Err() == nil {
		f.g.store.called(now, err)
	}
	return now
}

func changedAgain(later []jwstore.Event, key string) bool {
	return slices.ContainsFunc(later, func(e jwstore.Event) bool { return e.Key == key && !e.Deleted })
}

// apply brings one change into the tables and reports whether it changes anything: targets
// register about once a second, and most of it says what they said before.
func (f *follower) apply(now time.Time, e jwstore.Event) bool {
	g := f.g
	if g.Records.IsConfig(e.Key) {
		if !e.Deleted {
			g.takeConfig(e.Value, "store")
		}
		return true
	}
	if dc, ok := g.Records.Evacuation(e.Key); ok {
		delete(f.evacuated, dc)
		g.evacuate(now, dc, !e.Deleted)
		return true
	}
	if id, ok := g.Records.TargetID(e.Key); ok {
		return g.takeTarget(now, id, e)
	}
	if e.Key == fleetKey && !e.Deleted {
		g.takeFleet(now, e.Value)
		return true
	}
	if name, ok := strings.CutPrefix(e.Key, nodePrefix); ok {
		g.takeNode(now, name, e)
		return true
	}
	return false
}

func (g *Gateway) takeTarget(now time.Time, id string, e jwstore.Event) (changed bool) {
	if e.Deleted {
		g.Log.Info("target registration gone", "target", id)
		g.targets.Remove(now, id, e.Revision)
		return true
	}
	in, err := g.Records.Target(id, e.Value)
	if err != nil {
		// Another writer may have left it; it names no target to use.
		g.Log.Info("target not readable", "target", id, "error", err.Error())
		g.targets.Remove(now, id, e.Revision)
		return true
	}
	in.Revision = e.Revision
	change := g.targets.Put(now, in)
	if change == jwinstance.Same {
		return false
	}
	if !g.synced.Load() || !g.targets.Knows(id) {
		return true // thousands of lines at the start of each node, of targets that it never uses
	}
	g.logTarget(in, change)
	return true
}

func (g *Gateway) logTarget(in jwinstance.Instance, change jwinstance.Change) {
	g.Log.Info("target", "target", in.ID, "change", change, "service", in.Service, "dataCentre", in.DataCentre,
		"draining", in.Draining, "coldMs", in.Cold.Milliseconds(), "goneInMs", in.Left.Milliseconds())
}

func (g *Gateway) takeNode(now time.Time, name string, e jwstore.Event) {
	if e.Deleted {
		g.members.Remove(name)
		if name == g.Settings.Node {
			g.reregister()
		}
		return
	}
	var m jwmember.Member
	if err := json.Unmarshal(e.Value, &m); err != nil || m.Name != name {
		g.Log.Info("node registration not readable", "peer", name)
		return
	}
	if name == g.Settings.Node {
		g.members.Listed(now, m)
		g.members.Predecessor(m)
		return
	}
	if g.members.Put(now, m) {
		g.beganAnew(m)
	}
}

// beganAnew drops the connections to the process before: where its host lost
// power, nothing has closed them, and the next request on one would be lost.
func (g *Gateway) beganAnew(m jwmember.Member) {
	if g.Nodes.Kept(m.Nodes) > 0 {
		g.Log.Info("node began anew", "peer", m.Name)
	}
	g.Nodes.Drop(m.Nodes)
}

// keepEvacuated ends all evacuations but those named.
func (g *Gateway) keepEvacuated(now time.Time, dataCentres map[string]bool) {
	for _, dc := range g.targets.Evacuated() {
		if !dataCentres[dc] {
			g.evacuate(now, dc, false)
		}
	}
}

func (g *Gateway) evacuate(now time.Time, dataCentre string, on bool) {
	g.Log.Info("evacuation", "dataCentre", dataCentre, "on", on)
	g.targets.Evacuate(now, dataCentre, on)
}

// takeConfig brings a configuration into force if it is newer.
func (g *Gateway) takeConfig(raw []byte, from string) {
	c, err := g.Records.Config(raw)
	if err != nil {
		g.Log.Error(err, "configuration not readable", "from", from)
		return
	}
	old := g.entries.Version()
	if !g.entries.Put(c) {
		return
	}
	g.Log.Info("configuration in force", "version", c.Version, "before", old, "entries", len(c.Entries), "from", from)
	if old == 0 {
		g.members.Serve(time.Now(), !g.stopping.Load())
		g.reregister()
	}
}
