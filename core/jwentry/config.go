package jwentry

import (
	"sort"
	"strings"
	"sync"
	"sync/atomic"

	"jujubewheel/core/jwworkspace"
)

// Config is one whole configuration; it is not changed after Index.
type Config struct {
	Version    uint64
	Entries    []*Entry
	Services   map[string]*Service
	Workspaces *jwworkspace.Directory // nil where callers need no keys
	MaxBody    int64                  // bytes of a request's body, 0 if not said
	Raw        []byte                 // as the store holds it, to be passed on to other nodes

	byHost map[string][]*Entry // longest prefix first
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

// Match returns the entry of a host with the longest prefix of a path, nil if
// there is none.
func (c *Config) Match(host, path string) *Entry {
	for _, e := range c.byHost[host] {
		if strings.HasPrefix(path, e.Prefix) {
			return e
		}
	}
	return nil
}

// Caller returns the workspace that holds a key, nil for a caller without one; ok is
// false if the entry needs a key and nobody holds this one.
func (c *Config) Caller(e *Entry, key string) (w *jwworkspace.Workspace, ok bool) {
	if c.Workspaces == nil {
		return nil, true
	}
	w = c.Workspaces.Holder(key)
	return w, w != nil || e.Public
}

// Table keeps the newest configuration; the zero value has none.
type Table struct {
	current   atomic.Pointer[Config]
	firstOnce sync.Once
	first     chan struct{}
}

// Current returns the configuration in force, nil before the first.
func (t *Table) Current() *Config { return t.current.Load() }

// Version returns the version in force, 0 before the first.
func (t *Table) Version() uint64 {
	if c := t.Current(); c != nil {
		return c.Version
	}
	return 0
}

// First returns a channel that is closed once a configuration is in force.
func (t *Table) First() <-chan struct{} {
	t.firstOnce.Do(func() { t.first = make(chan struct{}) })
	return t.first
}

// Put brings a configuration into force and reports whether it was newer than
// the one before. An older one is ignored: a source that lags behind, such as
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
