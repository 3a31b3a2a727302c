package jwgateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"jujubewheel/core/jwclock"
	"jujubewheel/core/jwinstance"
	"jujubewheel/core/jwmember"
	"jujubewheel/core/jwstore"
)

const (
	// maxRelayRead is how long a node that starts in a large region waits for a relay that reads the
	// store, before it reads all targets itself.
	maxRelayRead = 10 * time.Second
	// maxWaitWithoutStore is the same for a relay that can't reach the store. ownReadSpread, for each
	// node of the region, is the time over which its nodes' own reads are spread.
	maxWaitWithoutStore = 1500 * time.Millisecond
	ownReadSpread       = 30 * time.Millisecond
	// relayPullPause is the pause between two of these attempts.
	relayPullPause = 100 * time.Millisecond
)

// fullRead is what a read of all keys has returned so far.
type fullRead struct {
	start            time.Time        // before the first page
	revision         jwstore.Revision // from which on changes are read: of the first page, or of the relay's view
	pageRevision     jwstore.Revision // of the first page
	targets          map[string]bool
	facts            map[string]bool // keys that jwfact.Table keeps
	config           *jwstore.Item   // kept for the end of the read, nil if there is none
	fleet            *jwstore.Item
	targetsAsked     bool // a relay was asked for the targets
	targetsFromRelay bool
}

// readAll reads all keys page by page and removes what is no longer in the store. In a large region
// the targets, which are most of the data, come from a relay.
func (w *storeWatcher) readAll(ctx context.Context) error {
	r := &fullRead{start: time.Now(), targets: map[string]bool{}, facts: map[string]bool{}}
	last := ""
	for {
		p, err := w.g.Feed.Range(ctx, "", last)
		now := w.noteStoreCall(ctx, err)
		if err != nil {
			return err
		}
		if r.revision == 0 {
			r.revision, r.pageRevision = p.Revision, p.Revision
		}
		w.applyPage(now, p, r)
		if !p.More {
			break
		}
		last = p.Items[len(p.Items)-1].Key
		// The registrations of targets sort after all other keys.
		if _, ok := w.g.Records.TargetID(last); ok && !r.targetsAsked {
			r.targetsAsked = true
			if err := w.meetNodes(ctx, r); err != nil {
				return err
			}
			if w.pullTargetsFromRelay(ctx, r) {
				break
			}
		}
	}
	w.finishRead(time.Now(), r)
	return nil
}

// meetNodes registers this node and reads the registrations of the others, if it knows none from
// which it could take the targets. When all nodes of a fleet start for the first time, or after they
// were down for longer than their leases, none is registered, and each would read all targets itself.
func (w *storeWatcher) meetNodes(ctx context.Context, r *fullRead) error {
	if _, ok := w.g.members.StartSource(time.Now(), directReaders); ok || r.facts[nodePrefix+w.g.members.Local().Name] {
		return nil
	}
	w.g.registerEarly(ctx)
	for last := ""; ; {
		p, err := w.g.Feed.Range(ctx, nodePrefix, last)
		now := w.noteStoreCall(ctx, err)
		if err != nil {
			return err
		}
		w.applyPage(now, p, r)
		if !p.More {
			return nil
		}
		last = p.Items[len(p.Items)-1].Key
	}
}

// applyPage applies all keys of a page but the first configuration of the node, so that requests that
// wait for it find targets when it is in force.
func (w *storeWatcher) applyPage(now time.Time, p jwstore.Page, r *fullRead) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, i := range p.Items {
		if w.g.Records.IsConfig(i.Key) {
			w.applyConfigItem(now, &i, r)
			continue
		}
		if id, ok := w.g.Records.TargetID(i.Key); ok {
			r.targets[id] = true
		} else {
			r.facts[i.Key] = true
		}
		if i.Key == fleetSizeKey {
			r.fleet = &i // applied after the nodes, which it is compared with
			continue
		}
		w.applyItem(now, &i)
	}
}

// applyConfigItem puts the configuration of a page into force at once, unless it is the first one: the
// rest of the read may take seconds.
func (w *storeWatcher) applyConfigItem(now time.Time, i *jwstore.Item, r *fullRead) {
	if w.g.entries.Current() == nil {
		r.config = i
		return
	}
	w.applyItem(now, i)
	w.g.entries.Confirm(w.g.entries.Version(), r.start)
}

// applyItem applies a stored key, unless it is nil.
func (w *storeWatcher) applyItem(now time.Time, i *jwstore.Item) {
	if i != nil {
		w.applyChange(now, jwstore.Event{Key: i.Key, Value: i.Value, Revision: i.Version}, fromAllKeys)
	}
}

// finishRead removes what is no longer in the store and puts the configuration into force.
func (w *storeWatcher) finishRead(now time.Time, r *fullRead) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !r.targetsFromRelay {
		w.g.targets.RemoveExcept(now, r.targets, r.revision)
	}
	w.g.applyFacts(now, w.facts.RemoveExcept(now, r.facts, r.pageRevision), fromAllKeys)
	nodes := w.facts.Names(nodePrefix)
	w.g.members.RemoveExcept(now, nodes)
	if !nodes[w.g.members.Local().Name] {
		w.g.reregister()
	}
	w.applyItem(now, r.fleet)
	w.noteStoreRestored(r)
	if r.config != nil {
		w.g.applyConfigAsOf(r.config.Value, fromAllKeys, r.config.Version, r.start)
	}
	w.g.entries.Confirm(w.g.entries.Version(), r.start)
	w.g.registrationsRead(now)
	w.g.storeReadEnded.Store(int64(now.Sub(w.g.startTime)))
	w.revision, w.lastRevision = r.revision, r.revision
	w.g.store.revision.Store(r.revision)
	if w.g.fullReadDone.CompareAndSwap(false, true) {
		close(w.firstRead)
		for _, in := range w.g.targets.Known(now) {
			w.g.logTarget(in, jwinstance.Appeared)
		}
	}
	w.g.pauseDetector.Reset()
	w.g.Log.Info("read all keys of the store", "pageRevision", jwstore.Number(r.pageRevision), "revision", jwstore.Number(r.revision),
		"era", jwstore.Era(r.revision), "targetsFromRelay", r.targetsFromRelay, "nodes", len(nodes), "evacuated", w.g.targets.Evacuated())
}

// pullTargetsFromRelay gets the targets from a relay, if this node starts in a large region and is
// not one of those that read the store for the others. Otherwise all nodes that start at once would
// saturate the store's link, and the smallest nodes their own.
func (w *storeWatcher) pullTargetsFromRelay(ctx context.Context, r *fullRead) bool {
	g := w.g
	start := time.Now()
	spread := rand.N(time.Duration(g.members.Count(start, g.Settings.Region)) * ownReadSpread)
	for now := start; now.Sub(start) < maxRelayRead+spread && ctx.Err() == nil; now = time.Now() {
		if !g.members.Large(now, g.Settings.Region) {
			return false
		}
		m, ok := g.members.StartSource(now, directReaders)
		if !ok {
			return false
		}
		// A view from before the first page has no use, and is as large.
		v, err := w.fetchView(ctx, m.Nodes, g.entries.Version(), r.revision-1, viewWait)
		if err == nil || errors.Is(err, errWithoutStore) {
			g.members.Answered(time.Now(), m.Name)
		}
		if err == nil && g.entries.Current() != nil {
			g.applyViewConfig(v, m.Name)
		}
		switch {
		case errors.Is(err, errWithoutStore):
			if now.Sub(start) >= maxWaitWithoutStore+spread {
				return false
			}
		case ctx.Err() != nil:
			return false
		case err != nil:
			g.Log.Info("failed to fetch the targets from a relay", "peer", m.Name, "error", err.Error())
			g.members.MarkUnreachable(time.Now(), m.Name)
			jwclock.Sleep(ctx, storeCheckStep)
			continue
		case v.Revision >= r.revision && v.Facts == nil:
			return false // of an earlier version of this program
		case v.Revision >= r.revision:
			w.applySourceView(v, m, r)
			return true
		}
		jwclock.Sleep(ctx, relayPullPause)
	}
	return false
}

// applySourceView applies the view of the relay from which a node that starts takes the targets.
func (w *storeWatcher) applySourceView(v view, from jwmember.Member, r *fullRead) {
	w.applyView(time.Now(), v, from.Name)
	r.targetsFromRelay, r.revision = true, v.Revision
}
