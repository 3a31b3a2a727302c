package jwclock

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// A process is frozen for a while and wakes unaware. A short pause must not
// matter, and after a long one nothing may be served until the node has joined
// anew, or callers are served by entries that are no longer in force.
func TestPulse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		p := &Pulse{Limit: 10 * time.Second, Boot: func() time.Duration { return time.Since(began) }}
		assert.Assert(t, !p.Alive(), "before it was begun")
		p.Begin()
		time.Sleep(9 * time.Second)
		assert.Assert(t, p.Alive())
		time.Sleep(2 * time.Second)
		assert.Assert(t, !p.Alive())
		assert.ErrorIs(t, p.Run(t.Context()), ErrPaused)
		assert.Assert(t, !p.Alive(), "a dead pulse stays dead")
		p.Begin()
		assert.Assert(t, p.Alive())
	})
}

// The host was suspended: its steady clock stood still meanwhile, and only the
// clock since boot tells.
func TestPulseOfSuspendedHost(t *testing.T) {
	boot := time.Hour
	p := &Pulse{Limit: 10 * time.Second, Boot: func() time.Duration { return boot }}
	p.Begin()
	boot += 9 * time.Second
	assert.Assert(t, p.Alive())
	boot += 2 * time.Second
	assert.Assert(t, !p.Alive())
}

// The time of day can be set, and must not be taken for a pause.
func TestSinceBootIsMonotonic(t *testing.T) {
	first := SinceBoot()
	assert.Assert(t, first > 0)
	assert.Assert(t, SinceBoot() >= first)
}
