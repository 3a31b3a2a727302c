package jwcatalogue

import (
	"fmt"
	"testing"

	"jujubewheel/core/jwpeer"
)

// newTableWith returns a table with entries as large as operators write them.
func newTableWith(b *testing.B, entries int) *Table {
	b.Helper()
	t := new(Table)
	for i := range entries {
		e := newEntry(fmt.Sprintf("entry-%d", i))
		if err := t.Apply(Change{N: uint64(i + 1), EditID: "e", Author: "a", Entry: e.Name, After: &e}); err != nil {
			b.Fatal(err)
		}
	}
	return t
}

func BenchmarkTableApply(b *testing.B) {
	for _, entries := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("%d entries", entries), func(b *testing.B) {
			t := newTableWith(b, entries)
			c := newChange(0, "e")
			b.ReportAllocs()
			for b.Loop() {
				c.N = t.Revision() + 1
				if err := t.Apply(c); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkParseCheckpoint(b *testing.B) {
	for _, entries := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("%d entries", entries), func(b *testing.B) {
			data, err := newTableWith(b, entries).Current().checkpoint().Encode()
			if err != nil {
				b.Fatal(err)
			}
			b.SetBytes(int64(len(data)))
			for b.Loop() {
				if _, err := ParseCheckpoint(data); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkRank(b *testing.B) {
	for _, nodes := range []int{9, 100, 970} {
		var live []jwpeer.Peer
		for i := range nodes {
			live = append(live, jwpeer.Peer{
				Name: fmt.Sprintf("n%d", i), Region: fmt.Sprintf("r%d", i%13),
				DataCentre: fmt.Sprintf("dc%d", i%27), State: jwpeer.Serving,
			})
		}
		b.Run(fmt.Sprintf("gatherer of %d nodes", nodes), func(b *testing.B) {
			for b.Loop() {
				GathererOf(live, "r1")
			}
		})
		b.Run(fmt.Sprintf("watchers of %d nodes", nodes), func(b *testing.B) {
			for b.Loop() {
				Watchers(live, "r1", "dc1")
			}
		})
	}
}
