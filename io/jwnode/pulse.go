package jwnode

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// errPaused says that the process stood still for so long that the others may
// have counted this node out.
var errPaused = errors.New("process was paused")

// beatsPerLimit is how often within its limit a pulse beats.
const beatsPerLimit = 10

// pulse notices that the process stood still: frozen, or its host suspended.
//
// While it stands still, the platform's list may drop the node, and a change
// may be accepted without it. It wakes unaware, with the old catalogue, and the
// requests that waited in its queues would be served by entries changed or
// removed for good. So each request asks whether the pulse is alive, and once it
// was not, the node joins anew before it serves.
type pulse struct {
	limit time.Duration // less than the list's lag, so that no shorter pause matters
	last  atomic.Pointer[time.Time]
}

// begin makes the pulse alive.
func (p *pulse) begin() { p.beat(time.Now()) }

func (p *pulse) beat(now time.Time) { p.last.Store(&now) }

// alive tells whether the process has run without a long pause.
func (p *pulse) alive() bool {
	last := p.last.Load()
	return last != nil && gap(*last, time.Now()) <= p.limit
}

// run beats until ctx ends or a pause was too long; then the pulse stays dead
// until it is begun anew.
func (p *pulse) run(ctx context.Context) error {
	ticker := time.NewTicker(p.limit / beatsPerLimit)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		if !p.alive() {
			return errPaused
		}
		p.beat(time.Now())
	}
}

// gap is the time between two moments by the clock that went further: the
// monotonic one stands still while a host is suspended, the other can be set.
func gap(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}
