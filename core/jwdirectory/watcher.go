package jwdirectory

import (
	"context"
	"math/rand/v2"
	"time"
)

// Fetcher reads the directory.
type Fetcher interface {
	// Fetch returns the directory, or nil if it still has the given version. An
	// empty version always gets the directory.
	Fetch(ctx context.Context, version string) (*Snapshot, error)
}

// Watcher polls the platform's client directory and stores it in the table. While
// the table is empty and the directory can't be reached, it asks another node.
type Watcher struct {
	Source Fetcher
	Peer   Fetcher // another node of the region, asked when Source fails and the table is empty; may be nil
	Table  *Table
	Period time.Duration   // mean time between two reads
	Failed func(err error) // called with each error; may be nil
}

// emptyRetryInterval is the interval between reads while the table is empty.
const emptyRetryInterval = 500 * time.Millisecond

// Run polls the directory until ctx ends and returns the error of ctx.
func (w *Watcher) Run(ctx context.Context) error {
	for {
		w.read(ctx)
		pause := w.Period/2 + time.Duration(rand.Int64N(int64(w.Period)))
		if w.Table.Current() == nil {
			pause = emptyRetryInterval
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pause):
		}
	}
}

func (w *Watcher) read(ctx context.Context) {
	version := ""
	if s := w.Table.Current(); s != nil {
		version = s.Version
	}
	s, err := w.Source.Fetch(ctx, version)
	if err != nil && version == "" && w.Peer != nil {
		s, err = w.Peer.Fetch(ctx, version)
	}
	if err != nil {
		if w.Failed != nil && ctx.Err() == nil {
			w.Failed(err)
		}
		return
	}
	if s != nil {
		w.Table.Set(s)
	}
}
