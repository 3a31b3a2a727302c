package jwcatalogue

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"jujubewheel/core/jwclock"
	"jujubewheel/core/jwstore"
)

// The default intervals of a follower. At 970 nodes the polls make 65 reads a
// second on the store, and the watchers, two in each data centre, keep 54
// waiting reads open.
const (
	DefaultMaxWait       = time.Minute            // one waiting read of the store
	DefaultPeerInterval  = 500 * time.Millisecond // between polls of the peers
	DefaultStoreInterval = 30 * time.Second       // between polls of the store
	DefaultRetryDelay    = time.Second            // after a failure of the store
)

// Source returns changes from peers.
type Source interface {
	// Changes returns the changes that a peer has after a revision, oldest
	// first, or the whole catalogue. It returns nothing when no peer is known
	// to have a newer revision.
	Changes(ctx context.Context, after uint64) ([]Change, *Checkpoint, error)
}

// Follower keeps the table of a node at the head of the log. A watcher waits
// on the store for the next change, every node polls its peers, and every node
// also polls the store at a long interval, so that the failure of another node
// never leaves one behind permanently.
type Follower struct {
	Store        jwstore.Store
	Table        *Table
	WatchesStore func() bool     // whether this node waits on the store, nil for never
	Source       Source          // nil for none
	Rand         func() float64  // in [0, 1), for jitter; nil for rand.Float64
	OnError      func(err error) // called with each failure, for logging; may be nil

	MaxWait, PeerInterval, StoreInterval, RetryDelay time.Duration // 0 for the defaults

	wakeOnce sync.Once
	wake     chan struct{}
	counts   followerCounts
}

type followerCounts struct {
	storeErrors, peerErrors, fromStore, fromPeers atomic.Uint64
}

// FollowerCounts holds the counters of a follower since its start.
type FollowerCounts struct {
	StoreErrors, PeerErrors uint64 // failed reads, including changes that the table rejected
	FromStore, FromPeers    uint64 // increases of the revision, by where the changes came from
}

// Counts returns the counters for the metrics.
func (f *Follower) Counts() FollowerCounts {
	return FollowerCounts{
		StoreErrors: f.counts.storeErrors.Load(), PeerErrors: f.counts.peerErrors.Load(),
		FromStore: f.counts.fromStore.Load(), FromPeers: f.counts.fromPeers.Load(),
	}
}

// Run follows the log until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return f.followStore(ctx) })
	if f.Source != nil {
		g.Go(func() error { return f.followPeers(ctx) })
	}
	return g.Wait()
}

// Wake makes the follower poll its peers at once, for when a peer has reported
// a newer revision. It never blocks.
func (f *Follower) Wake() {
	select {
	case f.wakeChannel() <- struct{}{}:
	default:
	}
}

// CatchUp reads the store until the table has every change that was in the log
// when the call began.
func (f *Follower) CatchUp(ctx context.Context) error {
	before := f.Table.Revision()
	err := changeLog{store: f.Store}.catchUp(ctx, f.Table)
	f.countError(&f.counts.storeErrors, err)
	if f.Table.Revision() > before {
		f.counts.fromStore.Add(1)
	}
	return err
}

func (f *Follower) followStore(ctx context.Context) error {
	for ctx.Err() == nil {
		err := f.waitForRead(ctx)
		if err == nil && ctx.Err() == nil {
			err = f.CatchUp(ctx)
		}
		if err != nil {
			_ = jwclock.Sleep(ctx, f.jitter(orDefault(f.RetryDelay, DefaultRetryDelay)))
		}
	}
	return ctx.Err()
}

// waitForRead returns when it is time to read the log.
func (f *Follower) waitForRead(ctx context.Context) error {
	if !f.isWatcher() {
		return f.waitForPoll(ctx)
	}
	nextKey := ChangeKey(f.Table.Revision() + 1)
	_, _, err := f.Store.Wait(ctx, nextKey, 0, orDefault(f.MaxWait, DefaultMaxWait))
	f.countError(&f.counts.storeErrors, err)
	return err
}

// waitForPoll waits for the next poll of the store, or until this node becomes
// a watcher: all watchers of a data centre may stop at once.
func (f *Follower) waitForPoll(ctx context.Context) error {
	remaining := f.jitter(orDefault(f.StoreInterval, DefaultStoreInterval))
	for remaining > 0 && !f.isWatcher() {
		step := min(remaining, orDefault(f.RetryDelay, DefaultRetryDelay))
		if err := jwclock.Sleep(ctx, step); err != nil {
			return err
		}
		remaining -= step
	}
	return nil
}

func (f *Follower) followPeers(ctx context.Context) error {
	for {
		timer := time.NewTimer(f.jitter(orDefault(f.PeerInterval, DefaultPeerInterval)))
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-f.wakeChannel():
			timer.Stop()
		case <-timer.C:
		}
		before := f.Table.Revision()
		f.countError(&f.counts.peerErrors, f.pollPeers(ctx))
		if f.Table.Revision() > before {
			f.counts.fromPeers.Add(1)
		}
	}
}

func (f *Follower) pollPeers(ctx context.Context) error {
	changes, cp, err := f.Source.Changes(ctx, f.Table.Revision())
	if err != nil {
		return err
	}
	return f.Table.applyReceived(changes, cp)
}

// applyReceived applies what a peer sent, as far as it is newer.
func (t *Table) applyReceived(changes []Change, cp *Checkpoint) error {
	if cp != nil {
		if err := t.Restore(*cp); err != nil {
			return err
		}
	}
	for _, c := range changes {
		if err := t.Apply(c); err != nil {
			return err
		}
	}
	return nil
}

func (f *Follower) countError(counter *atomic.Uint64, err error) {
	if err == nil || errors.Is(err, context.Canceled) {
		return
	}
	counter.Add(1)
	if f.OnError != nil {
		f.OnError(err)
	}
}

func (f *Follower) isWatcher() bool {
	return f.WatchesStore != nil && f.WatchesStore()
}

func (f *Follower) wakeChannel() chan struct{} {
	f.wakeOnce.Do(func() { f.wake = make(chan struct{}, 1) })
	return f.wake
}

// jitter returns a random duration from 0.5 d to 1.5 d, so that the nodes don't
// act at the same time.
func (f *Follower) jitter(d time.Duration) time.Duration {
	r := rand.Float64
	if f.Rand != nil {
		r = f.Rand
	}
	return time.Duration((0.5 + r()) * float64(d))
}

func orDefault(d, defaultValue time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return defaultValue
}
