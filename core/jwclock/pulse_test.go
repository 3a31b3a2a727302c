package jwclock

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// A frozen process doesn't notice that it was paused. A short pause is tolerated. After a
// long one the node must serve nothing until it has joined again; otherwise it would
// serve callers by entries that are no longer in force.
func TestPulse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		p := &Pulse{Limit: 10 * time.Second, Boot: func() time.Duration { return time.Since(started) }}
		assert.Assert(t, !p.Alive(), "before Begin")
		p.Begin()
		time.Sleep(9 * time.Second)
		assert.Assert(t, p.Alive())
		time.Sleep(2 * time.Second)
		assert.Assert(t, !p.Alive())
		assert.ErrorIs(t, p.Run(t.Context()), ErrPaused)
		assert.Assert(t, !p.Alive(), "not alive again after Run returned")
		p.Begin()
		assert.Assert(t, p.Alive())
	})
}

// While the host is suspended its monotonic clock stops, so only the time since boot
// shows the pause.
func TestPulseOfSuspendedHost(t *testing.T) {
	boot := time.Hour
	p := &Pulse{Limit: 10 * time.Second, Boot: func() time.Duration { return boot }}
	p.Begin()
	boot += 9 * time.Second
	assert.Assert(t, p.Alive())
	boot += 2 * time.Second
	assert.Assert(t, !p.Alive())
}

// The time since boot only moves forward. The time of day can be set, and a change of it
// must not count as a pause.
func TestSinceBootIsMonotonic(t *testing.T) {
	first := SinceBoot()
	assert.Assert(t, first > 0)
	assert.Assert(t, SinceBoot() >= first)
}
