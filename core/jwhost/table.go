package jwhost

import (
	"sync"
	"time"
)

// Table holds the newest host list. One mutex guards it; no other lock is taken
// under it.
type Table struct {
	mu    sync.Mutex
	hosts []Host
	taken time.Time
}

// Set takes over a list, which must not be changed afterwards.
func (t *Table) Set(hosts []Host, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hosts = hosts
	t.taken = now
}

// Hosts returns the newest list, which must not be changed, and when it was
// taken; the time is zero before the first.
func (t *Table) Hosts() (hosts []Host, taken time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hosts, t.taken
}
