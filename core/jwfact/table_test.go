package jwfact

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubewheel/core/jwstore"
)

const (
	hold   = 10 * time.Second
	newEra = 1 << 48 // revision of the first change of the next era
)

var t0 = time.Unix(1000, 0)

func write(key string, revision jwstore.Revision) jwstore.Event {
	return jwstore.Event{Key: key, Value: []byte{byte(revision)}, Revision: revision}
}

func remove(key string, revision jwstore.Revision) jwstore.Event {
	return jwstore.Event{Key: key, Deleted: true, Revision: revision}
}

func stored(keys ...string) map[string]bool {
	set := make(map[string]bool)
	for _, key := range keys {
		set[key] = true
	}
	return set
}

// A node learns of keys from sources of different revisions. None may undo what is known from a later one.
func TestSourcesOfDifferentRevisions(t *testing.T) {
	cases := map[string]struct {
		do   func(*Table)
		want map[string]bool
	}{
		"a page without a key written since": {
			func(x *Table) { x.Apply(write("a", 5)); x.RemoveExcept(t0, nil, 4) }, stored("a"),
		},
		"a page without a key written before": {
			func(x *Table) { x.Apply(write("a", 5)); x.RemoveExcept(t0, nil, 5) }, nil,
		},
		"an older value": {
			func(x *Table) { x.Apply(write("a", 5)); x.Apply(write("a", 4)) }, stored("a"),
		},
		"an older removal": {
			func(x *Table) { x.Apply(write("a", 5)); x.Apply(remove("a", 4)) }, stored("a"),
		},
		"an older view": {
			func(x *Table) {
				x.Apply(write("a", 5))
				x.Merge(t0, []Fact{{Key: "b", Revision: 2}}, 4)
			}, stored("a", "b"),
		},
		"a later view": {
			func(x *Table) {
				x.Apply(write("a", 5))
				x.Merge(t0, []Fact{{Key: "b", Revision: 2}}, 6)
			}, stored("b"),
		},
		"missing from an older copy": {
			func(x *Table) { x.Apply(write("a", 5)); x.RemoveExcept(t0, nil, newEra) }, stored("a"),
		},
		"missing from an older copy, again read": {
			func(x *Table) {
				x.Apply(write("a", 5))
				x.RemoveExcept(t0, nil, newEra)
				x.RemoveExcept(t0, nil, newEra+1)
			}, stored("a"),
		},
		"held no longer": {
			func(x *Table) {
				x.Apply(write("a", 5))
				x.RemoveExcept(t0, nil, newEra)
				x.EndHolds(t0.Add(hold))
			}, nil,
		},
		"written again while held": {
			func(x *Table) {
				x.Apply(write("a", 5))
				x.RemoveExcept(t0, nil, newEra)
				x.Merge(t0, []Fact{{Key: "a", Revision: newEra + 1}}, newEra+1)
				x.EndHolds(t0.Add(hold))
			}, stored("a"),
		},
		"ended while held": {
			func(x *Table) {
				x.Apply(write("a", 5))
				x.RemoveExcept(t0, nil, newEra)
				x.Apply(remove("a", newEra+2))
			}, nil,
		},
		"held by another node": {
			func(x *Table) {
				x.Merge(t0, []Fact{{Key: "a", Revision: newEra, HeldFor: hold}}, newEra+1)
				x.EndHolds(t0.Add(hold - 1))
			}, stored("a"),
		},
		"held by another node no longer": {
			func(x *Table) {
				x.Merge(t0, []Fact{{Key: "a", Revision: newEra, HeldFor: hold}}, newEra+1)
				x.EndHolds(t0.Add(hold))
			}, nil,
		},
		"written again and ended, while another node holds it": {
			func(x *Table) {
				x.Apply(write("a", newEra+1))
				x.Merge(t0, []Fact{{Key: "a", Revision: newEra, HeldFor: hold}}, newEra+2)
			}, nil,
		},
		"the same hold, seen later at another node": {
			func(x *Table) {
				x.Merge(t0, []Fact{{Key: "a", Revision: newEra, HeldFor: hold}}, newEra+1)
				x.Merge(t0.Add(time.Second), []Fact{{Key: "a", Revision: newEra, HeldFor: hold}}, newEra+2)
				x.EndHolds(t0.Add(hold))
			}, nil,
		},
		"another copy extends the hold": {
			func(x *Table) {
				x.Apply(write("a", 5))
				x.RemoveExcept(t0, nil, newEra)
				x.RemoveExcept(t0.Add(hold-1), nil, 2*newEra)
				x.EndHolds(t0.Add(hold))
			}, stored("a"),
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			x := Table{Hold: func(string) time.Duration { return hold }}
			c.do(&x)
			got := x.Names("")
			assert.Equal(t, len(got), len(c.want))
			for key := range c.want {
				assert.Assert(t, got[key], "%s is missing", key)
			}
		})
	}
}

// A view that says what is known already changes nothing, so that no registration is decoded again.
func TestKnownFactsChangeNothing(t *testing.T) {
	x := fleetTable(3)
	assert.Equal(t, len(x.Merge(t0, x.All(t0), 9)), 0)
}

// Keys of which Hold says nothing are removed at once when the store was restored without them.
func TestKeysThatAreNotHeld(t *testing.T) {
	var x Table
	x.Apply(write("a", 5))
	assert.DeepEqual(t, x.RemoveExcept(t0, nil, newEra), []jwstore.Event{remove("a", newEra)})
	assert.Assert(t, !x.Has("a"))
}

// A view names what is held, for as long as it still is.
func TestAllShowsHolds(t *testing.T) {
	x := Table{Hold: func(string) time.Duration { return hold }}
	x.Apply(write("b", 5))
	x.Apply(write("a", 3))
	x.RemoveExcept(t0, stored("a"), newEra)
	assert.DeepEqual(t, x.All(t0.Add(time.Second)), []Fact{
		{Key: "a", Value: []byte{3}, Revision: 3},
		{Key: "b", Value: []byte{5}, Revision: newEra, HeldFor: hold - time.Second},
	})
	assert.Equal(t, x.Held(), 1)
	empty := Table{}
	assert.Assert(t, empty.All(t0) != nil)
}
