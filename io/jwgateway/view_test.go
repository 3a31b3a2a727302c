package jwgateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// All nodes of a data centre start at once and ask their relay for everything it knows;
// encoding that for each, it answered the last ones after they had given up.
func TestViewsOfNodesThatStart(t *testing.T) {
	var views encodedViews
	made := 0
	since := func(_ time.Time, version, revision uint64) view {
		made++
		return view{Revision: 9 + version + revision}
	}
	now := time.Unix(1000, 0)
	for range 50 {
		_, err := views.encode(now, 0, 0, since)
		assert.NilError(t, err)
	}
	assert.Equal(t, made, 1)
	_, err := views.encode(now.Add(encodedAge), 0, 0, since)
	assert.NilError(t, err)
	assert.Equal(t, made, 2, "a view grows old")
	_, err = views.encode(now.Add(encodedAge), 3, 0, since)
	assert.NilError(t, err)
	assert.Equal(t, made, 3, "one that knows something gets what it lacks")
}

// A relay that has read nothing yet must not answer so for longer than it lasts.
func TestViewOfARelayThatStarts(t *testing.T) {
	var views encodedViews
	revision := uint64(0)
	since := func(time.Time, uint64, uint64) view { return view{Revision: revision} }
	now := time.Unix(1000, 0)
	first, err := views.encode(now, 0, 0, since)
	assert.NilError(t, err)
	revision = 7
	second, err := views.encode(now, 0, 0, since)
	assert.NilError(t, err)
	assert.Assert(t, string(first) != string(second))
}
