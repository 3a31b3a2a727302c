package jwdirectory

import "sync/atomic"

// Workspace is one caller's account.
type Workspace struct {
	Name   string `json:"name"`
	Region string `json:"region"` // home region
	Bound  bool   `json:"bound"`  // its data never leaves the home region
	Owner  string `json:"owner"`
}

// Snapshot is one version of the whole directory; it is not changed once set.
type Snapshot struct {
	Version    string
	Workspaces map[string]Workspace
}

// Table holds the newest known directory; the zero value is empty.
type Table struct {
	current atomic.Pointer[Snapshot]
}

// Set replaces the directory.
func (t *Table) Set(s *Snapshot) { t.current.Store(s) }

// Current returns the directory, or nil before the first one came.
func (t *Table) Current() *Snapshot { return t.current.Load() }

// Lookup returns the workspace of a name; known is false when the directory
// has not come yet or does not list it.
func (t *Table) Lookup(name string) (w Workspace, known bool) {
	s := t.current.Load()
	if s == nil {
		return Workspace{}, false
	}
	w, known = s.Workspaces[name]
	return w, known
}
