package jwslope

import (
	"context"
	"fmt"
	"time"

	"jujubewheel/core/jwcatalogue"
	"jujubewheel/core/jwpeer"
	"jujubewheel/core/jwstore"
)

// followPatience bounds the wait for a change to be in force.
const followPatience = 10 * time.Second

// entry is a catalogue entry of usual size.
func entry(name, service string) jwcatalogue.Entry {
	return jwcatalogue.Entry{
		Name: name, Owner: "owner", Class: jwcatalogue.Draft, Service: service, Path: "/v1/completions",
		Idempotent: true, Deadline: 30 * time.Second, FirstToken: time.Second, Progress: 5 * time.Second,
		Limits: jwcatalogue.Limits{Rate: 1000, Burst: 100, Concurrent: 1000}, Regions: []string{"*"},
		MaxBodySize: 1 << 20,
	}
}

// editor puts one change after another.
type editor struct {
	jwcatalogue.Editor
	n int
}

func newEditor(store jwstore.Store) *editor {
	return &editor{Editor: jwcatalogue.Editor{Store: store, Table: &jwcatalogue.Table{}}}
}

func (e *editor) put(ctx context.Context) (uint64, error) {
	e.n++
	after := entry(fmt.Sprintf("entry-%d", e.n), "writer")
	r, err := e.Put(ctx, jwcatalogue.Edit{
		EditID: fmt.Sprintf("edit-%d", e.n), Author: "operator", Entry: after.Name, After: &after,
	})
	return r.Revision, err
}

func calls(c jwstore.Calls) float64 { return float64(c.Reads + c.Writes + c.Waits) }

// watcherCalls counts the calls that one waiting follower makes for n changes,
// the editor's own calls taken out.
func watcherCalls(ctx context.Context, n int) (float64, error) {
	store := &jwstore.Memory{}
	follower := &jwcatalogue.Follower{
		Store: store, Table: &jwcatalogue.Table{}, Watcher: func() bool { return true },
	}
	edits := &jwstore.Memory{} // the same edits, without a follower
	with, without := newEditor(store), newEditor(edits)
	ctx, cancel := context.WithTimeout(ctx, followPatience)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = follower.Run(ctx)
	}()
	defer func() {
		cancel()
		<-done
	}()
	for range n {
		if _, err := without.put(ctx); err != nil {
			return 0, err
		}
		revision, err := with.put(ctx)
		if err != nil {
			return 0, err
		}
		for follower.Table.Revision() < revision {
			changed := follower.Table.Changed()
			if follower.Table.Revision() >= revision {
				break
			}
			select {
			case <-changed:
			case <-ctx.Done():
				return 0, ctx.Err()
			}
		}
	}
	return calls(store.Calls()) - calls(edits.Calls()), nil
}

// regionPeers is what a gatherer knows of its region's nodes.
type regionPeers []jwpeer.Peer

// Peers returns the nodes.
func (p regionPeers) Peers() []jwpeer.Peer { return p }

// gathering is what a gatherer did for one change in a region of some size.
type gathering struct {
	calls float64
	cpu   time.Duration
	bytes float64 // of the member records that it read
}

// gather runs a gatherer through changes of a region with n members.
func gather(ctx context.Context, n, changes int) (gathering, error) {
	store := &jwstore.Memory{}
	table := &jwcatalogue.Table{}
	edits := newEditor(store)
	var peers regionPeers
	for i := range n {
		p := peer(i, n)
		p.Region, p.State, p.Incarnation = "region", jwpeer.Serving, fmt.Sprintf("0190-%032d", i)
		peers = append(peers, p)
		data := fmt.Sprintf(`{"name":%q,"region":"region","incarnation":%q}`, p.Name, p.Incarnation)
		if _, _, err := store.Swap(ctx, jwcatalogue.MemberKey("region", p.Name), []byte(data), 0); err != nil {
			return gathering{}, err
		}
	}
	g := &jwcatalogue.Gatherer{
		Name: jwcatalogue.GathererOf(peers, "region"), Region: "region", Store: store, Table: table, Peers: peers,
	}
	var out gathering
	now := time.Now()
	for range changes {
		revision, err := edits.put(ctx)
		if err != nil {
			return out, err
		}
		for _, c := range changesOf(edits, revision) {
			if err := table.Apply(c); err != nil {
				return out, err
			}
		}
		for i := range peers {
			peers[i].Revision = revision
		}
		now = now.Add(time.Second)
		before, cpu := calls(store.Calls()), cpuTime()
		if err := g.Step(ctx, now); err != nil {
			return out, err
		}
		out.calls += calls(store.Calls()) - before
		out.cpu += cpuTime() - cpu
	}
	out.calls /= float64(changes)
	out.cpu /= time.Duration(changes)
	return out, nil
}

func changesOf(e *editor, revision uint64) []jwcatalogue.Change {
	changes, _ := e.Table.Changes(revision-1, 1)
	return changes
}
