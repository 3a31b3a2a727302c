package jwcatalogue

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Snapshot is the immutable catalogue at one revision.
type Snapshot struct {
	Revision  uint64
	Entries   map[string]Entry  // by name
	Revisions map[string]uint64 // the last change of each entry, by name

	size int // upper bound of the bytes of its entries in a checkpoint
}

// Entry returns an entry with the number of its last change.
func (s *Snapshot) Entry(name string) (Entry, uint64, bool) {
	e, ok := s.Entries[name]
	return e, s.Revisions[name], ok
}

// withChange returns the snapshot that results from a change to this one.
func (s *Snapshot) withChange(c Change) *Snapshot {
	next := &Snapshot{Revision: c.N, Entries: maps.Clone(s.Entries), Revisions: maps.Clone(s.Revisions), size: s.size}
	if next.Entries == nil {
		next.Entries = make(map[string]Entry)
		next.Revisions = make(map[string]uint64)
	}
	if before, ok := next.Entries[c.Entry]; ok {
		next.size -= before.size()
	}
	if c.After == nil {
		delete(next.Entries, c.Entry)
		delete(next.Revisions, c.Entry)
		return next
	}
	next.size += c.After.size()
	next.Entries[c.Entry] = *c.After
	next.Revisions[c.Entry] = c.N
	return next
}

// checkpoint returns the snapshot as a checkpoint record.
func (s *Snapshot) checkpoint() *Checkpoint {
	return &Checkpoint{Revision: s.Revision, Entries: s.Entries, Revisions: s.Revisions}
}

// The errors of a Table. Compare them with errors.Is.
var (
	// ErrGap says that a change came before the one that it follows.
	ErrGap = errors.New("change out of order")
	// ErrFork says that two different changes have the same number.
	ErrFork = errors.New("two changes with the same number")
)

// DefaultMaxChanges is how many changes a table keeps for peers by default.
const DefaultMaxChanges = 256

// Table holds the catalogue that this node has applied. Its zero value is the
// empty catalogue of revision 0. Changes are applied only in the order of their
// numbers, so that the revision never falls, wherever the changes come from.
type Table struct {
	MaxChanges int // changes kept for peers, 0 for DefaultMaxChanges

	current  atomic.Pointer[Snapshot]
	caughtUp atomic.Pointer[time.Time] // when the log was last read to its head

	mu      sync.Mutex
	changes []Change // the most recent ones, without a gap, up to the current revision
	changed chan struct{}
}

var emptySnapshot = &Snapshot{}

// Current returns the applied catalogue without waiting for a lock.
func (t *Table) Current() *Snapshot {
	if s := t.current.Load(); s != nil {
		return s
	}
	return emptySnapshot
}

// Revision returns the number of the last applied change.
func (t *Table) Revision() uint64 { return t.Current().Revision }

// OldestChange returns the number of the oldest change that Changes can still return.
func (t *Table) OldestChange() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.base()
}

func (t *Table) base() uint64 {
	return t.Current().Revision + 1 - uint64(len(t.changes))
}

// Apply applies the next change. It ignores an older one, but returns ErrFork if
// the table has a different change with its number. It returns ErrGap if changes
// before it are missing.
func (t *Table) Apply(c Change) error {
	if err := c.check(); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	current := t.Current()
	if c.N > current.Revision+1 {
		return errors.Wrapf(ErrGap, "change %d at revision %d", c.N, current.Revision)
	}
	if c.N <= current.Revision {
		return t.checkSameChange(c)
	}
	t.changes = append(t.changes, c)
	if excess := len(t.changes) - t.maxChanges(); excess > 0 {
		t.changes = t.changes[excess:] // append moves them to a new array in time
	}
	t.publish(current.withChange(c))
	return nil
}

// checkSameChange detects that the log has forked: two nodes would then have
// different catalogues under one revision, which would go unnoticed otherwise.
func (t *Table) checkSameChange(c Change) error {
	base := t.base()
	if c.N < base {
		return nil
	}
	if applied := t.changes[c.N-base]; applied.EditID != c.EditID {
		return errors.Wrapf(ErrFork, "change %d: edit %q is applied, edit %q was received", c.N, applied.EditID, c.EditID)
	}
	return nil
}

func (t *Table) maxChanges() int {
	if t.MaxChanges > 0 {
		return t.MaxChanges
	}
	return DefaultMaxChanges
}

// Restore replaces the catalogue by a checkpoint if that is newer, and does
// nothing otherwise.
func (t *Table) Restore(c Checkpoint) error {
	if err := c.check(); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.Revision <= t.Current().Revision {
		return nil
	}
	t.changes = nil
	next := &Snapshot{Revision: c.Revision, Entries: c.Entries, Revisions: c.Revisions}
	for _, e := range c.Entries {
		next.size += e.size()
	}
	t.publish(next)
	return nil
}

func (t *Table) publish(s *Snapshot) {
	t.current.Store(s)
	if t.changed != nil {
		close(t.changed)
		t.changed = nil
	}
}

// Changes returns the changes after a revision, oldest first, and at most limit
// of them unless limit is 0. When the table no longer has them all, it returns
// the whole catalogue instead.
func (t *Table) Changes(after uint64, limit int) ([]Change, *Checkpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	current := t.Current()
	if after >= current.Revision {
		return nil, nil
	}
	base := t.base()
	if after+1 < base {
		return nil, current.checkpoint()
	}
	newer := t.changes[after+1-base:]
	if limit > 0 && len(newer) > limit {
		newer = newer[:limit]
	}
	return append([]Change(nil), newer...), nil
}

// Changed returns a channel that is closed at the next increase of the revision.
// Call it before reading the revision, so that no increase is missed.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.changed == nil {
		t.changed = make(chan struct{})
	}
	return t.changed
}

// changeByEditID returns the change with an edit id, if the table still has it.
func (t *Table) changeByEditID(id string) (Change, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := len(t.changes) - 1; i >= 0; i-- {
		if t.changes[i].EditID == id {
			return t.changes[i], true
		}
	}
	return Change{}, false
}

// lastChangeOf returns the last change of an entry, if the table still has it.
func (t *Table) lastChangeOf(entry string) (Change, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := len(t.changes) - 1; i >= 0; i-- {
		if t.changes[i].Entry == entry {
			return t.changes[i], true
		}
	}
	return Change{}, false
}
