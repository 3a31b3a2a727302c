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
	// wakeLimit is how long a node that woke waits for the store; without it, it
	// serves by what it knew and what other nodes reported since, or a region cut off
	// would not serve after a pause.
	wakeLimit = 2 * time.Second
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

// watchPulse notices pauses until ctx ends.
func (g *Gateway) watchPulse(ctx context.Context) {
	for ctx.Err() == nil {
		if g.pulse.Run(ctx) == jwclock.ErrPaused {
			g.wake(ctx)
		}
	}
}

// wake drops what a node knew of before a pause and waits until the store was
// read anew.
func (g *Gateway) wake(ctx context.Context) {
	begun := time.Now()
	g.Log.Info("woke from a pause", "version", g.entries.Version())
	g.members.Resumed(begun)
	g.targets.Resumed()
	g.newEpoch(ctx)
	const step = 10 * time.Millisecond
	for !g.pulse.Alive() && time.Since(begun) < wakeLimit && ctx.Err() == nil {
		jwclock.Sleep(ctx, step)
	}
	read := g.pulse.Alive()
	g.pulse.Begin()
	g.Log.Info("serves after a pause", "storeRead", read, "after", time.Since(begun).String(), "version", g.entries.Version())
}
