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

// The paces of a follower. At 970 nodes the slow reads make 65 reads a second
// on the service, the waits of two nodes a data centre 54 calls that stand.
const (
	DefaultWaitMost   = time.Minute            // one waiting read of the service
	DefaultPeerEvery  = 500 * time.Millisecond // between comparisons with peers
	DefaultStoreEvery = 30 * time.Second       // between slow reads of the service
	DefaultRetry      = time.Second            // after a failure of the service
)

// Source gives changes that some peer has.
type Source interface {
	// Changes returns what a peer has after a revision, oldest first, or the
	// whole catalogue; nothing when no peer is known to have more.
	Changes(ctx context.Context, after uint64) ([]Change, *Checkpoint, error)
}

// Follower keeps the table of a node at the head of the log. A watcher waits
// on the service, every node asks its peers, and all read the service now and
// then, so that no other node's failure leaves one behind for good.
type Follower struct {
	Store   jwstore.Store
	Table   *Table
	Watcher func() bool // whether this node waits on the service, nil for never
	Source  Source      // nil for none
	Rand    func() float64
	Failed  func(err error) // told of each failure, for the log; nil for nobody

	WaitMost, PeerEvery, StoreEvery, Retry time.Duration // 0 for the defaults

	once   sync.Once
	wake   chan struct{}
	counts followerCounts
}

type followerCounts struct {
	storeErrors, peerErrors, fromStore, fromPeers atomic.Uint64
}

// FollowerCounts tells what a follower met since its start.
type FollowerCounts struct {
	StoreErrors, PeerErrors uint64 // failed reads, refused changes included
	FromStore, FromPeers    uint64 // rises of the revision by what brought them
}

// Counts returns the counters for the meter.
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

// Wake has the peers asked at once, because one was heard to have a newer
// revision. It never waits.
func (f *Follower) Wake() {
	select {
	case f.waker() <- struct{}{}:
	default:
	}
}

// CatchUp reads the service until the table has every change that was in the
// log when the call began.
func (f *Follower) CatchUp(ctx context.Context) error {
	before := f.Table.Revision()
	err := changeLog{store: f.Store}.catchUp(ctx, f.Table)
	f.count(&f.counts.storeErrors, err)
	if f.Table.Revision() > before {
		f.counts.fromStore.Add(1)
	}
	return err
}

func (f *Follower) followStore(ctx context.Context) error {
	for ctx.Err() == nil {
		err := f.await(ctx)
		if err == nil && ctx.Err() == nil {
			err = f.CatchUp(ctx)
		}
		if err != nil {
			_ = jwclock.Sleep(ctx, f.jitter(or(f.Retry, DefaultRetry)))
		}
	}
	return ctx.Err()
}

// await returns when it is time to read the log.
func (f *Follower) await(ctx context.Context) error {
	if !f.watching() {
		return f.awaitTurn(ctx)
	}
	next := ChangeKey(f.Table.Revision() + 1)
	_, _, err := f.Store.Wait(ctx, next, 0, or(f.WaitMost, DefaultWaitMost))
	f.count(&f.counts.storeErrors, err)
	return err
}

// awaitTurn waits for the next slow read, or until this node is to watch: the
// watchers of a data centre may all stop at once.
func (f *Follower) awaitTurn(ctx context.Context) error {
	rest := f.jitter(or(f.StoreEvery, DefaultStoreEvery))
	for rest > 0 && !f.watching() {
		step := min(rest, or(f.Retry, DefaultRetry))
		if err := jwclock.Sleep(ctx, step); err != nil {
			return err
		}
		rest -= step
	}
	return nil
}

func (f *Follower) followPeers(ctx context.Context) error {
	for {
		timer := time.NewTimer(f.jitter(or(f.PeerEvery, DefaultPeerEvery)))
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-f.waker():
			timer.Stop()
		case <-timer.C:
		}
		before := f.Table.Revision()
		f.count(&f.counts.peerErrors, f.ask(ctx))
		if f.Table.Revision() > before {
			f.counts.fromPeers.Add(1)
		}
	}
}

func (f *Follower) ask(ctx context.Context) error {
	changes, cp, err := f.Source.Changes(ctx, f.Table.Revision())
	if err != nil {
		return err
	}
	return f.Table.take(changes, cp)
}

// take brings into force what a peer gave, as far as it is newer.
func (t *Table) take(changes []Change, cp *Checkpoint) error {
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

func (f *Follower) count(counter *atomic.Uint64, err error) {
	if err == nil || errors.Is(err, context.Canceled) {
		return
	}
	counter.Add(1)
	if f.Failed != nil {
		f.Failed(err)
	}
}

func (f *Follower) watching() bool {
	return f.Watcher != nil && f.Watcher()
}

func (f *Follower) waker() chan struct{} {
	f.once.Do(func() { f.wake = make(chan struct{}, 1) })
	return f.wake
}

// jitter spreads the nodes over half to one and a half of a period.
func (f *Follower) jitter(d time.Duration) time.Duration {
	r := rand.Float64
	if f.Rand != nil {
		r = f.Rand
	}
	return time.Duration((0.5 + r()) * float64(d))
}

func or(d, otherwise time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return otherwise
}
