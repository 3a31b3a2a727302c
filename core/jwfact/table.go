package jwfact

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"jujubewheel/core/jwstore"
)

// Fact is a stored key.
type Fact struct {
	Key      string           `json:"key"`
	Value    []byte           `json:"value,omitempty"`
	Revision jwstore.Revision `json:"revision"` // as of which the key is known to be stored
	// HeldFor is how long the key still counts as stored, although it is missing from a store that
	// was restored from an older copy; 0 if it is not missing.
	HeldFor time.Duration `json:"heldFor,omitempty"`
}

// Table holds the facts of a node. Set Hold before use; the zero value is empty and holds no keys. It
// is not safe for concurrent use.
type Table struct {
	// Hold returns how long a key that is missing from a store restored from an older copy still
	// counts as stored, so that it can be written again in the meantime.
	Hold func(key string) time.Duration

	facts map[string]record
}

// record is a Fact with the end of its hold, zero if it is not held.
type record struct {
	Fact
	heldUntil time.Time
}

// Apply applies a change of a key, and reports whether the node knows nothing later of it.
func (t *Table) Apply(e jwstore.Event) bool {
	if e.Revision < t.facts[e.Key].Revision {
		return false
	}
	if e.Deleted {
		delete(t.facts, e.Key)
		return true
	}
	t.set(record{Fact: Fact{Key: e.Key, Value: e.Value, Revision: e.Revision}})
	return true
}

// Merge applies all facts of another node, which has read the store up to a revision, and returns what
// that changes.
func (t *Table) Merge(now time.Time, facts []Fact, at jwstore.Revision) []jwstore.Event {
	var changes []jwstore.Event
	stored := make(map[string]bool, len(facts))
	for _, f := range facts {
		stored[f.Key] = f.HeldFor == 0
		if known, ok := t.facts[f.Key]; ok && f.Revision <= known.Revision {
			continue
		}
		r := record{Fact: f}
		if f.HeldFor > 0 {
			r.heldUntil = now.Add(f.HeldFor)
		}
		t.set(r)
		changes = append(changes, jwstore.Event{Key: f.Key, Value: f.Value, Revision: f.Revision})
	}
	return append(changes, t.RemoveExcept(now, stored, at)...)
}

func (t *Table) set(r record) {
	if t.facts == nil {
		t.facts = make(map[string]record)
	}
	r.HeldFor = 0
	t.facts[r.Key] = r
}

// RemoveExcept removes the keys that a source did not have as of a revision, except those known from a
// later one, and returns the removals sorted by key. Keys of an earlier era are held first if Hold
// says so.
func (t *Table) RemoveExcept(now time.Time, stored map[string]bool, at jwstore.Revision) []jwstore.Event {
	var removed []jwstore.Event
	for key, r := range t.facts {
		switch {
		case stored[key] || r.Revision > at:
		case t.hold(key) > 0 && jwstore.Era(at) > jwstore.Era(r.Revision):
			r.Revision, r.heldUntil = at, now.Add(t.hold(key))
			t.facts[key] = r
		case r.heldUntil.IsZero():
			removed = append(removed, t.remove(key, at))
		}
	}
	sortByKey(removed)
	return removed
}

// remove removes a key, as known of a revision, and returns the change.
func (t *Table) remove(key string, at jwstore.Revision) jwstore.Event {
	delete(t.facts, key)
	return jwstore.Event{Key: key, Deleted: true, Revision: at}
}

func sortByKey(list []jwstore.Event) {
	slices.SortFunc(list, func(a, b jwstore.Event) int { return cmp.Compare(a.Key, b.Key) })
}

func (t *Table) hold(key string) time.Duration {
	if t.Hold == nil {
		return 0
	}
	return t.Hold(key)
}

// EndHolds removes the keys whose hold is over and returns the removals sorted by key.
func (t *Table) EndHolds(now time.Time) []jwstore.Event {
	var removed []jwstore.Event
	for key, r := range t.facts {
		if !r.heldUntil.IsZero() && !now.Before(r.heldUntil) {
			removed = append(removed, t.remove(key, r.Revision))
		}
	}
	sortByKey(removed)
	return removed
}

// Held returns how many keys are held.
func (t *Table) Held() int {
	n := 0
	for _, r := range t.facts {
		if !r.heldUntil.IsZero() {
			n++
		}
	}
	return n
}

// All returns all facts, sorted by key. It is empty, not nil, if there are none.
func (t *Table) All(now time.Time) []Fact {
	list := make([]Fact, 0, len(t.facts))
	for _, r := range t.facts {
		if !r.heldUntil.IsZero() {
			r.HeldFor = max(r.heldUntil.Sub(now), 1)
		}
		list = append(list, r.Fact)
	}
	slices.SortFunc(list, func(a, b Fact) int { return cmp.Compare(a.Key, b.Key) })
	return list
}

// Has reports whether a key counts as stored.
func (t *Table) Has(key string) bool {
	_, ok := t.facts[key]
	return ok
}

// Names returns the set of what follows a prefix in the keys that have it.
func (t *Table) Names(prefix string) map[string]bool {
	names := make(map[string]bool)
	for key := range t.facts {
		if name, ok := strings.CutPrefix(key, prefix); ok {
			names[name] = true
		}
	}
	return names
}
