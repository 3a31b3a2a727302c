package jwtarget

import (
	"cmp"
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func init() { _ = flag.Set("rapid.seed", cmp.Or(os.Getenv("JUJUBE_SEED"), "1")) }

// leavingOracle is a simple model of the rule for leaving targets: a target that
// reported that it is leaving counts as leaving until a later list does not show
// it or LeavingTTL has passed.
type leavingOracle struct {
	since  map[int]time.Time
	listed map[int]bool
}

// TestTableAgainstOracle applies reports of leaving targets, out-of-date lists and
// the passing of time in random order. A leaving target must never be a
// candidate, and a listed target that is not leaving must always be one; no call
// fails here.
func TestTableAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const targets = 5
		table := &Table{Region: "r", Subset: -1}
		now := start
		o := leavingOracle{since: make(map[int]time.Time), listed: make(map[int]bool)}
		calls := make(map[int][]Call)
		set := func(shown []int) {
			var l []Target
			o.listed = make(map[int]bool)
			for _, i := range shown {
				l = append(l, list(targets)[i])
				o.listed[i] = true
			}
			table.Set(l, now)
			for i, since := range o.since {
				if !o.listed[i] || now.Sub(since) > DefaultLeavingTTL {
					delete(o.since, i)
				}
			}
		}
		set([]int{0, 1, 2, 3, 4})
		index := rapid.IntRange(0, targets-1)
		t.Repeat(map[string]func(*rapid.T){
			"list": func(t *rapid.T) {
				set(rapid.SliceOfNDistinct(index, 0, targets, rapid.ID[int]).Draw(t, "shown"))
			},
			"leave": func(t *rapid.T) {
				i := index.Draw(t, "target")
				if !o.listed[i] {
					t.Skip("only listed targets report that they leave")
				}
				table.MarkLeaving(address(i), now, now)
				if _, leaving := o.since[i]; !leaving {
					o.since[i] = now
				}
			},
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "seconds")) * time.Second)
			},
			"begin": func(t *rapid.T) {
				i := index.Draw(t, "target")
				calls[i] = append(calls[i], table.Begin(address(i), time.Second, now))
			},
			"end": func(t *rapid.T) {
				i := index.Draw(t, "target")
				if len(calls[i]) == 0 {
					t.Skip("nothing in flight")
				}
				table.End(calls[i][0], Done, now)
				calls[i] = calls[i][1:]
			},
			"": func(t *rapid.T) {
				got := usable(table, now)
				for i := range targets {
					_, isCandidate := got[address(i)]
					_, isLeaving := o.since[i]
					if isCandidate != (o.listed[i] && !isLeaving) {
						t.Fatalf("target %d usable %v, listed %v, leaving %v", i, isCandidate, o.listed[i], isLeaving)
					}
					if isCandidate && got[address(i)].Outstanding < 0 {
						t.Fatalf("target %d has %d outstanding", i, got[address(i)].Outstanding)
					}
				}
			},
		})
	})
}
