package jwstore

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// A node that reads the store's changes through another node must end up with the contents
// of the store, however far both fall behind or drop what they have. A skipped change would
// never be applied: for example, a target that has left would go on getting requests.
func TestRecentOmitsNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r Recent
		store := make(map[string]uint64) // last change by key
		var all []Event
		revision := uint64(0)
		relayRead, known := uint64(0), map[string]uint64{}
		at := uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1: // the store changes
				revision++
				e := Event{Key: fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "key")), Revision: revision}
				e.Value = make([]byte, rapid.SampledFrom([]int{1, largeValue + 1, maxRecentBytes / 2}).Draw(t, "size"))
				all = append(all, e)
				store[e.Key] = revision
			case 2: // the relay reads the store
				r.Add(all[relayRead:revision], relayRead, revision)
				relayRead = revision
			case 3: // the relay skips some changes, and may drop those it kept
				relayRead = uint64(rapid.IntRange(int(relayRead), int(revision)).Draw(t, "missed"))
				if rapid.Bool().Draw(t, "forget") {
					r.Forget()
				}
			default: // the other node reads from the relay
				events, to, ok := r.After(at)
				if !ok {
					continue
				}
				last := at
				for _, e := range events {
					if e.Revision <= last {
						t.Fatalf("revision %d after %d", e.Revision, last)
					}
					last = e.Revision
					known[e.Key] = e.Revision
				}
				at = to
				for key, rev := range lastChanges(all[:to]) {
					if known[key] != rev {
						t.Fatalf("key %s is known as of %d, at %d it was %d", key, known[key], to, rev)
					}
				}
			}
		}
	})
}

// lastChanges returns the revision of the latest change of each key.
func lastChanges(events []Event) map[string]uint64 {
	last := make(map[string]uint64)
	for _, e := range events {
		last[e.Key] = e.Revision
	}
	return last
}

// An operator writes many configurations in quick succession. A node that lacks a few changes from
// before them must still get these, or hundreds of nodes read the store instead.
func TestLargeValuesDisplaceNoOtherChanges(t *testing.T) {
	var r Recent
	r.Add([]Event{{Key: "target", Value: []byte("leaves"), Revision: 2}}, 1, 2)
	for i := uint64(2); i < 30; i++ {
		r.Add([]Event{{Key: "configuration", Value: make([]byte, maxRecentBytes/4), Revision: i + 1}}, i, i+1)
	}
	events, to, ok := r.After(1)
	assert.Assert(t, ok)
	assert.Equal(t, to, uint64(30))
	assert.Equal(t, len(events), 2)
	assert.Equal(t, events[0].Key, "target")
	assert.Equal(t, events[1].Revision, uint64(30))
}

func TestRecentIsBounded(t *testing.T) {
	var r Recent
	for i := range uint64(3 * maxRecentEvents) {
		r.Add([]Event{{Key: fmt.Sprint(i), Revision: i + 2}}, i+1, i+2)
	}
	assert.Equal(t, len(r.events), maxRecentEvents)
	_, _, ok := r.After(1)
	assert.Assert(t, !ok, "dropped changes can't be returned")
	events, to, ok := r.After(3*maxRecentEvents - 9)
	assert.Assert(t, ok)
	assert.Equal(t, len(events), 10)
	assert.Equal(t, to, uint64(3*maxRecentEvents+1))
}
