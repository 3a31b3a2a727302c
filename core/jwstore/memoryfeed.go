package jwstore

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// MemoryFeed is a Feed in memory, for tests and simulated platforms. The zero value is
// empty. Leases end only by End, EndAllLeases and Restore. It is safe for concurrent use.
type MemoryFeed struct {
	PageSize int // maximum number of items of a page, 0 for no limit

	mu           sync.Mutex
	revision     Revision
	items        map[string]memoryItem
	events       []Event
	compacted    Revision // history up to this revision is not kept
	lastLease    Lease
	activeLeases map[Lease]bool
	changed      chan struct{}
	callErr      error
}

// memoryItem is an item with the lease it was written under, 0 for none.
type memoryItem struct {
	Item
	lease Lease
}

var _ Feed = (*MemoryFeed)(nil)

// SetError makes every call of a Feed method fail with err, until SetError(nil).
func (m *MemoryFeed) SetError(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.callErr = err
	m.notify()
}

// Compact drops the history, so that a Watch from an earlier revision fails with
// ErrCompacted.
func (m *MemoryFeed) Compact() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.events, m.compacted = nil, m.revision
	m.notify()
}

// Snapshot holds the contents of a MemoryFeed at one time.
type Snapshot struct {
	revision Revision
	items    map[string]memoryItem
}

// Snapshot returns the current contents.
func (m *MemoryFeed) Snapshot() Snapshot {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Snapshot{m.revision, maps.Clone(m.items)}
}

// Restore restores the store from a snapshot: all later changes and all leases with their keys
// are lost, and revision numbers are assigned again in the next era.
func (m *MemoryFeed) Restore(c Snapshot) {
	m.mu.Lock()
	defer m.mu.Unlock()
	era := Era(m.revision) + 1
	at := func(r Revision) Revision { return makeRevision(era, Number(r)) }
	m.items = make(map[string]memoryItem, len(c.items))
	for key, i := range c.items {
		if i.lease == 0 {
			i.Version = at(i.Version)
			m.items[key] = i
		}
	}
	m.revision = at(c.revision)
	m.events, m.compacted, m.activeLeases = nil, m.revision, nil
	m.notify()
}

// Write sets a key without a lease.
func (m *MemoryFeed) Write(key string, value []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.set(key, value, 0)
}

// Remove deletes a key.
func (m *MemoryFeed) Remove(key string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.remove(key)
}

// Has reports whether a key exists.
func (m *MemoryFeed) Has(key string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, ok := m.items[key]
	return ok
}

// set writes a key under a lease, with m.mu locked.
func (m *MemoryFeed) set(key string, value []byte, lease Lease) {
	if m.items == nil {
		m.items = make(map[string]memoryItem)
	}
	m.revision++
	m.items[key] = memoryItem{Item{key, value, m.revision}, lease}
	m.events = append(m.events, Event{Key: key, Value: value, Revision: m.revision})
	m.notify()
}

// remove deletes a key if it exists, with m.mu locked.
func (m *MemoryFeed) remove(key string) {
	if _, ok := m.items[key]; !ok {
		return
	}
	delete(m.items, key)
	m.revision++
	m.events = append(m.events, Event{Key: key, Deleted: true, Revision: m.revision})
	m.notify()
}

// notify wakes the blocked calls of Watch, with m.mu locked.
func (m *MemoryFeed) notify() {
	if m.changed != nil {
		close(m.changed)
		m.changed = nil
	}
}

// Range implements Feed.
func (m *MemoryFeed) Range(_ context.Context, prefix, after string) (Page, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := Page{Revision: max(m.revision, 1)}
	for key, i := range m.items {
		if strings.HasPrefix(key, prefix) && (after == "" || key > after) {
			p.Items = append(p.Items, i.Item)
		}
	}
	slices.SortFunc(p.Items, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })
	if m.PageSize > 0 && len(p.Items) > m.PageSize {
		p.Items, p.More = p.Items[:m.PageSize], true
	}
	return p, m.callErr
}

// Watch implements Feed.
func (m *MemoryFeed) Watch(ctx context.Context, prefix string, after Revision, maxWait time.Duration) ([]Event, Revision, error) {
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	for {
		m.mu.Lock()
		if m.callErr != nil || after < m.compacted {
			err := m.callErr
			if err == nil {
				err = ErrCompacted
			}
			m.mu.Unlock()
			return nil, 0, err
		}
		var events []Event
		for _, e := range m.events {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				events = append(events, e)
			}
		}
		revision := max(m.revision, after)
		if m.changed == nil {
			m.changed = make(chan struct{})
		}
		changed := m.changed
		m.mu.Unlock()
		if len(events) > 0 {
			return events, revision, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, revision, nil
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

// Grant implements Feed.
func (m *MemoryFeed) Grant(_ context.Context, ttl time.Duration) (Lease, time.Duration, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.callErr != nil {
		return 0, 0, m.callErr
	}
	if m.activeLeases == nil {
		m.activeLeases = make(map[Lease]bool)
	}
	m.lastLease++
	m.activeLeases[m.lastLease] = true
	return m.lastLease, ttl, nil
}

// Renew implements Feed.
func (m *MemoryFeed) Renew(_ context.Context, lease Lease) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.callErr == nil && !m.activeLeases[lease] {
		return ErrNoLease
	}
	return m.callErr
}

// End implements Feed.
func (m *MemoryFeed) End(_ context.Context, lease Lease) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.callErr != nil {
		return m.callErr
	}
	m.endLease(lease)
	return nil
}

// EndAllLeases ends all leases and deletes their keys, as after an outage.
func (m *MemoryFeed) EndAllLeases() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for lease := range m.activeLeases {
		m.endLease(lease)
	}
}

// endLease ends a lease and deletes its keys, with m.mu locked.
func (m *MemoryFeed) endLease(lease Lease) {
	delete(m.activeLeases, lease)
	for key, i := range m.items {
		if i.lease == lease {
			m.remove(key)
		}
	}
}

// Set implements Feed.
func (m *MemoryFeed) Set(_ context.Context, key string, value []byte, lease Lease) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.callErr != nil {
		return m.callErr
	}
	if lease != 0 && !m.activeLeases[lease] {
		return ErrNoLease
	}
	m.set(key, value, lease)
	return nil
}
