package jwgateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// All nodes of a data centre start at once and request everything that their relay knows. If the
// relay encoded the view for each of them, it would answer the last ones after they have given up.
func TestViewIsEncodedOnceForNewNodes(t *testing.T) {
	var cache encodedViewCache
	encoded := 0
	since := func(_ time.Time, version, revision uint64) view {
		encoded++
		return view{Revision: 9 + version + revision}
	}
	now := time.Unix(1000, 0)
	for range 50 {
		_, err := cache.encode(now, 0, 0, since)
		assert.NilError(t, err)
	}
	assert.Equal(t, encoded, 1)
	_, err := cache.encode(now.Add(maxEncodedViewAge), 0, 0, since)
	assert.NilError(t, err)
	assert.Equal(t, encoded, 2, "an old view must be encoded again")
	_, err = cache.encode(now.Add(maxEncodedViewAge), 3, 0, since)
	assert.NilError(t, err)
	assert.Equal(t, encoded, 3, "a node that has some state gets a view of its own")
}

// An empty view must not be cached: a relay that has read nothing yet would still send it after its
// first read.
func TestEmptyViewIsNotCached(t *testing.T) {
	var cache encodedViewCache
	revision := uint64(0)
	since := func(time.Time, uint64, uint64) view { return view{Revision: revision} }
	now := time.Unix(1000, 0)
	first, err := cache.encode(now, 0, 0, since)
	assert.NilError(t, err)
	revision = 7
	second, err := cache.encode(now, 0, 0, since)
	assert.NilError(t, err)
	assert.Assert(t, string(first) != string(second))
}
