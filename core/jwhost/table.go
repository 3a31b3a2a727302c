package jwhost

import (
	"sync"
	"time"
)

// Table holds the newest host list and since when a host is missing from it.
// One mutex guards it; no other lock is taken under it.
type Table struct {
	mu      sync.Mutex
	hosts   []Host
	taken   time.Time
	missing map[string]time.Time // entry hosts once listed, by name
}

// Set takes over a list.
func (t *Table) Set(hosts []Host, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	listed := make(map[string]bool)
	for _, h := range hosts {
		if h.Role == Entry {
			listed[h.Name] = true
		}
	}
	if t.missing == nil {
		t.missing = make(map[string]time.Time)
	}
	for _, h := range t.hosts {
		if h.Role == Entry && !listed[h.Name] {
			t.missing[h.Name] = now
		}
	}
	for name := range listed {
		delete(t.missing, name)
	}
	t.hosts = hosts
	t.taken = now
}

// Hosts returns the newest list, which must not be changed, and when it was
// taken; the time is zero before the first.
func (t *Table) Hosts() ([]Host, time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hosts, t.taken
}

// MissingSince returns since when an entry host that was listed once is no
// longer listed.
func (t *Table) MissingSince(name string) (since time.Time, missing bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	since, missing = t.missing[name]
	return since, missing
}
