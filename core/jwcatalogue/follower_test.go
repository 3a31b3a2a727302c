package jwcatalogue

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"jujubewheel/core/jwpeer"
	"jujubewheel/core/jwstore"
)

// peerTable is a peer whose changes arrive after a delay.
type peerTable struct {
	*Table
	delay time.Duration
}

func (p peerTable) Changes(ctx context.Context, after uint64) ([]Change, *Checkpoint, error) {
	select {
	case <-ctx.Done():
		return nil, nil, ctx.Err()
	case <-time.After(p.delay):
	}
	changes, cp := p.Table.Changes(after, 100)
	return changes, cp, nil
}

func TestFollower(t *testing.T) {
	// The store goes down while one node waits on it and another gets its changes
	// from that node. Both must reach the head soon after the store is available
	// again, and neither may fall behind while only the store is unavailable.
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := &fakeStore{Delay: 10 * time.Millisecond}
		d := newEditor(s)
		watcher := &Follower{Store: s, Table: new(Table), WatchesStore: func() bool { return true }}
		// It polls the store every 42 s, so that no poll falls into the moments
		// after the store is available again; the changes would then count as
		// from the store.
		lateJitter := func() float64 { return 0.9 }
		other := &Follower{Store: s, Table: new(Table), Source: peerTable{watcher.Table, 5 * time.Millisecond}, Rand: lateJitter}
		done := make(chan error, 2)
		go func() { done <- watcher.Run(ctx) }()
		go func() { done <- other.Run(ctx) }()
		put := func(i int) {
			_, err := d.Put(ctx, newEdit(fmt.Sprintf("e%d", i), fmt.Sprintf("entry-%d", i), 0))
			assert.NilError(t, err)
		}
		put(1)
		time.Sleep(time.Second)
		assert.Equal(t, watcher.Table.Revision(), uint64(1))
		assert.Equal(t, other.Table.Revision(), uint64(1))

		s.setDown(true)
		_, err := d.Put(ctx, newEdit("e2", "entry-2", 0))
		assert.ErrorIs(t, err, jwstore.ErrUnavailable)
		time.Sleep(time.Minute)
		s.setDown(false)
		put(2)
		time.Sleep(3 * time.Second)
		assert.Equal(t, watcher.Table.Revision(), uint64(2))
		assert.Equal(t, other.Table.Revision(), uint64(2))
		assert.Equal(t, other.Counts().FromPeers, uint64(2))
		cancel()
		<-done
		<-done
	})
}

func TestFollowerWithoutPeers(t *testing.T) {
	// Both watchers of a data centre freeze. The other nodes must still learn of
	// a change by their own polls of the store.
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := new(fakeStore)
		f := &Follower{Store: s, Table: new(Table)}
		done := make(chan error)
		go func() { done <- f.Run(ctx) }()
		_, err := newEditor(s).Put(ctx, newEdit("e1", "status", 0))
		assert.NilError(t, err)
		time.Sleep(2 * DefaultStoreInterval)
		assert.Equal(t, f.Table.Revision(), uint64(1))
		cancel()
		<-done
	})
}

func TestWatchers(t *testing.T) {
	var live []jwpeer.Peer
	for i := range 20 {
		live = append(live, jwpeer.Peer{Name: fmt.Sprintf("n%d", i), Region: "north", DataCentre: fmt.Sprintf("north-%d", i%2), State: jwpeer.Serving})
	}
	names := Watchers(live, "north", "north-0")
	assert.Equal(t, len(names), 2)
	gatherer := GathererOf(live, "north")
	for i, p := range live {
		if p.Name == gatherer {
			live[i].State = jwpeer.Leaving
		}
	}
	assert.Assert(t, GathererOf(live, "north") != gatherer)
	assert.Equal(t, GathererOf(live, "south"), "")
}
