package jwstore

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// The errors of a Feed beside those of a Store.
var (
	// ErrCompacted says that the history asked for is no longer kept, or is of an earlier
	// era: the keys have to be read anew.
	ErrCompacted = errors.New("store history compacted")
	// ErrNoLease says that a lease has ended.
	ErrNoLease = errors.New("store lease ended")
)

// Event is a change of one key.
type Event struct {
	Key     string
	Value   []byte
	Deleted bool
	// Revision is the store's at this change.
	Revision Revision
}

// Page is a part of the items of a Feed.
type Page struct {
	Items    []Item
	Revision Revision // of the store
	More     bool     // other items follow
}

// Lease is a lease of the store; keys written under it vanish with it.
type Lease uint64

// Feed is a store that tells changes by prefix and keeps keys under leases.
type Feed interface {
	// Range returns a page of the items whose keys begin with prefix, in the order of
	// their keys, from the one behind a key on. Watch from the revision of the first
	// page misses nothing that came after the items were read.
	Range(ctx context.Context, prefix, after string) (Page, error)
	// Watch returns the changes after a revision as soon as there are any, or
	// none after maxWait, and the revision to go on from.
	Watch(ctx context.Context, prefix string, after Revision, maxWait time.Duration) ([]Event, Revision, error)
	// Grant makes a lease and returns how long it lasts without Renew.
	Grant(ctx context.Context, ttl time.Duration) (Lease, time.Duration, error)
	// Renew makes a lease last from now on anew.
	Renew(ctx context.Context, lease Lease) error
	// End ends a lease and removes its keys.
	End(ctx context.Context, lease Lease) error
	// Set writes a key under a lease, 0 for none, whatever is there.
	Set(ctx context.Context, key string, value []byte, lease Lease) error
}
