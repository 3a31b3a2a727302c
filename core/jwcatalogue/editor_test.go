package jwcatalogue

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubewheel/core/jwstore"
)

func newEditor(s *fakeStore) *Editor {
	return &Editor{Store: s, Table: new(Table), RetryDelay: time.Microsecond}
}

func newEdit(id, name string, ifRevision uint64) Edit {
	e := newEntry(name)
	e.Owner = id
	return Edit{EditID: id, Author: "amal", Entry: name, After: &e, IfRevision: ifRevision}
}

func TestPutConflict(t *testing.T) {
	// Two operators read the same entry and both change it. Without the check of
	// the revision that they saw, the second edit would overwrite the first one
	// unnoticed.
	s := new(fakeStore)
	a, b := newEditor(s), newEditor(s)
	first, err := a.Put(t.Context(), newEdit("e1", "status", 0))
	assert.NilError(t, err)
	_, err = a.Put(t.Context(), newEdit("e2", "status", first.Revision))
	assert.NilError(t, err)
	_, err = b.Put(t.Context(), newEdit("e3", "status", first.Revision))
	var conflict *ConflictError
	assert.Assert(t, errors.As(err, &conflict))
	assert.Equal(t, conflict.ConflictingChange.EditID, "e2")
	assert.Equal(t, conflict.Revision, uint64(2))

	other, err := b.Put(t.Context(), newEdit("e4", "menu", 0))
	assert.NilError(t, err)
	assert.Equal(t, other.Revision, uint64(3))
}

func TestPutLostReply(t *testing.T) {
	// The store applies the write and its reply is lost. If the edit was
	// reported as failed, a retry would put it into the log twice.
	tests := map[string]struct{ lose, drop int }{
		"took effect":      {lose: 1},
		"took no effect":   {drop: 1},
		"both":             {lose: 1, drop: 1},
		"two replies lost": {lose: 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := &fakeStore{loseReplies: tt.lose, dropWrites: tt.drop}
			d := newEditor(s)
			got, err := d.Put(t.Context(), newEdit("e1", "status", 0))
			assert.NilError(t, err)
			assert.Equal(t, got.Revision, uint64(1))
			retried, err := newEditor(s).Put(t.Context(), newEdit("e1", "status", 0))
			assert.NilError(t, err)
			assert.Equal(t, retried, got)
			assert.DeepEqual(t, s.keys(ChangesPrefix), []string{ChangeKey(1)})
		})
	}
}

func TestPutUnknownOutcome(t *testing.T) {
	// All writes are dropped and reported as unknown. The editor must
	// report that the outcome is unknown, not that the edit failed.
	s := &fakeStore{dropWrites: 100}
	_, err := newEditor(s).Put(t.Context(), newEdit("e1", "status", 0))
	assert.ErrorIs(t, err, jwstore.ErrUnknown)
	s = &fakeStore{down: true}
	_, err = newEditor(s).Put(t.Context(), newEdit("e1", "status", 0))
	assert.ErrorIs(t, err, jwstore.ErrUnavailable)
}

func TestPutRejects(t *testing.T) {
	s := new(fakeStore)
	d := newEditor(s)
	_, err := d.Put(t.Context(), newEdit("e1", "status", 0))
	assert.NilError(t, err)
	big := newEdit("e2", "menu", 0)
	for i := range MaxRegions {
		big.After.Regions = append(big.After.Regions, fmt.Sprintf("region-%060d", i))
	}
	tests := map[string]struct {
		edit Edit
		want string
	}{
		"edit id of another edit":    {newEdit("e1", "menu", 0), "belongs to change 1"},
		"no edit id":                 {newEdit("", "menu", 0), "edit id is empty"},
		"other name":                 {Edit{EditID: "e3", Author: "a", Entry: "x", After: big.After}, "not that of the entry"},
		"invalid":                    {big, "longer than"},
		"removal of a missing entry": {Edit{EditID: "e4", Author: "a", Entry: "x"}, "no such entry"},
		"new entry that exists":      {newEdit("e5", "status", 0), "changed by amal"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := d.Put(t.Context(), tt.edit)
			assert.ErrorContains(t, err, tt.want)
		})
	}
	assert.Equal(t, len(s.keys(ChangesPrefix)), 1)
}

func TestPutSizeLimit(t *testing.T) {
	s := new(fakeStore)
	d := newEditor(s)
	var rejected error
	for i := range 400 {
		e := newEdit(fmt.Sprintf("e%d", i), fmt.Sprintf("entry-%d", i), 0)
		for r := range 30 {
			e.After.Regions = append(e.After.Regions, fmt.Sprintf("region-%050d", r))
		}
		if _, rejected = d.Put(t.Context(), e); rejected != nil {
			break
		}
	}
	assert.ErrorContains(t, rejected, "the catalogue would have")
}

func TestCheckpointAndTrim(t *testing.T) {
	s := new(fakeStore)
	d := newEditor(s)
	d.Keep = 100
	for i := range 700 {
		_, err := d.Put(t.Context(), newEdit(fmt.Sprintf("e%d", i), fmt.Sprintf("entry-%d", i), 0))
		assert.NilError(t, err)
	}
	assert.Assert(t, len(s.keys(ChangesPrefix)) < 100+3*CheckpointEvery)

	newcomer := newEditor(s)
	res, err := newcomer.Put(t.Context(), newEdit("late", "entry-late", 0))
	assert.NilError(t, err)
	assert.Equal(t, res.Revision, uint64(701))
	assert.Equal(t, len(newcomer.Table.Current().Entries), 701)
	assert.DeepEqual(t, newcomer.Table.Current().Revisions, func() map[string]uint64 {
		all := map[string]uint64{"entry-late": 701}
		for i := range 700 {
			all[fmt.Sprintf("entry-%d", i)] = uint64(i + 1)
		}
		return all
	}())
}

func TestPutAfterPauseBeyondTrim(t *testing.T) {
	// An editor is paused between reading the log and writing. Meanwhile other
	// editors write on, and the number of its change is trimmed, so that the
	// store lets it create the key again. Without a check, its edit would be
	// reported as done, and a node that was frozen as long would even apply it.
	s := new(fakeStore)
	paused, other, frozen := newEditor(s), newEditor(s), newEditor(s)
	other.Keep = 10
	put := func(d *Editor, i int) {
		_, err := d.Put(t.Context(), newEdit(fmt.Sprintf("e%d", i), fmt.Sprintf("entry-%d", i), 0))
		assert.NilError(t, err)
	}
	for i := range 40 {
		put(other, i)
	}
	put(frozen, 40)
	release, writeHeld := make(chan struct{}), make(chan struct{})
	s.holdWrite, s.writeHeld = release, writeHeld
	result := make(chan error)
	go func() {
		_, err := paused.Put(context.Background(), newEdit("paused", "status", 0))
		result <- err
	}()
	<-writeHeld
	for i := range 89 {
		put(other, 41+i)
	}
	assert.Equal(t, other.Table.Revision(), uint64(130))
	close(release)
	assert.ErrorIs(t, <-result, jwstore.ErrUnknown)
	assert.Equal(t, s.keys(ChangesPrefix)[0], ChangeKey(42))

	f := &Follower{Store: s, Table: frozen.Table}
	assert.NilError(t, f.CatchUp(t.Context()))
	_, _, ok := f.Table.Current().Entry("status")
	assert.Assert(t, !ok)
	assert.Equal(t, f.Table.Revision(), uint64(130))
}

func TestTrimRecordedBeforeDelete(t *testing.T) {
	// If a change was deleted before the state of the log said that it was
	// trimmed, a paused editor could create it again and its check would miss it.
	s := new(fakeStore)
	d := newEditor(s)
	d.Keep = 10
	deleted := 0
	s.beforeCall = func() {
		item := s.items[LogStateKey]
		var m logState
		if item.Value != nil {
			assert.NilError(t, decodeStrict(item.Value, &m))
		}
		for n := m.Trimmed + 1; n <= d.Table.Revision(); n++ {
			_, ok := s.items[ChangeKey(n)]
			assert.Assert(t, ok, "change %d does not exist, the state of the log says trimmed up to %d", n, m.Trimmed)
		}
		for n := uint64(1); n <= m.Deleted; n++ {
			_, ok := s.items[ChangeKey(n)]
			assert.Assert(t, !ok, "change %d still exists, the state of the log says deleted up to %d", n, m.Deleted)
			deleted++
		}
	}
	for i := range 300 {
		_, err := d.Put(t.Context(), newEdit(fmt.Sprintf("e%d", i), "status", uint64(i)))
		assert.NilError(t, err)
	}
	assert.Assert(t, deleted > 0)
}

func TestCheckpointNotReplacedByOlder(t *testing.T) {
	// Two nodes compact the log at once and the slower one is behind. An older
	// checkpoint with a newer state of the log would keep new nodes from starting.
	s := new(fakeStore)
	d := newEditor(s)
	l := changeLog{store: s, keep: 10}
	var old *Snapshot
	for i := range 200 {
		_, err := d.Put(t.Context(), newEdit(fmt.Sprintf("e%d", i), "status", uint64(i)))
		assert.NilError(t, err)
		if i == 100 {
			old = d.Table.Current()
		}
	}
	s.mu.Lock()
	delete(s.items, LogStateKey)
	s.mu.Unlock()
	assert.NilError(t, l.compact(t.Context(), old))
	cp, _, err := l.readCheckpoint(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, cp.Revision, uint64(192))
}
