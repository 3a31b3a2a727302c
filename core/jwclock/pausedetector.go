package jwclock

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// ErrPaused reports that the process was paused for so long that what it learned from
// others may be out of date.
var ErrPaused = errors.New("process was paused")

// checksPerLimit is the number of readings that Run takes within Limit.
const checksPerLimit = 5

// PauseDetector detects that the process was paused: frozen, or its host suspended. Set its
// fields, then call Reset before Run.
//
// A process doesn't notice that it was paused. By its monotonic clock, which stops while
// the host is suspended, everything that it learned from others still looks recent. So
// the process calls Valid for each request, and after a pause it must update its state
// before it serves again.
type PauseDetector struct {
	Limit time.Duration // longest pause that is tolerated
	// TimeSinceBoot returns the time since the host started, including suspended time. If it
	// is nil, SinceBoot is used.
	TimeSinceBoot func() time.Duration

	last atomic.Pointer[clockReading]
}

// clockReading is one moment, read from the monotonic clock and the clock since boot.
type clockReading struct {
	at   time.Time
	boot time.Duration
}

// SinceBoot returns the time since the host started, including the time for which it was
// suspended, or 0 if the system doesn't provide it.
func SinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0 // the monotonic clock still shows that a process was frozen
	}
	return time.Duration(t.Nano())
}

// Reset records the current time, from which the next pause is measured. Valid then
// returns true until a pause is longer than Limit.
func (p *PauseDetector) Reset() {
	now := p.now()
	p.last.Store(&now)
}

func (p *PauseDetector) now() clockReading {
	if p.TimeSinceBoot == nil {
		return clockReading{time.Now(), SinceBoot()}
	}
	return clockReading{time.Now(), p.TimeSinceBoot()}
}

// Valid reports whether at most Limit has passed since the last reading, by both clocks.
// Readings are taken by Reset and regularly by Run. Before Reset it returns false.
func (p *PauseDetector) Valid() bool {
	last := p.last.Load()
	if last == nil {
		return false
	}
	now := p.now()
	return max(now.at.Sub(last.at), now.boot-last.boot) <= p.Limit
}

// Run takes readings regularly until ctx ends, whose error it then returns, or until a
// pause was too long. It then returns ErrPaused, and Valid returns false until the next
// call of Reset.
func (p *PauseDetector) Run(ctx context.Context) error {
	ticker := time.NewTicker(p.Limit / checksPerLimit)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		if !p.Valid() {
			return ErrPaused
		}
		p.Reset()
	}
}
