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
	_, err = cache.encode(now.Add(maxEncodedViewAge), 3, 5, since)
	assert.NilError(t, err)
	assert.Equal(t, encoded, 2, "a node that has some state, but less, gets the same view")
	_, err = cache.encode(now.Add(maxEncodedViewAge), 3, 9, since)
	assert.NilError(t, err)
	assert.Equal(t, encoded, 4, "a node that has as much gets a new view")
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

// The store answers a node's renewals while its watch, on another connection, gets nothing, and its
// relay has no longer the changes that it lacks. It must take the relay's view, or it learns of
// nothing until it gives up the watch.
func TestPeerIsAhead(t *testing.T) {
	now := time.Now()
	cases := map[string]struct {
		answered, read, relayed, upstream time.Duration // ages
		revision                          uint64
		want                              bool
	}{
		"reads the store":                 {answered: time.Second, read: time.Second, revision: 8},
		"gets no answers":                 {answered: time.Minute, read: time.Minute, revision: 8, want: true},
		"its watch gets nothing":          {answered: time.Second, read: 5 * time.Second, revision: 8, want: true},
		"its relay passes changes on":     {answered: time.Minute, read: time.Minute, relayed: time.Second, revision: 8},
		"another relay passes changes on": {answered: time.Minute, read: time.Minute, upstream: time.Second, revision: 8},
		"the peer isn't ahead":            {answered: time.Minute, read: time.Minute, revision: 7},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := &Gateway{startTime: now.Add(-time.Hour)}
			g.storeWatcher = newStoreWatcher(g)
			g.storeWatcher.revision = 7
			g.store.revision.Store(7)
			g.store.lastAnswer.Store(now.Add(-c.answered).UnixNano())
			g.storeReadAt.Store(int64(time.Hour - c.read))
			if c.relayed > 0 {
				g.storeWatcher.relayedAt = now.Add(-c.relayed)
			}
			if c.upstream > 0 {
				g.storeWatcher.upstreamReadAt = now.Add(-c.upstream)
			}
			assert.Equal(t, g.peerIsAhead(now, c.revision), c.want)
		})
	}
}
