package jwcatalogue

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// The keys of the catalogue in the platform's key-value store.
const (
	ChangesPrefix = "catalogue/changes/"
	CheckpointKey = "catalogue/checkpoint"
	LogStateKey   = "catalogue/log"
)

// The maximum sizes of records, well below the store's limit of one megabyte a
// value.
const (
	MaxChangeSize    = 64 << 10  // bytes of one change
	MaxCatalogueSize = 512 << 10 // bytes of a checkpoint
)

// Change is one record of the log. Change N turns revision N-1 of the catalogue
// into revision N.
type Change struct {
	N      uint64    `json:"n"`
	EditID string    `json:"editId"` // chosen by the sender of the edit
	Author string    `json:"author"`
	Time   time.Time `json:"time"`
	Reason string    `json:"reason"`
	Entry  string    `json:"entry"`
	Before *Entry    `json:"before,omitempty"` // nil when the entry is new
	After  *Entry    `json:"after,omitempty"`  // nil when the entry is removed
}

// ParseChange reads a record of the log and rejects an incomplete one.
func ParseChange(data []byte) (Change, error) {
	var c Change
	if err := decodeStrict(data, &c); err != nil {
		return Change{}, errors.Wrap(err, "catalogue change")
	}
	if err := c.check(); err != nil {
		return Change{}, err
	}
	return c, nil
}

// Encode returns the JSON form that is kept in the store.
func (c Change) Encode() ([]byte, error) {
	if err := c.check(); err != nil {
		return nil, err
	}
	data, err := json.Marshal(c)
	return data, errors.Wrapf(err, "change %d", c.N)
}

func (c Change) check() error {
	switch {
	case c.N == 0:
		return errors.New("change without a number")
	case c.EditID == "":
		return errors.Errorf("change %d has no edit id", c.N)
	case !validName(c.Entry):
		return errors.Errorf("change %d has invalid entry name %q", c.N, c.Entry)
	case c.Before == nil && c.After == nil:
		return errors.Errorf("change %d has no entry before or after it", c.N)
	case c.Before != nil && c.Before.Name != c.Entry:
		return errors.Errorf("change %d of entry %q has %q before it", c.N, c.Entry, c.Before.Name)
	case c.After != nil && c.After.Name != c.Entry:
		return errors.Errorf("change %d of entry %q has %q after it", c.N, c.Entry, c.After.Name)
	}
	return nil
}

// Checkpoint holds the whole catalogue at one revision.
type Checkpoint struct {
	Revision  uint64            `json:"revision"`
	Entries   map[string]Entry  `json:"entries"`   // by name
	Revisions map[string]uint64 `json:"revisions"` // the last change of each entry
}

// ParseCheckpoint reads a checkpoint and rejects an incomplete one.
func ParseCheckpoint(data []byte) (Checkpoint, error) {
	var c Checkpoint
	if err := decodeStrict(data, &c); err != nil {
		return Checkpoint{}, errors.Wrap(err, "catalogue checkpoint")
	}
	if err := c.check(); err != nil {
		return Checkpoint{}, err
	}
	return c, nil
}

// Encode returns the JSON form that is kept in the store.
func (c Checkpoint) Encode() ([]byte, error) {
	if err := c.check(); err != nil {
		return nil, err
	}
	data, err := json.Marshal(c)
	return data, errors.Wrapf(err, "checkpoint %d", c.Revision)
}

func (c Checkpoint) check() error {
	if len(c.Entries) != len(c.Revisions) {
		return errors.Errorf("checkpoint %d has %d entries and %d revisions", c.Revision, len(c.Entries), len(c.Revisions))
	}
	for name, e := range c.Entries {
		if !validName(name) || e.Name != name {
			return errors.Errorf("checkpoint %d has entry %q under the name %q", c.Revision, e.Name, name)
		}
		if n := c.Revisions[name]; n == 0 || n > c.Revision {
			return errors.Errorf("checkpoint %d has entry %q with invalid revision %d", c.Revision, name, n)
		}
	}
	return nil
}

// numberWidth pads the numbers in keys so that the keys sort by number.
const numberWidth = 12

// ChangeKey returns the key of change n.
func ChangeKey(n uint64) string {
	return fmt.Sprintf("%s%0*d", ChangesPrefix, numberWidth, n)
}

// blockPrefix returns the common prefix of the keys of change n and its
// neighbours. One list of it returns at most blockSize changes.
func blockPrefix(n uint64) string {
	key := ChangeKey(n)
	return key[:len(key)-blockDigits]
}

const (
	blockDigits = 2
	blockSize   = 100
)

func changeNumber(key string) (uint64, error) {
	n, err := strconv.ParseUint(strings.TrimPrefix(key, ChangesPrefix), 10, 64)
	return n, errors.Wrapf(err, "key %q", key)
}
