package jwentry

import (
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"jujubewheel/core/jwworkspace"
)

// Config is a complete configuration. It must not be modified after Index.
type Config struct {
	Version    uint64
	Entries    []*Entry
	Services   map[string]*Service
	Workspaces *jwworkspace.Directory // nil if callers need no keys
	MaxBody    int64                  // maximum size of a request's body in bytes, 0 if not set
	Raw        []byte                 // encoded as in the store, for passing it on to other nodes

	byHost map[string][]*Entry // entries of each host, longest prefix first
}

// Index prepares the configuration for Match and returns it.
func (c *Config) Index() *Config {
	c.byHost = make(map[string][]*Entry)
	for _, e := range c.Entries {
		c.byHost[e.Host] = append(c.byHost[e.Host], e)
	}
	for _, list := range c.byHost {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	return c
}

// Match returns the entry of a host with the longest Prefix that path begins with,
// nil if there is none.
func (c *Config) Match(host, path string) *Entry {
	for _, e := range c.byHost[host] {
		if strings.HasPrefix(path, e.Prefix) {
			return e
		}
	}
	return nil
}

// Caller returns the workspace that a key belongs to, nil if there is none. ok is false
// if the entry needs a key and this one belongs to no workspace.
func (c *Config) Caller(e *Entry, key string) (w *jwworkspace.Workspace, ok bool) {
	if c.Workspaces == nil {
		return nil, true
	}
	w = c.Workspaces.ByKey(key)
	return w, w != nil || e.Public
}

// Table holds the newest configuration, and as of when that is known to be the newest; the
// zero value has none. It is safe for concurrent use.
type Table struct {
	current   atomic.Pointer[Config]
	firstOnce sync.Once
	first     chan struct{} // closed by the first Put

	mu       sync.Mutex
	reported uint64    // latest version that a source has named, in force here or not
	knownAt  time.Time // as of when no version was later than the current one, zero if unknown
}

// Current returns the configuration in force, nil if there is none yet.
func (t *Table) Current() *Config { return t.current.Load() }

// Version returns the version of the configuration in force, 0 if there is none yet.
func (t *Table) Version() uint64 {
	if c := t.Current(); c != nil {
		return c.Version
	}
	return 0
}

// Confirm records that no version was later than the given one as of a time, as a source says that
// had read the store by then. A zero time says only that the version exists.
func (t *Table) Confirm(version uint64, asOf time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reported = max(t.reported, version)
	if version <= t.Version() && asOf.After(t.knownAt) {
		t.knownAt = asOf
	}
}

// KnownAt returns as of when no version was later than the current one, zero if that is unknown.
func (t *Table) KnownAt() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.knownAt
}

// Doubt forgets as of when the current version was known to be the newest.
func (t *Table) Doubt() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.knownAt = time.Time{}
}

// IsCurrent reports whether the current configuration has each change that was made longer than
// maxAge ago.
func (t *Table) IsCurrent(now time.Time, maxAge time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reported <= t.Version() && !t.knownAt.IsZero() && now.Sub(t.knownAt) <= maxAge
}

// First returns a channel that is closed once a configuration is in force.
func (t *Table) First() <-chan struct{} {
	t.firstOnce.Do(func() { t.first = make(chan struct{}) })
	return t.first
}

// PutAsOf is Put for a configuration that was the newest as of a time. A request must not find it in
// force before that is known.
func (t *Table) PutAsOf(c *Config, asOf time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.Put(c) {
		return false
	}
	if asOf.After(t.knownAt) {
		t.knownAt = asOf
	}
	return true
}

// Put puts a configuration into force if it is newer than the current one, and
// reports whether it is. An older one is ignored: a source that is behind, such as
// a peer or a stale read, must not undo a change.
func (t *Table) Put(c *Config) bool {
	for {
		old := t.current.Load()
		if old != nil && old.Version >= c.Version {
			return false
		}
		if t.current.CompareAndSwap(old, c) {
			if old == nil {
				t.First()
				close(t.first)
			}
			return true
		}
	}
}
