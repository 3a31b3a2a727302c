package jwgateway

import (
	"context"
	"time"

	"jujubewheel/core/jwclock"
)

const (
	// pauseLimit is the longest pause of the process after which a node relies on the state from
	// before. It is about the interval at which the store is read.
	pauseLimit = time.Second
	// maxWakeWait is how long a node waits for the store after a pause. Then it serves with the
	// state from before the pause and what other nodes have reported since; otherwise a region
	// that can't reach the store could not serve after a pause.
	maxWakeWait = 2 * time.Second
	// wakeRetryAfter is the Retry-After of a node that has not read the store yet after a pause:
	// about one round trip to the store.
	wakeRetryAfter = 100 * time.Millisecond
)

// nodePaused is the reason for rejecting a request because of a pause.
const nodePaused = "the node was paused"

// epoch is the time between two pauses of the process. Its context ends with the next pause, so
// that nothing waits any longer for an answer to a call made before it.
type epoch struct {
	context.Context
	end context.CancelFunc
}

// newEpoch ends the current epoch and starts the next one.
func (g *Gateway) newEpoch(ctx context.Context) {
	e := &epoch{}
	e.Context, e.end = context.WithCancel(ctx)
	if old := g.epoch.Swap(e); old != nil {
		old.end()
	}
}

// outlivedPause reports whether the process was paused since the request came. Its caller may have gone elsewhere
// meanwhile, and this node learns of that only after it has woken.
func (g *Gateway) outlivedPause(q *request) bool {
	return q.epoch != nil && (q.epoch != g.epoch.Load() || !g.pauseDetector.Valid())
}

// watchPauses detects pauses of the process and handles them, until ctx ends.
func (g *Gateway) watchPauses(ctx context.Context) {
	for ctx.Err() == nil {
		if g.pauseDetector.Run(ctx) == jwclock.ErrPaused {
			g.resumeAfterPause(ctx)
		}
	}
}

// resumeAfterPause drops the state from before a pause that may be outdated and waits, up to
// maxWakeWait, until the store was read again.
func (g *Gateway) resumeAfterPause(ctx context.Context) {
	start := time.Now()
	g.Log.Info("woke from a pause", "version", g.entries.Version())
	g.members.Resumed(start)
	g.entries.Doubt()
	g.targets.DiscardReports()
	g.balance.Discard()
	g.newEpoch(ctx)
	const step = 10 * time.Millisecond
	for !g.pauseDetector.Valid() && time.Since(start) < maxWakeWait && ctx.Err() == nil {
		jwclock.Sleep(ctx, step)
	}
	read := g.pauseDetector.Valid()
	g.pauseDetector.Reset()
	g.Log.Info("serves after a pause", "storeRead", read, "after", time.Since(start).String(), "version", g.entries.Version())
}
