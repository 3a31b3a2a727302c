package jwdirectory

import "sync/atomic"

// Workspace is the account of one caller in the client directory.
type Workspace struct {
	Name   string `json:"name"`
	Region string `json:"region"` // home region
	Bound  bool   `json:"bound"`  // its data must not leave the home region
	Owner  string `json:"owner"`
}

// Snapshot is one version of the whole directory. It must not be changed after
// Table.Set.
type Snapshot struct {
	Version    string               // as given by the directory
	Workspaces map[string]Workspace // by name
}

// Table holds the newest known directory and is safe for concurrent use. The zero
// value is empty.
type Table struct {
	current atomic.Pointer[Snapshot]
}

// Set replaces the directory.
func (t *Table) Set(s *Snapshot) { t.current.Store(s) }

// Current returns the directory, or nil before the first Set.
func (t *Table) Current() *Snapshot { return t.current.Load() }

// Lookup returns the workspace with a name. The second result is false when there
// is no directory yet or it does not list the name.
func (t *Table) Lookup(name string) (w Workspace, known bool) {
	s := t.current.Load()
	if s == nil {
		return Workspace{}, false
	}
	w, known = s.Workspaces[name]
	return w, known
}
