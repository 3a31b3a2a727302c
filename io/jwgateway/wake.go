package jwgateway

import (
	"context"
	"time"

	"jujubewheel/core/jwclock"
)

const (
	// pauseLimit is the longest pause after which a node goes on by what it
	// knew: the store is read about as often.
	pauseLimit = time.Second
	// maxWakeWait is how long a node that woke waits for the store; without it, it
	// serves by what it knew and what other nodes reported since, or a region cut off
	// would not serve after a pause.
	maxWakeWait = 2 * time.Second
	// wakeRetryAfter is the Retry-After of a node that woke and has not read the
	// store yet: a way there and back.
	wakeRetryAfter = 100 * time.Millisecond
)

// epoch is the time between two pauses. Its context ends with the next one, so
// that nothing goes on waiting for an answer to a call made before.
type epoch struct {
	context.Context
	end context.CancelFunc
}

func (g *Gateway) newEpoch(ctx context.Context) {
	e := &epoch{}
	e.Context, e.end = context.WithCancel(ctx)
	if old := g.epoch.Swap(e); old != nil {
		old.end()
	}
}

// watchPauses notices pauses until ctx ends.
func (g *Gateway) watchPauses(ctx context.Context) {
	for ctx.Err() == nil {
		if g.pauseDetector.Run(ctx) == jwclock.ErrPaused {
			g.resumeAfterPause(ctx)
		}
	}
}

// resumeAfterPause drops what a node knew of before a pause and waits until the store was
// read anew.
func (g *Gateway) resumeAfterPause(ctx context.Context) {
	start := time.Now()
	g.Log.Info("woke from a pause", "version", g.entries.Version())
	g.members.Resumed(start)
	g.targets.Resumed()
	g.newEpoch(ctx)
	const step = 10 * time.Millisecond
	for !g.pauseDetector.Alive() && time.Since(start) < maxWakeWait && ctx.Err() == nil {
		jwclock.Sleep(ctx, step)
	}
	read := g.pauseDetector.Alive()
	g.pauseDetector.Begin()
	g.Log.Info("serves after a pause", "storeRead", read, "after", time.Since(start).String(), "version", g.entries.Version())
}
