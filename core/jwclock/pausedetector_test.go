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
func TestPauseDetector(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		p := &PauseDetector{Limit: 10 * time.Second, TimeSinceBoot: func() time.Duration { return time.Since(started) }}
		assert.Assert(t, !p.Valid(), "before Reset")
		p.Reset()
		time.Sleep(9 * time.Second)
		assert.Assert(t, p.Valid())
		time.Sleep(2 * time.Second)
		assert.Assert(t, !p.Valid())
		assert.ErrorIs(t, p.Run(t.Context()), ErrPaused)
		assert.Assert(t, !p.Valid(), "not valid again after Run returned")
		p.Reset()
		assert.Assert(t, p.Valid())
	})
}

// While the host is suspended its monotonic clock stops, so only the time since boot
// shows the pause.
func TestPauseDetectorOfSuspendedHost(t *testing.T) {
	boot := time.Hour
	p := &PauseDetector{Limit: 10 * time.Second, TimeSinceBoot: func() time.Duration { return boot }}
	p.Reset()
	boot += 9 * time.Second
	assert.Assert(t, p.Valid())
	boot += 2 * time.Second
	assert.Assert(t, !p.Valid())
}

// The time since boot only moves forward. The time of day can be set, and a change of it
// must not count as a pause.
func TestSinceBootIsMonotonic(t *testing.T) {
	first := SinceBoot()
	assert.Assert(t, first > 0)
	assert.Assert(t, SinceBoot() >= first)
}
