package jwhost

import (
	"context"
	"math/rand/v2"
	"time"
)

// Lister reads the platform's host list. It returns the same slice again when the
// platform reports that the list has not changed.
type Lister interface {
	Hosts(ctx context.Context) ([]Host, error)
}

// Watcher polls the host list and stores it in the table.
type Watcher struct {
	List   Lister
	Peer   Lister // another node, asked until List has answered once; may be nil
	Table  *Table
	Period time.Duration // mean time between two reads
	Now    func() time.Time
	Apply  func(hosts []Host, now time.Time) // called with each list that differs, and with an unchanged one after reapplyInterval
	Failed func(err error)                   // called with each error of List; may be nil

	lastApplied time.Time // when Apply was last called
	lastHosts   []Host
}

// reapplyInterval is the interval at which an unchanged list is applied again,
// since its effect depends on the time: a target's own announcement that it is
// leaving overrides a list that says otherwise, but only for a limited time.
const reapplyInterval = 30 * time.Second

// Run polls the list until ctx ends and returns the error of ctx. While the list
// can't be read, the last one stays in force.
func (w *Watcher) Run(ctx context.Context) error {
	for {
		hosts, err := w.List.Hosts(ctx)
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case err != nil:
			if w.Failed != nil {
				w.Failed(err)
			}
			w.askPeer(ctx)
		default:
			now := w.Now()
			w.Table.Set(hosts, now)
			if now.Sub(w.lastApplied) >= reapplyInterval || !sameSlice(hosts, w.lastHosts) {
				w.lastApplied, w.lastHosts = now, hosts
				w.Apply(hosts, now)
			}
		}
		// Jitter spreads the reads of nodes that started at the same time.
		pause := w.Period/2 + time.Duration(rand.Int64N(int64(w.Period)))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pause):
		}
	}
}

// askPeer applies the list of another node of the region, for a node that starts
// while the platform can't be reached. The list is not stored in the table: a
// node must not be considered gone because it is missing from the list of another
// node.
func (w *Watcher) askPeer(ctx context.Context) {
	if w.Peer == nil || w.lastHosts != nil {
		return
	}
	hosts, err := w.Peer.Hosts(ctx)
	if err != nil || len(hosts) == 0 {
		return
	}
	w.Apply(hosts, w.Now())
}

// sameSlice reports whether two lists are the same slice, which the lister returns
// again when the platform reports no change. Applying thousands of hosts again in
// each period would cost a node more than all its other control work.
func sameSlice(a, b []Host) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}
