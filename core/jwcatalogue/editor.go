package jwcatalogue

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"jujubewheel/core/jwclock"
	"jujubewheel/core/jwstore"
)

// The bounds of what an operator says of an edit.
const (
	MaxEditIDLength = 128
	MaxReasonLength = 1024
)

// Edit is what an operator asks for.
type Edit struct {
	EditID     string // the same for every send of this edit
	Author     string
	Reason     string
	Entry      string
	After      *Entry // nil removes the entry
	IfRevision uint64 // the last change of the entry that the operator saw, 0 for none
}

// EditResult tells where an edit stands in the log.
type EditResult struct {
	Revision uint64
}

// ConflictError says that the entry was changed after the operator saw it.
type ConflictError struct {
	Entry    string
	Revision uint64  // the last change of the entry, 0 if it does not exist
	Winner   *Change // the change that came first, nil when it is no longer kept
}

// Error names the change that came first.
func (e *ConflictError) Error() string {
	if e.Winner == nil {
		return fmt.Sprintf("entry %q is at revision %d", e.Entry, e.Revision)
	}
	return fmt.Sprintf("entry %q was changed by %s in change %d", e.Entry, e.Winner.Author, e.Winner.N)
}

// Editor writes the edits of operators into the log. Several may run at once,
// on any nodes.
type Editor struct {
	Store jwstore.Store
	Table *Table           // brought to the head of the log by each edit
	Now   func() time.Time // nil for time.Now
	Retry time.Duration    // pause before a write of unknown outcome is looked at again, 0 for 100 ms
	Keep  uint64           // changes left in the service, 0 for KeepInStore
}

// writeAttempts bounds how often a lost reply is looked into.
const maxWriteAttempts = 5

// Put appends an edit to the log. It returns an InvalidError or ConflictError
// for an edit that is certainly not in the log, jwstore.ErrUnavailable when it
// certainly is not because of the service, and jwstore.ErrUnknown when it may
// be: the same edit is then to be sent again.
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
			continue // perhaps only because this node is behind
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

// trustFor is how long a table counts as near the head after the log was read.
const maxCatchUpAge = 2 * time.Minute

// trusted reports whether the first try may be made from what this node has,
// which saves two calls over a slow link. It is right whenever the number is
// free; a node that is far behind would only create a trimmed one anew.
func (d *Editor) recentlyCaughtUp() bool {
	at := d.Table.caughtUp.Load()
	return at != nil && time.Since(*at) < maxCatchUpAge
}

// next returns the change to write for an edit, or the one that the edit
// became when it was sent before.
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

// same reports whether a change is of this edit. An edit id used for another
// edit is a fault of the sender, not a success.
func checkSameEdit(c Change, e Edit) error {
	if c.Entry == e.Entry && equalEntries(c.After, e.After) {
		return nil
	}
	return &InvalidError{Entry: e.Entry, Faults: []string{
		fmt.Sprintf("edit id %q belongs to change %d", e.EditID, c.N),
	}}
}

// change makes the next change of an edit, or returns the one that the edit
// became when it was sent before.
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
		return Change{}, &ConflictError{Entry: e.Entry, Revision: revision, Winner: lastChange}
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
		return nil, asUnavailable(errors.Wrap(err, "read winner: store"))
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

// fits refuses what would not go into one value of the service. A log that
// outgrew its checkpoint could not be trimmed, nor read by a new node.
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

// create writes the change as the next one and reports whether it is the one
// that the log has under its number. When the reply of the write is lost, the
// log itself tells whose change it is.
func (d *Editor) create(ctx context.Context, c Change) (created bool, err error) {
	data, err := c.Encode()
	if err != nil {
		return false, err
	}
	mayBeWritten := false // an earlier write may still take effect
	for range maxWriteAttempts {
		_, swapped, err := d.Store.Swap(ctx, ChangeKey(c.N), data, 0)
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

// isOurs reads a change back. Only its edit id tells whose it is: the content
// of two operators' edits may well be the same.
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

// won finishes an edit whose change is in the service. An editor that was
// paused for so long that its number was trimmed away has created it anew,
// where nobody will read it; the mark of the log tells.
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
		// The edit is done; a checkpoint that fails is made by a later one.
		_ = d.storeLog().compact(ctx, d.Table.Current())
	}
	return EditResult{Revision: c.N}, nil
}

func (d *Editor) retryDelay() time.Duration {
	if d.Retry > 0 {
		return d.Retry
	}
	return 100 * time.Millisecond
}

// noEffect marks an error of a step before the write.
func asUnavailable(err error) error {
	if errors.Is(err, jwstore.ErrUnavailable) {
		return err
	}
	return &unavailableError{err}
}

// unavailableError is a failure before anything was written.
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
