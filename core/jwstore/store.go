package jwstore

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// The errors of a Store; compare with errors.Is.
var (
	// ErrUnavailable means that the call failed and certainly had no effect.
	ErrUnavailable = errors.New("store unavailable")
	// ErrUnknown means that a write may or may not have taken effect.
	ErrUnknown = errors.New("store write outcome unknown")
)

// Item is a key with its value. Version increases with every write of the key and
// is never zero for a key that exists.
type Item struct {
	Key     string
	Value   []byte
	Version uint64
}

// Reader reads keys of the platform's key-value service.
type Reader interface {
	// Get returns the item of a key, and false when there is none.
	Get(ctx context.Context, key string) (Item, bool, error)
	// List returns the items whose keys begin with prefix, sorted by key.
	List(ctx context.Context, prefix string) ([]Item, error)
	// Wait blocks until the version of the key differs from after (0 for a key
	// that does not exist), at most for maxWait, and then returns like Get.
	Wait(ctx context.Context, key string, after uint64, maxWait time.Duration) (Item, bool, error)
}

// Writer writes keys of the platform's key-value service.
type Writer interface {
	// CompareAndSwap writes value if the key is still at version (0 creates the key) and
	// returns the new version. swapped is false if the key is at another version.
	CompareAndSwap(ctx context.Context, key string, value []byte, version uint64) (next uint64, swapped bool, err error)
	// Delete removes the key if it is still at version, and reports whether it did.
	Delete(ctx context.Context, key string, version uint64) (deleted bool, err error)
}

// Store reads and writes keys of the platform's key-value service.
type Store interface {
	Reader
	Writer
}
