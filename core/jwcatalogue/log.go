package jwcatalogue

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"jujubewheel/core/jwstore"
)

// The sizes of the log, in changes.
const (
	CheckpointEvery = 64   // changes between checkpoints
	KeepInStore     = 4096 // changes kept in the store for the audit trail
)

// changeLog reads, checkpoints and trims the log of changes in the store.
type changeLog struct {
	store jwstore.Store
	keep  uint64 // changes kept in the store
}

// catchUp brings the table at least to the head that the log has when the call
// begins. It reads the log state after the changes: if an editor has created a
// change again that was already trimmed, the state says so, and the change is
// not applied.
func (l changeLog) catchUp(ctx context.Context, t *Table) error {
	startedAt := time.Now()
	for {
		revision := t.Revision()
		prefix := blockPrefix(revision + 1)
		items, err := l.store.List(ctx, prefix)
		if err != nil {
			return errors.Wrap(err, "list changes: store")
		}
		state, _, err := l.readState(ctx)
		if err != nil {
			return err
		}
		if state.Trimmed > revision || state.Checkpoint > revision+blockSize {
			if err := l.restoreCheckpoint(ctx, t, state); err != nil {
				return err
			}
			continue
		}
		if err := applyItems(t, items); err != nil {
			return err
		}
		if blockPrefix(t.Revision()+1) == prefix {
			t.caughtUp.Store(&startedAt)
			return nil
		}
	}
}

func applyItems(t *Table, items []jwstore.Item) error {
	for _, item := range items {
		n, err := changeNumber(item.Key)
		if err != nil {
			return err
		}
		if n <= t.Revision() {
			continue
		}
		c, err := readChange(item, n)
		if err != nil {
			return err
		}
		if err := t.Apply(c); err != nil {
			return err
		}
	}
	return nil
}

func readChange(item jwstore.Item, n uint64) (Change, error) {
	c, err := ParseChange(item.Value)
	if err != nil {
		return Change{}, errors.Wrapf(err, "read %s: store", item.Key)
	}
	if c.N != n {
		return Change{}, errors.Errorf("read %s: store: holds change %d", item.Key, c.N)
	}
	return c, nil
}

// restoreCheckpoint applies a checkpoint at least as new as the log state says.
func (l changeLog) restoreCheckpoint(ctx context.Context, t *Table, state logState) error {
	cp, _, err := l.readCheckpoint(ctx)
	if err != nil {
		return err
	}
	if cp.Revision < state.Checkpoint {
		return errors.Errorf("read checkpoint: store: revision %d is older than %d in the state of the log", cp.Revision, state.Checkpoint)
	}
	return t.Restore(cp)
}

// logState holds how far the log is trimmed. It has its own key, since it is
// read with every change and a checkpoint may be large.
type logState struct {
	Checkpoint uint64 `json:"checkpoint"` // the checkpoint is of this revision or a later one
	Trimmed    uint64 `json:"trimmed"`    // changes up to here may be deleted
	Deleted    uint64 `json:"swept"`      // changes up to here are deleted
}

func (l changeLog) readState(ctx context.Context) (logState, uint64, error) {
	var state logState
	item, ok, err := l.store.Get(ctx, LogStateKey)
	if err != nil {
		return state, 0, errors.Wrap(err, "read state of the log: store")
	}
	if !ok {
		return state, 0, nil
	}
	if err := decodeRecord(item.Value, &state); err != nil {
		return state, 0, errors.Wrap(err, "read state of the log: store")
	}
	if state.Deleted > state.Trimmed || state.Trimmed > state.Checkpoint {
		return state, 0, errors.Errorf("read state of the log: store: deleted up to %d, trimmed up to %d, checkpoint %d", state.Deleted, state.Trimmed, state.Checkpoint)
	}
	return state, item.Version, nil
}

func (l changeLog) readCheckpoint(ctx context.Context) (Checkpoint, uint64, error) {
	item, ok, err := l.store.Get(ctx, CheckpointKey)
	if err != nil {
		return Checkpoint{}, 0, errors.Wrap(err, "read checkpoint: store")
	}
	if !ok {
		return Checkpoint{}, 0, nil
	}
	cp, err := ParseCheckpoint(item.Value)
	return cp, item.Version, errors.Wrap(err, "read checkpoint: store")
}

// compact writes a checkpoint when one is due and trims the changes before it.
// Any node may call it at any time, also several at once: every write is a
// compare-and-swap, and a node that loses one leaves the remaining ones to the
// winner.
func (l changeLog) compact(ctx context.Context, s *Snapshot) error {
	state, version, err := l.readState(ctx)
	if err != nil || s.Revision < state.Checkpoint+CheckpointEvery {
		return err
	}
	if written, err := l.writeCheckpoint(ctx, s); err != nil || !written {
		return err
	}
	if err := l.deleteTrimmed(ctx, state.Deleted, state.Trimmed); err != nil {
		return err
	}
	next := logState{Checkpoint: s.Revision, Trimmed: state.Trimmed, Deleted: state.Trimmed}
	if s.Revision > l.keep+state.Trimmed {
		next.Trimmed = s.Revision - l.keep
	}
	data, err := json.Marshal(next)
	if err != nil {
		return err
	}
	_, _, err = l.store.CompareAndSwap(ctx, LogStateKey, data, version)
	return errors.Wrap(err, "write state of the log: store")
}

// writeCheckpoint writes a checkpoint but never replaces one by an older one.
// It reports whether the store now has the checkpoint of this revision.
func (l changeLog) writeCheckpoint(ctx context.Context, s *Snapshot) (written bool, err error) {
	stored, version, err := l.readCheckpoint(ctx)
	if err != nil || stored.Revision > s.Revision {
		return false, err
	}
	if stored.Revision == s.Revision {
		return true, nil
	}
	data, err := s.checkpoint().Encode()
	if err != nil {
		return false, err
	}
	_, written, err = l.store.CompareAndSwap(ctx, CheckpointKey, data, version)
	return written, errors.Wrap(err, "write checkpoint: store")
}

// deleteTrimmed deletes the changes that an earlier log state declared trimmed.
// If they were deleted without that, a paused editor could create one of them
// again and report its edit as part of the log.
func (l changeLog) deleteTrimmed(ctx context.Context, after, upTo uint64) error {
	for n := after + 1; n <= upTo; n = (n/blockSize + 1) * blockSize {
		items, err := l.store.List(ctx, blockPrefix(n))
		if err != nil {
			return errors.Wrap(err, "list trimmed changes: store")
		}
		for _, item := range items {
			if number, err := changeNumber(item.Key); err != nil || number > upTo {
				continue
			}
			if _, err := l.store.Delete(ctx, item.Key, item.Version); err != nil {
				return errors.Wrapf(err, "delete %s: store", item.Key)
			}
		}
	}
	return nil
}
