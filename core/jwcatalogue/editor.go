package jwcatalogue

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"jujubewheel/core/jwclock"
	"jujubewheel/core/jwstore"
)

// The maximum lengths, in bytes, of the texts in an edit.
const (
	MaxEditIDLength = 128
	MaxReasonLength = 1024
)

// Edit is an operator's request to add, replace or remove an entry.
type Edit struct {
	EditID     string // the same in every retry of this edit
	Author     string
	Reason     string
	Entry      string
	After      *Entry // nil removes the entry
	IfRevision uint64 // the last change of the entry that the operator saw, 0 for none
}

// EditResult holds the revision that an edit made.
type EditResult struct {
	Revision uint64
}

// ConflictError says that the entry was changed after the operator saw it.
type ConflictError struct {
	Entry             string
	Revision          uint64  // the last change of the entry, 0 if it does not exist
	ConflictingChange *Change // the change that the operator did not see, nil when it is no longer kept
}

// Error names the change that the operator did not see, if it is known.
func (e *ConflictError) Error() string {
	if e.ConflictingChange == nil {
		return fmt.Sprintf("entry %q is at revision %d", e.Entry, e.Revision)
	}
	return fmt.Sprintf("entry %q was changed by %s in change %d", e.Entry, e.ConflictingChange.Author, e.ConflictingChange.N)
}

// Editor appends the edits of operators to the log. Several editors may run at
// once, on any nodes.
type Editor struct {
	Store      jwstore.Store
	Table      *Table           // brought up to the head of the log when needed
	Now        func() time.Time // nil for time.Now
	RetryDelay time.Duration    // pause before a write of unknown outcome is checked again, 0 for 100 ms
	Keep       uint64           // changes kept in the store, 0 for KeepInStore
}

// maxWriteAttempts limits the writes and reads that resolve a lost reply.
const maxWriteAttempts = 5

// Put appends an edit to the log. It returns an InvalidError or ConflictError
// if the edit was rejected and is not in the log, jwstore.ErrUnavailable if it
// is not in the log because the store can't be reached, and jwstore.ErrUnknown
// if it may be in the log; the caller should then send the same edit again.
func (d *Editor) Put(ctx context.Context, e Edit) (EditResult, error) {
	if err := e.Validate(); err != nil {
		return EditResult{}, err
	}
	for caughtUp := !d.recentlyCaughtUp(); ; caughtUp = true {
		if caughtUp {
			if err := d.storeLog().catchUp(ctx, d.Table); err != nil {
				return EditResult{}, asUnavailable(err)
			}
		}
		c, exists, err := d.nextChange(ctx, e)
		if err != nil && !caughtUp {
			continue // the cause may be that this node is behind
		}
		if err != nil {
			return EditResult{}, err
		}
		if exists {
			return EditResult{Revision: c.N}, nil
		}
		created, err := d.create(ctx, c)
		if err != nil {
			return EditResult{}, err
		}
		if created {
			return d.finish(ctx, c)
		}
	}
}

// Validate returns an InvalidError that names every fault of the edit, or nil.
func (e Edit) Validate() error {
	var f faults
	f.checkName("entry", e.Entry)
	if e.EditID == "" || len(e.EditID) > MaxEditIDLength {
		f.add("edit id is empty or longer than %d bytes", MaxEditIDLength)
	}
	if e.Author == "" || len(e.Author) > MaxEditIDLength {
		f.add("author is empty or longer than %d bytes", MaxEditIDLength)
	}
	if len(e.Reason) > MaxReasonLength {
		f.add("reason is longer than %d bytes", MaxReasonLength)
	}
	if e.After != nil {
		if e.After.Name != e.Entry {
			f.add("name %q is not that of the entry", e.After.Name)
		}
		var invalid *InvalidError
		if errors.As(e.After.Validate(), &invalid) {
			f = append(f, invalid.Faults...)
		}
	}
	if len(f) == 0 {
		return nil
	}
	return &InvalidError{Entry: e.Entry, Faults: f}
}

func (d *Editor) storeLog() changeLog {
	keep := d.Keep
	if keep == 0 {
		keep = KeepInStore
	}
	return changeLog{store: d.Store, keep: keep}
}

func (d *Editor) now() time.Time {
	if d.Now == nil {
		return time.Now()
	}
	return d.Now()
}

// maxCatchUpAge is how long after reading the log a table counts as up to date.
const maxCatchUpAge = 2 * time.Minute

// recentlyCaughtUp reports whether the first attempt may use the table as it
// is, which saves two calls over a slow link. The attempt is correct whenever
// the number of the next change is free. The age is limited because a node far
// behind would create a change under a number that was already trimmed.
func (d *Editor) recentlyCaughtUp() bool {
	at := d.Table.caughtUp.Load()
	return at != nil && time.Since(*at) < maxCatchUpAge
}

// nextChange returns the change to write for an edit. If the edit was written
// before, it returns the change that it made, and exists is true.
func (d *Editor) nextChange(ctx context.Context, e Edit) (c Change, exists bool, err error) {
	if c, ok := d.Table.changeByEditID(e.EditID); ok {
		return c, true, checkSameEdit(c, e)
	}
	current := d.Table.Current()
	c, err = d.buildChange(ctx, current, e)
	if err != nil {
		return c, false, err
	}
	if c.N <= current.Revision {
		return c, true, checkSameEdit(c, e)
	}
	return c, false, checkSize(current, c)
}

// checkSameEdit returns an InvalidError if a change was made by another edit
// with the same edit id: that is a mistake of the sender, not a success.
func checkSameEdit(c Change, e Edit) error {
	if c.Entry == e.Entry && equalEntries(c.After, e.After) {
		return nil
	}
	return &InvalidError{Entry: e.Entry, Faults: []string{
		fmt.Sprintf("edit id %q belongs to change %d", e.EditID, c.N),
	}}
}

// buildChange returns the next change for an edit. If the edit was written
// before, it returns the change that it made.
func (d *Editor) buildChange(ctx context.Context, current *Snapshot, e Edit) (Change, error) {
	before, revision, ok := current.Entry(e.Entry)
	if revision != e.IfRevision {
		lastChange, err := d.readLastChange(ctx, e.Entry, revision)
		if err != nil {
			return Change{}, err
		}
		if lastChange != nil && lastChange.EditID == e.EditID {
			return *lastChange, nil
		}
		return Change{}, &ConflictError{Entry: e.Entry, Revision: revision, ConflictingChange: lastChange}
	}
	if !ok && e.After == nil {
		return Change{}, &InvalidError{Entry: e.Entry, Faults: []string{"there is no such entry to remove"}}
	}
	c := Change{
		N: current.Revision + 1, EditID: e.EditID, Author: e.Author, Time: d.now().UTC().Round(0),
		Reason: e.Reason, Entry: e.Entry, After: e.After.clone(),
	}
	if ok {
		c.Before = &before
	}
	return c, nil
}

func (d *Editor) readLastChange(ctx context.Context, entry string, revision uint64) (*Change, error) {
	if c, ok := d.Table.lastChangeOf(entry); ok {
		return &c, nil
	}
	if revision == 0 {
		return nil, nil
	}
	item, ok, err := d.Store.Get(ctx, ChangeKey(revision))
	if err != nil {
		return nil, asUnavailable(errors.Wrap(err, "read conflicting change: store"))
	}
	if !ok {
		return nil, nil
	}
	c, err := readChange(item, revision)
	if err != nil {
		return nil, err
	}
	return &c, nil
}

// checkSize rejects a change that is too large for one value of the store or
// that makes the checkpoint too large. Without the checkpoint, the log could
// not be trimmed, and a new node could not read it.
func checkSize(current *Snapshot, c Change) error {
	data, err := c.Encode()
	if err != nil {
		return err
	}
	if len(data) > MaxChangeSize {
		return &InvalidError{Entry: c.Entry, Faults: []string{
			fmt.Sprintf("the change has %d bytes, more than %d", len(data), MaxChangeSize),
		}}
	}
	if size := current.withChange(c).size; size > MaxCatalogueSize && size > current.size {
		return &InvalidError{Entry: c.Entry, Faults: []string{
			fmt.Sprintf("the catalogue would have %d bytes, more than %d", size, MaxCatalogueSize),
		}}
	}
	return nil
}

// create writes the change under its number and reports whether the log now
// holds it. If the reply of a write is lost, it reads the log to find out whose
// change the log has under that number.
func (d *Editor) create(ctx context.Context, c Change) (created bool, err error) {
	data, err := c.Encode()
	if err != nil {
		return false, err
	}
	mayBeWritten := false // an earlier write may still take effect
	for range maxWriteAttempts {
		_, swapped, err := d.Store.CompareAndSwap(ctx, ChangeKey(c.N), data, 0)
		if err == nil && swapped {
			return true, nil
		}
		if err == nil && !mayBeWritten {
			return false, nil
		}
		if err == nil {
			created, err = d.isInLog(ctx, c)
			if err == nil {
				return created, nil
			}
		}
		if errors.Is(err, jwstore.ErrUnavailable) && !mayBeWritten {
			return false, errors.Wrapf(err, "write change %d: store", c.N)
		}
		mayBeWritten = true
		if err := jwclock.Sleep(ctx, d.retryDelay()); err != nil {
			break
		}
	}
	return false, errors.Wrapf(jwstore.ErrUnknown, "write change %d: store", c.N)
}

// isInLog reports whether the log holds this change under its number. It
// compares edit ids, since two operators may send edits with the same content.
func (d *Editor) isInLog(ctx context.Context, c Change) (bool, error) {
	item, ok, err := d.Store.Get(ctx, ChangeKey(c.N))
	if err != nil {
		return false, err
	}
	if !ok {
		return false, jwstore.ErrUnknown
	}
	stored, err := readChange(item, c.N)
	return stored.EditID == c.EditID, err
}

// finish completes an edit whose change was created in the store. If the editor
// was paused for so long that its number was trimmed, it has created the key
// again where no node reads it; the log state shows this.
func (d *Editor) finish(ctx context.Context, c Change) (EditResult, error) {
	state, _, err := d.storeLog().readState(ctx)
	for range maxWriteAttempts {
		if err == nil || jwclock.Sleep(ctx, d.retryDelay()) != nil {
			break
		}
		state, _, err = d.storeLog().readState(ctx)
	}
	if err != nil {
		return EditResult{}, errors.Wrapf(jwstore.ErrUnknown, "check change %d: store: %v", c.N, err)
	}
	if state.Trimmed >= c.N {
		return EditResult{}, errors.Wrapf(jwstore.ErrUnknown, "check change %d: store: trimmed to %d", c.N, state.Trimmed)
	}
	if err := d.Table.Apply(c); err != nil {
		return EditResult{}, err
	}
	if c.N >= state.Checkpoint+CheckpointEvery {
		// The edit is done. If the checkpoint fails, a later edit writes one.
		_ = d.storeLog().compact(ctx, d.Table.Current())
	}
	return EditResult{Revision: c.N}, nil
}

func (d *Editor) retryDelay() time.Duration {
	if d.RetryDelay > 0 {
		return d.RetryDelay
	}
	return 100 * time.Millisecond
}

// asUnavailable makes an error from before the write match jwstore.ErrUnavailable.
func asUnavailable(err error) error {
	if errors.Is(err, jwstore.ErrUnavailable) {
		return err
	}
	return &unavailableError{err}
}

// unavailableError is a failure before anything was written. It matches
// jwstore.ErrUnavailable.
type unavailableError struct{ cause error }

func (e *unavailableError) Error() string        { return e.cause.Error() }
func (e *unavailableError) Unwrap() error        { return e.cause }
func (e *unavailableError) Is(target error) bool { return target == jwstore.ErrUnavailable }

func equalEntries(a, b *Entry) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.equal(*b)
}
