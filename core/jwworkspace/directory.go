package jwworkspace

import "crypto/sha256"

// Directory finds workspaces by their keys and names; the zero value is empty.
// It keeps digests of the keys only: how long a look-up takes says nothing of how
// much of a guessed key is right, and the keys show up in no dump of its memory.
type Directory struct {
	byKey   map[digest]*Workspace
	byName  map[string]*Workspace
	limited int // workspaces with a quota
}

type digest [sha256.Size]byte

// Add takes a workspace with its keys. A key that another one has already stays
// with that one.
func (d *Directory) Add(w *Workspace, keys ...string) {
	if d.byName == nil {
		d.byKey = make(map[digest]*Workspace)
		d.byName = make(map[string]*Workspace)
	}
	d.byName[w.Name] = w
	if w.Quota.Limited() {
		d.limited++
	}
	for _, key := range keys {
		sum := digestOf(key)
		if d.byKey[sum] == nil {
			d.byKey[sum] = w
		}
	}
}

// Holder returns the workspace that holds a key, nil if none does.
func (d *Directory) Holder(key string) *Workspace {
	if d == nil || key == "" {
		return nil
	}
	return d.byKey[digestOf(key)]
}

// Named returns the workspace of a name, nil if there is none.
func (d *Directory) Named(name string) *Workspace {
	if d == nil {
		return nil
	}
	return d.byName[name]
}

// Limited reports whether any workspace has a quota.
func (d *Directory) Limited() bool { return d != nil && d.limited > 0 }

// maxStackKey is the length up to which a key is hashed without an allocation.
const maxStackKey = 128

func digestOf(key string) digest {
	if len(key) > maxStackKey {
		return sha256.Sum256([]byte(key))
	}
	var buf [maxStackKey]byte
	return sha256.Sum256(buf[:copy(buf[:], key)])
}
