package jwworkspace

import "crypto/sha256"

// Directory finds workspaces by their keys and names. The zero value is empty, and
// a nil Directory may be read. It holds only digests of the keys: the time of a lookup
// does not reveal how much of a guessed key is right, and a memory dump of the
// directory contains no keys.
type Directory struct {
	byKey   map[digest]*Workspace
	byName  map[string]*Workspace
	limited int // number of workspaces with a quota
	quotas  map[Unit]quotaSum
}

// quotaSum adds up the quotas that count the same unit.
type quotaSum struct {
	count int
	rate  float64
}

// digest is the SHA-256 hash of a key.
type digest [sha256.Size]byte

// Add adds a workspace with its keys. A key that already belongs to another
// workspace stays with it.
func (d *Directory) Add(w *Workspace, keys ...string) {
	if d.byName == nil {
		d.byKey = make(map[digest]*Workspace)
		d.byName = make(map[string]*Workspace)
	}
	d.byName[w.Name] = w
	if w.Quota.Limited() {
		d.limited++
		if d.quotas == nil {
			d.quotas = make(map[Unit]quotaSum)
		}
		sum := d.quotas[w.Quota.Unit]
		d.quotas[w.Quota.Unit] = quotaSum{sum.count + 1, sum.rate + w.Quota.Rate}
	}
	for _, key := range keys {
		sum := digestOf(key)
		if d.byKey[sum] == nil {
			d.byKey[sum] = w
		}
	}
}

// ByKey returns the workspace that a key belongs to, nil if there is none.
func (d *Directory) ByKey(key string) *Workspace {
	if d == nil || key == "" {
		return nil
	}
	return d.byKey[digestOf(key)]
}

// ByName returns the workspace with a name, nil if there is none.
func (d *Directory) ByName(name string) *Workspace {
	if d == nil {
		return nil
	}
	return d.byName[name]
}

// Len returns the number of workspaces.
func (d *Directory) Len() int {
	if d == nil {
		return 0
	}
	return len(d.byName)
}

// MeanRate returns the mean rate of the quotas that count a unit, 0 if there is none.
func (d *Directory) MeanRate(unit Unit) float64 {
	if d == nil || d.quotas[unit].count == 0 {
		return 0
	}
	return d.quotas[unit].rate / float64(d.quotas[unit].count)
}

// Limited reports whether any workspace has a quota.
func (d *Directory) Limited() bool { return d != nil && d.limited > 0 }

// maxStackKey is the maximum length in bytes of a key that is hashed without an allocation.
const maxStackKey = 128

// digestOf returns the digest of a key.
func digestOf(key string) digest {
	if len(key) > maxStackKey {
		return sha256.Sum256([]byte(key))
	}
	var buf [maxStackKey]byte
	return sha256.Sum256(buf[:copy(buf[:], key)])
}
