package jwcatalogue

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"
)

func newChange(n uint64, id string) Change {
	e := newEntry("status")
	e.Owner = id
	return Change{N: n, EditID: id, Author: "amal", Entry: "status", After: &e}
}

func TestTableApply(t *testing.T) {
	table := new(Table)
	assert.Equal(t, table.OldestChange(), uint64(1))
	changed := table.Changed()
	assert.NilError(t, table.Apply(newChange(1, "a")))
	<-changed
	assert.NilError(t, table.Apply(newChange(2, "b")))
	assert.NilError(t, table.Apply(newChange(1, "a")))
	assert.Equal(t, table.Revision(), uint64(2))
	assert.Assert(t, errors.Is(table.Apply(newChange(4, "d")), ErrGap))
	assert.Assert(t, errors.Is(table.Apply(newChange(2, "other")), ErrFork))
	e, n, ok := table.Current().Entry("status")
	assert.Assert(t, ok)
	assert.Equal(t, n, uint64(2))
	assert.Equal(t, e.Owner, "b")
}

func TestTableRestoreIgnoresOlder(t *testing.T) {
	// A peer that was frozen sends its old catalogue. If it were applied, a
	// change that was accepted would be undone at this node.
	old, table := new(Table), &Table{MaxChanges: 2}
	for n, id := range []string{"a", "b", "c", "d"} {
		if n < 2 {
			assert.NilError(t, old.Apply(newChange(uint64(n+1), id)))
		}
		assert.NilError(t, table.Apply(newChange(uint64(n+1), id)))
	}
	_, cp := old.Changes(0, 0)
	assert.Assert(t, cp == nil)
	changes, cp := table.Changes(0, 0)
	assert.Equal(t, len(changes), 0)
	assert.Equal(t, cp.Revision, uint64(4))
	changes, cp = table.Changes(2, 1)
	assert.Assert(t, cp == nil)
	assert.Equal(t, changes[0].EditID, "c")
	assert.Equal(t, len(changes), 1)

	stale := Checkpoint{Revision: 2, Entries: old.Current().Entries, Revisions: old.Current().Revisions}
	assert.NilError(t, table.Restore(stale))
	assert.Equal(t, table.Revision(), uint64(4))
	assert.NilError(t, old.Restore(Checkpoint{Revision: 4, Entries: table.Current().Entries, Revisions: table.Current().Revisions}))
	assert.Equal(t, old.Revision(), uint64(4))
	assert.Equal(t, old.OldestChange(), uint64(5))
}
