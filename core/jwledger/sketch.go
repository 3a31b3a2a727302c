package jwledger

import (
	"cmp"
	"maps"
	"slices"
)

// Sketch names at most Size keys, those that offer most, and adds up all others for each level. It is a
// Misra-Gries summary: the work that a key offers is at least what it is named with, and at most that
// plus Error. Totals are exact. The zero value of the other fields is empty.
type Sketch struct {
	Size  int
	Named map[Key]*Sums
	Rest  [Levels]Sums
}

// Add adds amounts to a key.
func (k *Sketch) Add(key Key, d Sums) {
	if s := k.Named[key]; s != nil {
		s.Add(d)
		return
	}
	if d.Offered <= 0 {
		k.Rest[key.Level].Add(d)
		return
	}
	if k.Named == nil {
		k.Named = make(map[Key]*Sums, k.Size+1)
	}
	k.Named[key] = &d
	k.trim()
}

// Merge adds another sketch. If its Size is smaller, Error no longer bounds the error of this one.
func (k *Sketch) Merge(other *Sketch) {
	k.merge(other)
	k.trim()
}

// merge adds another sketch and may leave more than Size keys, so that several are added at the cost of
// one trim.
func (k *Sketch) merge(other *Sketch) {
	if k.Named == nil {
		k.Named = make(map[Key]*Sums, 2*k.Size)
	}
	for key, d := range other.Named {
		if s := k.Named[key]; s != nil {
			s.Add(*d)
		} else {
			c := *d
			k.Named[key] = &c
		}
	}
	for i := range k.Rest {
		k.Rest[i].Add(other.Rest[i])
	}
}

// subtract takes off a sketch that was merged into this one. What is no longer named comes off the rest.
func (k *Sketch) subtract(other *Sketch) {
	for key, d := range other.Named {
		s := k.Named[key]
		if s == nil {
			s = &k.Rest[key.Level]
		}
		s.subtract(*d)
	}
	for i := range k.Rest {
		k.Rest[i].subtract(other.Rest[i])
	}
}

// trim moves to the rest what exceeds Size keys: as much of each key as the largest one beyond has.
func (k *Sketch) trim() {
	excess := len(k.Named) - k.Size
	if excess <= 0 {
		return
	}
	cut := k.smallest(excess)
	for key, s := range k.Named {
		if s.Offered <= cut {
			k.Rest[key.Level].Add(*s)
			delete(k.Named, key)
			continue
		}
		s.Offered -= cut
		k.Rest[key.Level].Offered += cut
	}
}

// smallest returns the n-th smallest amount offered, counted from 1.
func (k *Sketch) smallest(n int) float64 {
	if n == 1 {
		least := -1.0
		for _, s := range k.Named {
			if least < 0 || s.Offered < least {
				least = s.Offered
			}
		}
		return least
	}
	list := make([]float64, 0, len(k.Named))
	for _, s := range k.Named {
		list = append(list, s.Offered)
	}
	slices.Sort(list)
	return list[n-1]
}

// Error returns how much more than named a key may offer.
func (k *Sketch) Error() float64 {
	rest := 0.0
	for _, s := range k.Rest {
		rest += s.Offered
	}
	return rest / float64(k.Size+1)
}

// Total returns the sum of a level.
func (k *Sketch) Total(level int) Sums {
	total := k.Rest[level]
	for key, s := range k.Named {
		if key.Level == level {
			total.Add(*s)
		}
	}
	return total
}

// minRate is the rate below which a key is no longer worth its name.
const minRate = 1e-4

// decay scales all rates and drops names that have nothing left.
func (k *Sketch) decay(factor float64) {
	for i := range k.Rest {
		k.Rest[i].decay(factor)
	}
	for key, s := range k.Named {
		s.decay(factor)
		if s.Offered < minRate {
			k.Rest[key.Level].Add(*s)
			delete(k.Named, key)
		}
	}
}

// keys returns the named keys, sorted.
func (k *Sketch) keys() []Key {
	return slices.SortedFunc(maps.Keys(k.Named), func(a, b Key) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Level, b.Level))
	})
}
