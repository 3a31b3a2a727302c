package jwdirectory

import (
	"context"
	"math/rand/v2"
	"time"
)

// Fetcher reads the directory; the snapshot is nil when it has not changed.
type Fetcher interface {
	Fetch(ctx context.Context, version string) (*Snapshot, error)
}

// Watcher keeps the table level with the platform's client directory, or with
// a node of the region while the directory is out of reach.
type Watcher struct {
	Source Fetcher
	Peer   Fetcher // asked when Source fails and the table is empty
	Table  *Table
	Period time.Duration
	Failed func(err error) // may be nil
}

// retryEmpty is the pause while there is no directory at all.
const retryEmpty = 500 * time.Millisecond

// Run reads until ctx ends; it returns the error of ctx.
func (w *Watcher) Run(ctx context.Context) error {
	for {
		w.read(ctx)
		pause := w.Period/2 + time.Duration(rand.Int64N(int64(w.Period)))
		if w.Table.Current() == nil {
			pause = retryEmpty
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
