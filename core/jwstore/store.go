package jwstore

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// The errors of a store; compare with errors.Is.
var (
	// ErrUnavailable says that the call certainly had no effect.
	ErrUnavailable = errors.New("store unavailable")
	// ErrUnknown says that a write may or may not have taken effect.
	ErrUnknown = errors.New("store write outcome unknown")
)

// Item is one key with its value; Version rises with every write of the key
// and is never zero for a key that exists.
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
	// Wait returns as Get does once the version of the key is other than
	// after (0 for a key that does not exist), or after maxWait.
	Wait(ctx context.Context, key string, after uint64, maxWait time.Duration) (Item, bool, error)
}

// Writer writes keys of the platform's key-value service.
type Writer interface {
	// Swap writes value if the version of the key is still version (0
	// creates the key) and returns the new version; swapped is false when
	// another write came first.
	Swap(ctx context.Context, key string, value []byte, version uint64) (next uint64, swapped bool, err error)
	// Delete removes the key if its version is still version.
	Delete(ctx context.Context, key string, version uint64) (deleted bool, err error)
}

// Store is the whole of the platform's key-value service that nodes use.
type Store interface {
	Reader
	Writer
}
