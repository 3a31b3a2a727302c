package jwgateway

import (
	"context"
	"strings"
	"time"

	"jujubewheel/core/jwclock"
	"jujubewheel/core/jwinstance"
	"jujubewheel/core/jwstore"
)

const (
	// relayPatience is how long a node that starts in a large region asks its relay for
	// the targets before it reads them all itself.
	relayPatience = 1500 * time.Millisecond
	// relayRetry is the wait between two of these questions.
	relayRetry = 100 * time.Millisecond
)

// reading is what a reading of everything has brought so far.
type reading struct {
	revision jwstore.Revision // of the first page
	targets  map[string]bool
	nodes    map[string]bool
	evacuate map[string]bool
	config   *jwstore.Item
	fleet    *jwstore.Item
	pulled   bool // the targets came from the relay
}

// readAll reads everything, page by page; what is not there any more is gone. In a
// large region the relay knows the targets, which are most of it.
func (f *follower) readAll(ctx context.Context) error {
	r := &reading{targets: map[string]bool{}, nodes: map[string]bool{}, evacuate: map[string]bool{}}
	last := ""
	for {
		p, err := f.g.Feed.Range(ctx, "", last)
		now := f.answered(ctx, err)
		if err != nil {
			return err
		}
		if r.revision == 0 {
			r.revision = p.Revision
		}
		f.takePage(now, p, r)
		if !p.More {
			break
		}
		last = p.Items[len(p.Items)-1].Key
		// The registrations of targets come after all others.
		if _, ok := f.g.Records.TargetID(last); ok && f.pullTargets(ctx, r) {
			break
		}
	}
	f.finish(time.Now(), r)
	return nil
}

// takePage brings a page into the tables, but for the configuration: requests that wait
// for the first one find targets then.
func (f *follower) takePage(now time.Time, p jwstore.Page, r *reading) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, i := range p.Items {
		if f.g.Records.IsConfig(i.Key) {
			r.config = &i
			continue
		}
		if i.Key == fleetKey {
			r.fleet = &i // after the nodes, which it is compared with
			continue
		}
		f.applyItem(now, &i)
		if id, ok := f.g.Records.TargetID(i.Key); ok {
			r.targets[id] = true
		}
		if name, ok := strings.CutPrefix(i.Key, nodePrefix); ok {
			r.nodes[name] = true
		}
		if dc, ok := f.g.Records.Evacuation(i.Key); ok {
			r.evacuate[dc] = true
		}
	}
}

func (f *follower) applyItem(now time.Time, i *jwstore.Item) {
	if i != nil {
		f.apply(now, jwstore.Event{Key: i.Key, Value: i.Value, Revision: i.Version})
	}
}

// finish drops what is gone and brings the configuration into force.
func (f *follower) finish(now time.Time, r *reading) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !r.pulled {
		f.g.targets.Keep(now, r.targets, r.revision)
	}
	f.g.members.Keep(now, r.nodes)
	if !r.nodes[f.g.members.Me().Name] {
		f.g.reregister()
	}
	f.noteEra(now, r)
	for dc := range f.evacuated {
		r.evacuate[dc] = true
	}
	f.g.keepEvacuated(now, r.evacuate)
	f.applyItem(now, r.fleet)
	f.applyItem(now, r.config)
	f.revision, f.known = r.revision, r.revision
	f.g.store.revision.Store(r.revision)
	if f.g.synced.CompareAndSwap(false, true) {
		for _, in := range f.g.targets.Known(now) {
			f.g.logTarget(in, jwinstance.Appeared)
		}
	}
	f.g.pulse.Begin()
}

// pullTargets takes the targets from the relay of the data centre, if there is one that
// this node reports through; all nodes that start at once would fill the store's link and
// the smallest of their own with them.
func (f *follower) pullTargets(ctx context.Context, r *reading) bool {
	g := f.g
	begun := time.Now()
	for now := begun; now.Sub(begun) < relayPatience && ctx.Err() == nil; now = time.Now() {
		if !g.members.Large(now, g.Settings.Region) || g.members.Leads(now) {
			return false
		}
		if m, ok := g.members.Relay(now, g.Settings.DataCentre); ok {
			b, err := g.askView(ctx, m.Nodes, g.entries.Version(), 0)
			if err == nil && b.Revision >= r.revision {
				g.take(time.Now(), b, m.Nodes)
				if len(b.Config) > 0 {
					g.takeConfig(b.Config, m.Name)
				}
				r.pulled, r.revision = true, b.Revision
				return true
			}
		}
		jwclock.Sleep(ctx, relayRetry)
	}
	return false
}
