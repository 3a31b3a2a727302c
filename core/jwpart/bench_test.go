package jwpart

import (
	"fmt"
	"testing"
	"time"
)

// fullTable returns a table with as many crashes and suspects as it remembers, each part a suspect of few.
func fullTable() *Table {
	t := &Table{}
	for i := range maxCrashes {
		suspects := make([]Suspect, maxSuspects)
		for j := range suspects {
			suspects[j] = Suspect{Part: ID(i*maxSuspects + j), Weak: true}
		}
		t.addCrash(t0, t0.Add(time.Duration(i)*time.Second), fmt.Sprint("t", i), suspects)
	}
	for id := range t.crashes[0].suspects {
		t.setCleared(t0, id, after(1))
	}
	t.judge(after(maxCrashes * 1000))
	return t
}

// BenchmarkRequest is a request with two parts, without and with many crashes remembered.
func BenchmarkRequest(b *testing.B) {
	for name, t := range map[string]*Table{"no crashes": {}, "full": fullTable()} {
		b.Run(name, func(b *testing.B) {
			now := after(maxCrashes * 1000)
			for b.Loop() {
				r, _ := t.Begin(now, []ID{1 << 40, 1<<40 + 1}, address(1), nil, false)
				r.Begun(now)
				r.End(now, true)
			}
		})
	}
}

// BenchmarkCleared is a request that clears a suspect while as many crashes are remembered as can be.
func BenchmarkCleared(b *testing.B) {
	t := fullTable()
	now := after(maxCrashes * 1000)
	for i := range b.N {
		if i%(maxCrashes*maxSuspects) == 0 {
			b.StopTimer()
			t = fullTable()
			b.StartTimer()
		}
		r, _ := t.Begin(now, []ID{ID(i % (maxCrashes * maxSuspects))}, address(1), nil, false)
		r.End(now, true)
	}
}

// BenchmarkCrashed is a crash under 64 requests while as many crashes are remembered as can be.
func BenchmarkCrashed(b *testing.B) {
	t := fullTable()
	now := after(maxCrashes * 1000)
	for j := range 64 {
		t.Begin(now, []ID{ID(1<<40 + j)}, address(1), nil, false)
	}
	i := 0
	for b.Loop() {
		i++
		t.Crashed(now.Add(time.Duration(i)*time.Second), address(1), fmt.Sprint("n", i))
	}
}

// BenchmarkUpdateFor is an update to a peer that has confirmed all, and to one that misses one crash.
func BenchmarkUpdateFor(b *testing.B) {
	t := fullTable()
	now := after(maxCrashes * 1000)
	for name, acked := range map[string]uint64{"confirmed": t.changes, "one crash": t.changes - 1} {
		b.Run(name, func(b *testing.B) {
			t.peers.Get("p", now).Acked = acked
			for b.Loop() {
				t.UpdateFor("p", "", now)
			}
		})
	}
}
