package jwinstance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"jujubewheel/core/jwstore"
)

// rev returns the revision with a number in an era.
func rev(era, number uint64) jwstore.Revision {
	r, err := jwstore.RevisionAt(era, number)
	if err != nil {
		panic(err)
	}
	return r
}

// The store is restored from an older copy, in which a target that has since drained or left is
// still ready. Nodes must not send to it.
func TestOlderStoreCopyIsIgnored(t *testing.T) {
	at := func(era, number uint64, change func(*Instance)) Instance {
		in := instance("a")
		in.Revision, in.StartedAt = rev(era, number), 10
		if change != nil {
			change(&in)
		}
		return in
	}
	draining := func(in *Instance) { in.Draining = true }
	cases := map[string]struct {
		known func(*Table)
		copy  Instance
	}{
		"it drained": {func(t *Table) { t.Put(after(0), at(1, 9, draining)) }, at(2, 5, nil)},
		"it left":    {func(t *Table) { t.Remove(after(-3000), "a", rev(1, 9)) }, at(2, 5, nil)},
		"it restarted and drained": {func(t *Table) {
			t.Put(after(0), at(1, 9, func(in *Instance) { in.StartedAt, in.Draining = 11, true }))
		}, at(2, 5, nil)},
		"it announced in an answer that it is leaving": {func(t *Table) { t.Leave(t.targets["a"]) }, at(2, 5, nil)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			table := &Table{Region: "r"}
			table.Put(after(0), at(1, 4, nil))
			c.known(table)
			for ms := 1; ms < 5000; ms += 1000 { // the copy is read more than once, by other nodes too
				table.Put(after(ms), c.copy)
				assert.Equal(t, bestTargetID(table, after(ms+1), Need{}), "")
			}
			restarted := at(2, 7, func(in *Instance) { in.StartedAt = 12 })
			table.Put(after(6000), restarted)
			assert.Equal(t, bestTargetID(table, after(6001), Need{}), "a", "registrations after the copy count")
		})
	}
	table := &Table{Region: "r"}
	table.Put(after(0), at(1, 4, nil))
	table.Put(after(0), at(1, 9, draining))
	table.Put(after(1), at(2, 5, nil))
	table.Put(after(2), at(2, 6, nil))
	assert.Equal(t, bestTargetID(table, after(3), Need{}), "a", "it registered as not draining after the copy")
}

// Older copies of the store, reads of it and the views of other nodes may come in any order. An
// incarnation that is known to drain gets no requests unless it has written since, in that era or
// after the copy of a later one.
func TestStoreCopiesOutOfOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tables := []*Table{{Region: "r"}, {Region: "r"}}
		era, number := uint64(1), uint64(1)
		ready, draining := instance("a"), instance("a")
		ready.Revision, ready.StartedAt = rev(era, number), 1
		for _, table := range tables {
			table.Put(t0, ready)
		}
		number = uint64(rapid.IntRange(2, 50).Draw(t, "lost"))
		draining.Revision, draining.StartedAt, draining.Draining = rev(era, number), 1, true
		informed := rapid.IntRange(1, 2).Draw(t, "knows")
		for _, table := range tables[:informed] {
			table.Put(t0, draining)
		}
		now := t0
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, 1).Draw(t, "node")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				era++
			case 1: // the node reads the older copy
				in := ready
				in.Revision = rev(era, 1)
				tables[i].Put(now, in)
			case 2: // the node reads an answer of an earlier era
				in := ready
				in.Revision = rev(uint64(rapid.IntRange(1, int(era)).Draw(t, "era")), 1)
				tables[i].Put(now, in)
			case 3:
				for _, in := range tables[1-i].Instances(now) {
					tables[i].Put(now, in)
				}
			}
			for k := range tables[:informed] {
				if bestTargetID(tables[k], now, Need{}) != "" {
					t.Fatalf("node %d sends to a draining target", k)
				}
			}
		}
	})
}
