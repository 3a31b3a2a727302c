package jwstore

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// The errors of a Feed, in addition to those of a Store.
var (
	// ErrCompacted means that the requested history is no longer kept or belongs to an
	// earlier era: the keys have to be read again.
	ErrCompacted = errors.New("store history compacted")
	// ErrNoLease means that a lease has ended.
	ErrNoLease = errors.New("store lease ended")
)

// Event is a change of one key: a write, or a deletion if Deleted is set.
type Event struct {
	Key     string
	Value   []byte
	Deleted bool
	// Revision is the store's revision after this change.
	Revision Revision
}

// Page is a part of the result of Feed.Range.
type Page struct {
	Items    []Item
	Revision Revision // the store's revision when the page was read
	More     bool     // more items follow this page
}

// Lease identifies a lease of the store. Keys written under a lease are deleted when it ends.
type Lease uint64

// Feed is a store that reports changes by key prefix and attaches keys to leases.
type Feed interface {
	// Range returns a page of the items whose keys begin with prefix and are greater
	// than after, sorted by key. Watch from the revision of the first page on returns
	// all changes made since the items were read.
	Range(ctx context.Context, prefix, after string) (Page, error)
	// Watch blocks until there are changes after a revision, at most for maxWait. It
	// returns the changes, none after a timeout, and the revision to continue from.
	Watch(ctx context.Context, prefix string, after Revision, maxWait time.Duration) ([]Event, Revision, error)
	// Grant creates a lease and returns it with the time after which it ends unless renewed.
	Grant(ctx context.Context, ttl time.Duration) (Lease, time.Duration, error)
	// Renew restarts the time to live of a lease.
	Renew(ctx context.Context, lease Lease) error
	// End ends a lease and deletes its keys.
	End(ctx context.Context, lease Lease) error
	// Set writes a key under a lease, 0 for none, whatever its current value.
	Set(ctx context.Context, key string, value []byte, lease Lease) error
}
