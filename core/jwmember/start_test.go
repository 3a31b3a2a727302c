package jwmember

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"jujubewheel/core/jwbudget"
)

// All nodes of a region start at once after an outage, and its targets are cold. If
// the store is slow, each node may read it before any other has registered and
// consider itself the only one. If each then sent as much as a single node may, the
// targets would crash from overload and have to warm up a second time.
func TestColdLimitWhileAllStartAndStoreIsSlow(t *testing.T) {
	const rate, bound = 4.1, 9.1
	rapid.Check(t, func(t *rapid.T) {
		ms := func(maxMs int, name string) time.Duration {
			return time.Duration(rapid.IntRange(0, maxMs).Draw(t, name)) * time.Millisecond
		}
		start := time.Unix(1000, 0)
		var nodes []*startingNode
		for i := range rapid.IntRange(1, 5).Draw(t, "nodes") {
			n := &startingNode{table: &Table{Self: member(fmt.Sprint("n", i), "r", 1)}}
			n.registersAt = start.Add(ms(3000, "write"))
			n.readsAt = []time.Time{start.Add(ms(500, "read")), start.Add(ms(6000, "again")), start.Add(ms(6000, "more"))}
			nodes = append(nodes, n)
		}
		period := ms(2000, "period") + time.Millisecond
		var sent []time.Time
		for now := start; now.Before(start.Add(9 * time.Second)); now = now.Add(10 * time.Millisecond) {
			for i, n := range nodes {
				n.readDue(now, nodes)
				for _, m := range nodes[:i] {
					// Two nodes exchange state once one of them knows the other.
					if now.Sub(start)%period < 10*time.Millisecond && (n.knows(m) || m.knows(n)) {
						n.table.Seen(now, m.table.Self)
						m.table.Seen(now, n.table.Self)
					}
				}
			}
			sent = dropUntil(sent, now.Add(-time.Second))
			for _, n := range nodes {
				n.sent = dropUntil(n.sent, now.Add(-time.Second))
				if !n.table.CountedByAll(now) {
					continue
				}
				l := jwbudget.ColdLimits{Rate: rate, Ratio: 1.5, Slack: bound - 1.5*rate}
				share := jwbudget.ColdShare(l, n.table.Owns(now, "x"), n.table.Count(now, "r"))
				for float64(len(n.sent)+1) <= share {
					n.sent, sent = append(n.sent, now), append(sent, now)
				}
			}
			if float64(len(sent)) > bound {
				t.Fatalf("%d requests within a second at %s, at most %.1f are allowed", len(sent), now.Sub(start), bound)
			}
		}
	})
}

// startingNode is a node that reads the store, registers, and reads again.
type startingNode struct {
	table       *Table
	registersAt time.Time
	readsAt     []time.Time // times of the remaining reads of the store
	sent        []time.Time // requests within the last second
}

func (n *startingNode) knows(m *startingNode) bool { return n.table.members[m.table.Self.Name] != nil }

// readDue performs the reads of the store that are due.
func (n *startingNode) readDue(now time.Time, all []*startingNode) {
	for len(n.readsAt) > 0 && !now.Before(n.readsAt[0]) {
		n.readsAt = n.readsAt[1:]
		for _, m := range all {
			switch {
			case now.Before(m.registersAt):
			case m == n:
				n.table.RegistrationRead(now, m.table.Self)
			default:
				n.table.Put(now, m.table.Self)
			}
		}
	}
}

// dropUntil drops the times up to bound; times is sorted.
func dropUntil(times []time.Time, bound time.Time) []time.Time {
	for len(times) > 0 && !times[0].After(bound) {
		times = times[1:]
	}
	return times
}
