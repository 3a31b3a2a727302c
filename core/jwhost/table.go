package jwhost

import (
	"sync"
	"time"
)

// Table holds the newest host list. It is safe for concurrent use, and takes no
// other lock while it holds its own.
type Table struct {
	mu     sync.Mutex
	hosts  []Host
	readAt time.Time // when the list was read
}

// Set replaces the list and the time at which it was read. The caller must not
// change hosts afterwards.
func (t *Table) Set(hosts []Host, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hosts = hosts
	t.readAt = now
}

// Hosts returns the newest list, which must not be changed, and the time at which
// it was read. The time is zero before the first list.
func (t *Table) Hosts() (hosts []Host, readAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hosts, t.readAt
}
