package jwclock

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// ErrPaused says that the process stood still for so long that what it knew
// from others may no longer hold.
var ErrPaused = errors.New("process was paused")

// checksPerLimit is how often within its limit a Pulse beats.
const checksPerLimit = 5

// Pulse notices that the process stood still: frozen, or its host suspended.
// Set its fields, then call Begin before Run.
//
// The process wakes unaware, and by its steady clock, which a suspended host
// stops, everything that it was told still looks fresh. So each request asks
// whether the pulse is alive, and once it was not, the process learns anew
// before it serves.
type Pulse struct {
	Limit time.Duration // longest pause that does not matter
	// Boot returns the time since the host started, suspended or not; nil is
	// SinceBoot.
	Boot func() time.Duration

	last atomic.Pointer[clockReading]
}

// clockReading is a moment by two clocks.
type clockReading struct {
	at   time.Time
	boot time.Duration
}

// SinceBoot returns the time since the host started, including the time that
// it was suspended for; 0 where the system doesn't tell.
func SinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0 // the steady clock still shows a process that was frozen
	}
	return time.Duration(t.Nano())
}

// Begin makes the pulse alive.
func (p *Pulse) Begin() {
	now := p.now()
	p.last.Store(&now)
}

func (p *Pulse) now() clockReading {
	if p.Boot == nil {
		return clockReading{time.Now(), SinceBoot()}
	}
	return clockReading{time.Now(), p.Boot()}
}

// Alive reports whether the process has run since Begin without a long pause.
func (p *Pulse) Alive() bool {
	last := p.last.Load()
	if last == nil {
		return false
	}
	now := p.now()
	return max(now.at.Sub(last.at), now.boot-last.boot) <= p.Limit
}

// Run beats until ctx ends or a pause was too long; then the pulse stays dead
// until it is begun anew.
func (p *Pulse) Run(ctx context.Context) error {
	ticker := time.NewTicker(p.Limit / checksPerLimit)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		if !p.Alive() {
			return ErrPaused
		}
		p.Begin()
	}
}
