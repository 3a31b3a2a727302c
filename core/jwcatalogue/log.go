package jwcatalogue

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"jujubewheel/core/jwstore"
)

// The spacing of the log.
const (
	CheckpointEvery = 64   // changes between checkpoints
	KeepInStore     = 4096 // changes left in the service for the audit trail
)

// changeLog reads and tends the log of changes in the platform's service.
type changeLog struct {
	store jwstore.Store
	keep  uint64 // changes left in the service
}

// catchUp brings the table to the head that the log has when the call begins,
// or further. The mark is read after the changes: a change that an editor
// created anew after it was trimmed away is never applied, since the mark then
// says that it was trimmed.
func (l changeLog) catchUp(ctx context.Context, t *Table) error {
	begin := time.Now()
	for {
		before := t.Revision()
		prefix := blockPrefix(before + 1)
		items, err := l.store.List(ctx, prefix)
		if err != nil {
			return errors.Wrap(err, "list changes: store")
		}
		mark, _, err := l.mark(ctx)
		if err != nil {
			return err
		}
		if mark.Trimmed > before || mark.Checkpoint > before+blockSize {
			if err := l.restore(ctx, t, mark); err != nil {
				return err
			}
			continue
		}
		if err := applyItems(t, items); err != nil {
			return err
		}
		if blockPrefix(t.Revision()+1) == prefix {
			t.caughtUp.Store(&begin)
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

// restore brings the checkpoint into force that a mark speaks of.
func (l changeLog) restore(ctx context.Context, t *Table, mark logMark) error {
	cp, _, err := l.checkpoint(ctx)
	if err != nil {
		return err
	}
	if cp.Revision < mark.Checkpoint {
		return errors.Errorf("read checkpoint: store: revision %d, where %d was written", cp.Revision, mark.Checkpoint)
	}
	return t.Restore(cp)
}

// logMark tells how far the log is trimmed. It is a key of its own, since it
// is read with every change and a checkpoint may be large.
type logMark struct {
	Checkpoint uint64 `json:"checkpoint"` // the checkpoint is of this revision or a later one
	Trimmed    uint64 `json:"trimmed"`    // changes up to here may be gone
	Swept      uint64 `json:"swept"`      // changes up to here are gone
}

func (l changeLog) mark(ctx context.Context) (logMark, uint64, error) {
	var m logMark
	item, ok, err := l.store.Get(ctx, LogKey)
	if err != nil {
		return m, 0, errors.Wrap(err, "read mark: store")
	}
	if !ok {
		return m, 0, nil
	}
	if err := decodeRecord(item.Value, &m); err != nil {
		return m, 0, errors.Wrap(err, "read mark: store")
	}
	if m.Swept > m.Trimmed || m.Trimmed > m.Checkpoint {
		return m, 0, errors.Errorf("read mark: store: swept to %d, trimmed to %d of %d", m.Swept, m.Trimmed, m.Checkpoint)
	}
	return m, item.Version, nil
}

func (l changeLog) checkpoint(ctx context.Context) (Checkpoint, uint64, error) {
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

// tend writes a checkpoint when one is due and trims the log behind it. Any
// node may do it at any time, also several at once: every write is a swap,
// and whoever loses one leaves the rest to the winner.
func (l changeLog) tend(ctx context.Context, s *Snapshot) error {
	mark, version, err := l.mark(ctx)
	if err != nil || s.Revision < mark.Checkpoint+CheckpointEvery {
		return err
	}
	if won, err := l.writeCheckpoint(ctx, s); err != nil || !won {
		return err
	}
	if err := l.sweep(ctx, mark.Swept, mark.Trimmed); err != nil {
		return err
	}
	next := logMark{Checkpoint: s.Revision, Trimmed: mark.Trimmed, Swept: mark.Trimmed}
	if s.Revision > l.keep+mark.Trimmed {
		next.Trimmed = s.Revision - l.keep
	}
	data, err := json.Marshal(next)
	if err != nil {
		return err
	}
	_, _, err = l.store.Swap(ctx, LogKey, data, version)
	return errors.Wrap(err, "write mark: store")
}

// writeCheckpoint never replaces a checkpoint by an older one.
func (l changeLog) writeCheckpoint(ctx context.Context, s *Snapshot) (won bool, err error) {
	old, version, err := l.checkpoint(ctx)
	if err != nil || old.Revision > s.Revision {
		return false, err
	}
	if old.Revision == s.Revision {
		return true, nil
	}
	data, err := s.checkpoint().Encode()
	if err != nil {
		return false, err
	}
	_, won, err = l.store.Swap(ctx, CheckpointKey, data, version)
	return won, errors.Wrap(err, "write checkpoint: store")
}

// sweep deletes the changes that an earlier mark announced as trimmed.
// Were they deleted without that word, a paused editor could create one of
// them anew and believe that its edit is in the log.
func (l changeLog) sweep(ctx context.Context, after, upTo uint64) error {
	for n := after + 1; n <= upTo; n = (n/blockSize + 1) * blockSize {
		items, err := l.store.List(ctx, blockPrefix(n))
		if err != nil {
			return errors.Wrap(err, "list old changes: store")
		}
		for _, item := range items {
			if old, err := changeNumber(item.Key); err != nil || old > upTo {
				continue
			}
			if _, err := l.store.Delete(ctx, item.Key, item.Version); err != nil {
				return errors.Wrapf(err, "delete %s: store", item.Key)
			}
		}
	}
	return nil
}
