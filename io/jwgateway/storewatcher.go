package jwgateway

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"jujubewheel/core/jwclock"
	"jujubewheel/core/jwfact"
	"jujubewheel/core/jwinstance"
	"jujubewheel/core/jwmember"
	"jujubewheel/core/jwstore"
)

const (
	// nodePrefix is the prefix of the keys under which nodes register themselves.
	nodePrefix = "jujubewheel/nodes/"
	// fleetSizeKey is the key of the size of the fleet.
	fleetSizeKey = "jujubewheel/fleet"
	// minWatchPause is the minimum pause between two watches of the store. Each target registers
	// about once a second, and without the pause each registration would cost a call of the store.
	minWatchPause = 700 * time.Millisecond
	// maxWatchPause and scaleNodes limit how often a large fleet calls the store, which charges for
	// each call. From scaleNodes nodes on the pause grows with the fleet, so that the total number
	// of calls stays constant. It is capped at maxWatchPause because a change must be in force
	// within three seconds.
	maxWatchPause = 1400 * time.Millisecond
	scaleNodes    = 40
	// watchTimeout is how long a watch waits for a change. A connection that no longer delivers
	// anything is detected after this time.
	watchTimeout = 4 * time.Second
	// watchesPerBound is the minimum number of watches that end within the time in which a configuration
	// must be in force. Where nothing changes, a node knows only by their ends that it is current.
	watchesPerBound = 4
	// watchRetry is the wait after a store read that failed.
	watchRetry = 300 * time.Millisecond
	// maxStoreRetry is the maximum wait after a failed call of the store in a large fleet.
	maxStoreRetry = time.Second
)

// storeWatcher reads the store and its changes and applies them to the node's tables.
type storeWatcher struct {
	g         *Gateway
	lostSince time.Time // when the store stopped answering; zero while it answers

	mu               sync.Mutex       // held while changes are applied
	revision         jwstore.Revision // revision up to which the store was read; 0 if all keys must be read
	lastRevision     jwstore.Revision // last revision read, kept also while all keys must be read again
	relayedAt        time.Time        // when a relay last passed changes on; zero if no relay can be relied on
	upstreamFailedAt time.Time        // when a relay that reads the store last failed to pass its changes on
	upstreamReadAt   time.Time        // as of when such a relay's changes were last applied

	facts jwfact.Table // the evacuations, the nodes, the versions of services and the size of the fleet

	fetchView func(ctx context.Context, a netip.AddrPort, version, revision uint64, wait time.Duration) (view, error) // Gateway.fetchView

	relayUnusable chan struct{} // signals that the relay can no longer be relied on
	firstRead     chan struct{} // closed once all keys have been read
}

// newStoreWatcher returns the storeWatcher of a node.
func newStoreWatcher(g *Gateway) *storeWatcher {
	w := &storeWatcher{g: g, fetchView: g.fetchView, relayUnusable: make(chan struct{}, 1), firstRead: make(chan struct{})}
	w.facts.Hold = w.holdFor
	return w
}

// watchStore reads all keys of the store once and then their changes, until ctx ends.
func (g *Gateway) watchStore(ctx context.Context) {
	w := g.storeWatcher
	lastEpoch := g.epoch.Load()
	for ctx.Err() == nil {
		w.endHeldEvacuations(time.Now())
		epoch := g.epoch.Load()
		if epoch != lastEpoch {
			w.resetRevision() // the node was paused, and the store may have dropped the history since
			lastEpoch = epoch
		}
		if d := w.relayValidFor(time.Now()); d > 0 && !g.readsForOthers(time.Now()) && epoch.Err() == nil {
			w.waitForRelay(epoch, d)
			continue
		}
		readAt, err := w.readOnce(epoch)
		if ctx.Err() != nil {
			return
		}
		if epoch.Err() != nil {
			continue
		}
		now := time.Now()
		if err == nil {
			g.storeReadAt.Store(int64(readAt.Sub(g.startTime)))
			g.storeReadEnded.Store(int64(now.Sub(g.startTime)))
			if !w.lostSince.IsZero() {
				g.Log.Info("store regained", "after", now.Sub(w.lostSince).String())
				w.lostSince = time.Time{}
			}
			jwclock.Sleep(epoch, g.watchPause(now))
			continue
		}
		if errors.Is(err, jwstore.ErrCompacted) {
			g.Log.Info("store history gone, reading anew", "revision", w.currentRevision())
			w.resetRevision()
			g.delayFullRead(epoch)
			continue
		}
		if w.lostSince.IsZero() {
			w.lostSince = now
			g.Log.Info("store lost", "error", err.Error())
		}
		jwclock.Sleep(epoch, g.retryWait(watchRetry)+rand.N(watchRetry))
	}
}

// readsForOthers reports whether this node reads the store for the other nodes of its data centre.
func (g *Gateway) readsForOthers(now time.Time) bool {
	return g.members.IsRelay(now) && g.members.Large(now, g.members.Local().Region)
}

// watchPause returns the pause between two watches of the store.
func (g *Gateway) watchPause(now time.Time) time.Duration {
	if g.readsForOthers(now) {
		return relayWatchPause
	}
	return watchPauseFor(g.members.Count(now, ""))
}

// watchPauseFor returns the pause between two watches of the store in a fleet of that size.
func watchPauseFor(nodes int) time.Duration { return scaleWait(minWatchPause, nodes, maxWatchPause) }

// scaleWait returns a wait between two calls of the store. From scaleNodes nodes on the wait grows
// with the fleet, up to maxWait.
func scaleWait(wait time.Duration, nodes int, maxWait time.Duration) time.Duration {
	return min(wait*time.Duration(max(nodes, scaleNodes))/scaleNodes, maxWait)
}

// retryWait returns the wait after a failed call of the store. The store at times rejects the
// calls of a large share of the fleet, and every call counts, rejected ones too.
func (g *Gateway) retryWait(wait time.Duration) time.Duration {
	return scaleWait(wait, g.members.Count(time.Now(), ""), maxStoreRetry)
}

// resetRevision makes the next read one of all keys.
func (w *storeWatcher) resetRevision() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.revision, w.relayedAt = 0, time.Time{}
	w.g.recentChanges.Forget()
}

// readOnce reads the store once, or takes its changes from another relay, and returns the time as
// of which the store was read.
func (w *storeWatcher) readOnce(ctx context.Context) (readAt time.Time, err error) {
	after := w.currentRevision()
	if after == 0 {
		return time.Now(), w.readAll(ctx)
	}
	readsForOthers := w.g.readsForOthers(time.Now())
	wait := watchTimeout
	if readsForOthers {
		wait = relayWatchTimeout
	}
	wait = min(wait, w.g.bounds.Load().ConfigInForce/watchesPerBound)
	if w.g.members.Large(time.Now(), w.g.members.Local().Region) {
		if c, from, ok := w.askUpstream(ctx, after); ok {
			return w.applyUpstream(time.Now(), c, after, readsForOthers, from), nil
		}
	}
	start := time.Now()
	events, revision, err := w.g.Feed.Watch(ctx, "", after, wait)
	now := w.noteStoreCall(ctx, err)
	if err != nil {
		return now, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.applyAndKeep(now, events, after, revision, readsForOthers, fromStore)
	w.g.entries.Confirm(w.g.entries.Version(), watchedUntil(start, now, wait, len(events)))
	return now, nil
}

// watchedUntil returns as of when the result of a watch is known to have all changes. The store answers at
// the first one, and the answer may have taken any part of the time until now.
func watchedUntil(start, now time.Time, wait time.Duration, events int) time.Time {
	if events > 0 {
		return start
	}
	if end := start.Add(wait); end.Before(now) {
		return end
	}
	return now
}

// applyAndKeep applies the changes between two revisions, and keeps them for other nodes if this node
// reads for them. w.mu must be held.
func (w *storeWatcher) applyAndKeep(now time.Time, events []jwstore.Event, after, to jwstore.Revision, readsForOthers bool, source string) {
	// What a view that was applied during the read already had is not applied again, so it isn't kept.
	from := max(after, w.revision)
	changed := w.applyChanges(now, events, to, source)
	if !readsForOthers {
		w.g.recentChanges.Forget()
		return
	}
	w.g.recentChanges.Add(changed, from, w.revision)
}

// applyChanges applies changes up to a revision, which follow those applied before, and returns the
// ones that changed something. w.mu must be held.
func (w *storeWatcher) applyChanges(now time.Time, events []jwstore.Event, revision jwstore.Revision, source string) []jwstore.Event {
	changed := events[:0:0]
	for i, e := range events {
		// Each configuration is complete, so only the last one counts. Decoding every one of a
		// quick succession would delay requests.
		if e.Revision <= w.revision || w.g.Records.IsConfig(e.Key) && hasLaterChange(events[i+1:], e.Key) {
			continue
		}
		if w.applyChange(now, e, source) {
			changed = append(changed, e)
		}
	}
	w.revision = max(w.revision, revision)
	w.lastRevision = w.revision
	w.g.store.revision.Store(w.revision)
	return changed
}

// noteStoreCall records how a call of the store ended. It is called before the result is applied,
// because applying takes a while, during which targets would be probed as if the store were
// unavailable.
func (w *storeWatcher) noteStoreCall(ctx context.Context, err error) time.Time {
	now := time.Now()
	if ctx.Err() == nil {
		w.g.recordStoreCall(now, err)
	}
	return now
}

// hasLaterChange reports whether later events write a key again.
func hasLaterChange(later []jwstore.Event, key string) bool {
	return slices.ContainsFunc(later, func(e jwstore.Event) bool { return e.Key == key && !e.Deleted })
}

// Sources of what a node knows of the store, beside other nodes, in the log.
const (
	fromStore     = "store"    // its changes
	fromAllKeys   = "all keys" // a read of all keys
	fromEndOfHold = "end of its hold"
)

// applyChange applies one change to the tables and reports whether it changed anything. Targets
// register about once a second, and most registrations equal the one before.
func (w *storeWatcher) applyChange(now time.Time, e jwstore.Event, source string) bool {
	g := w.g
	if g.Records.IsConfig(e.Key) {
		if !e.Deleted {
			g.applyConfig(e.Value, source, e.Revision)
		}
		return true
	}
	if id, ok := g.Records.TargetID(e.Key); ok {
		return g.applyTarget(now, id, e)
	}
	if !g.isFact(e.Key) || !w.facts.Apply(e) {
		return false
	}
	g.applyFact(now, e, source)
	return true
}

// isFact reports whether a key is one that jwfact.Table keeps.
func (g *Gateway) isFact(key string) bool {
	_, evacuation := g.Records.Evacuation(key)
	return evacuation || key == fleetSizeKey || key == versionsKey || strings.HasPrefix(key, nodePrefix)
}

// applyFact applies a change of one of these keys to the tables.
func (g *Gateway) applyFact(now time.Time, e jwstore.Event, source string) {
	if dc, ok := g.Records.Evacuation(e.Key); ok {
		g.setEvacuated(now, dc, !e.Deleted, source, e.Revision)
		return
	}
	if name, ok := strings.CutPrefix(e.Key, nodePrefix); ok {
		g.applyNode(now, name, e)
		return
	}
	switch {
	case e.Deleted: // the last value stays
	case e.Key == fleetSizeKey:
		g.applyFleetSize(now, e.Value)
	case e.Key == versionsKey:
		g.applyStoredVersions(e.Value)
	}
}

// applyFacts applies changes that jwfact.Table returned. The size of the fleet comes last, because it is
// compared with the nodes.
func (g *Gateway) applyFacts(now time.Time, changes []jwstore.Event, source string) {
	for _, fleet := range []bool{false, true} {
		for _, e := range changes {
			if (e.Key == fleetSizeKey) == fleet {
				g.applyFact(now, e, source)
			}
		}
	}
}

// applyTarget applies a change of a target's registration. A change that another source brought before
// counts as one: the nodes that follow this one may lack it.
func (g *Gateway) applyTarget(now time.Time, id string, e jwstore.Event) (changed bool) {
	if e.Deleted {
		g.Log.Info("target registration gone", "target", id)
		g.targets.Remove(now, id, e.Revision)
		return true
	}
	in, err := g.Records.Target(id, e.Value)
	if err != nil {
		// Another writer may have written it; it describes no usable target.
		g.Log.Info("target not readable", "target", id, "error", err.Error())
		g.targets.Remove(now, id, e.Revision)
		return true
	}
	in.Revision = e.Revision
	knownBefore := g.targets.RevisionOf(id) >= e.Revision
	change := g.targets.Put(now, in)
	if change == jwinstance.Unchanged {
		return knownBefore
	}
	if !g.fullReadDone.Load() || !g.targets.Knows(id) {
		return true // otherwise each node would log thousands of lines at its start, about targets that it never uses
	}
	g.logTarget(in, change)
	return true
}

func (g *Gateway) logTarget(in jwinstance.Instance, change jwinstance.Change) {
	g.Log.Info("target", "target", in.ID, "change", change, "service", in.Service, "dataCentre", in.DataCentre,
		"draining", in.Draining, "coldMs", in.Cold.Milliseconds(), "goneInMs", in.RemainingTime.Milliseconds())
}

// applyNode applies a change of a node's registration.
func (g *Gateway) applyNode(now time.Time, name string, e jwstore.Event) {
	if e.Deleted {
		g.members.Remove(name)
		if name == g.Settings.Node {
			g.reregister()
		}
		return
	}
	var m jwmember.Member
	if err := json.Unmarshal(e.Value, &m); err != nil || m.Name != name {
		g.Log.Info("failed to decode a node's registration", "peer", name)
		return
	}
	if name == g.Settings.Node {
		g.members.RegistrationRead(now, m)
		g.members.Predecessor(m)
		return
	}
	if g.members.Put(now, m) {
		g.dropOldConnections(m)
	}
}

// dropOldConnections drops the connections to the previous process of a node. If its host lost
// power, nothing has closed them, and the next request on one would be lost.
func (g *Gateway) dropOldConnections(m jwmember.Member) {
	if g.Nodes.IdleCount(m.Nodes) > 0 {
		g.Log.Info("node began anew", "peer", m.Name)
	}
	g.Nodes.CloseIdle(m.Nodes)
}

// setEvacuated starts or ends the evacuation of a data centre, as a source had it at a revision.
func (g *Gateway) setEvacuated(now time.Time, dataCentre string, active bool, source string, revision jwstore.Revision) {
	if g.targets.Evacuate(now, dataCentre, active) {
		g.Log.Info("evacuation", "dataCentre", dataCentre, "on", active, "from", source, "revision", jwstore.Number(revision),
			"era", jwstore.Era(revision), "ownRevision", jwstore.Number(g.store.revision.Load()))
	}
}

// applyConfig puts a configuration into force if it is newer than the current one. revision is the
// store's at which the source had it.
func (g *Gateway) applyConfig(raw []byte, source string, revision jwstore.Revision) {
	g.applyConfigAsOf(raw, source, revision, time.Time{})
}

// applyConfigAsOf is applyConfig for a configuration that was the newest as of a time, zero if unknown.
func (g *Gateway) applyConfigAsOf(raw []byte, source string, revision jwstore.Revision, asOf time.Time) {
	c, err := g.Records.Config(raw)
	if err != nil {
		g.Log.Error(err, "failed to decode the configuration", "from", source)
		return
	}
	oldVersion := g.entries.Version()
	if !g.entries.PutAsOf(c, asOf) {
		return
	}
	g.Log.Info("configuration in force", "version", c.Version, "before", oldVersion, "entries", len(c.Entries), "from", source,
		"revision", jwstore.Number(revision), "ownRevision", jwstore.Number(g.store.revision.Load()),
		"storeAgeMs", g.storeReadAge(time.Now()).Milliseconds())
	if oldVersion == 0 {
		g.members.Serve(time.Now(), !g.stopping.Load())
		g.reregister()
	}
}
