package jwinstance

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// What is reported from the sets of targets in use, cold and gone must equal what all targets say.
func TestMarkedTargetsMatchAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		table := &Table{Node: "n", Region: "r"}
		var inFlight []Choice
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 9000).Draw(t, "ms")) * time.Millisecond)
			id := fmt.Sprint("t", rapid.IntRange(0, 5).Draw(t, "target"))
			in := instance(id)
			in.Revision, in.StartedAt = 1, int64(rapid.IntRange(0, 2).Draw(t, "start"))
			in.Cold = time.Duration(rapid.IntRange(0, 1).Draw(t, "cold")) * 4 * time.Second
			switch rapid.SampledFrom([]string{"put", "remove", "cold", "send", "end", "report"}).Draw(t, "step") {
			case "put":
				table.Put(now, in)
			case "remove":
				table.Remove(now, id, 9)
			case "cold":
				table.MergeCold(now, map[string]int64{id: 3000})
			case "send":
				if c, ok := table.Best(now, Need{Service: "s"}); ok {
					inFlight = append(inFlight, c)
				}
			case "end":
				if len(inFlight) > 0 {
					table.Done(now, inFlight[0].Target, inFlight[0], 0)
					inFlight = inFlight[1:]
				}
			case "report":
				checkReports(t, now, table)
			}
		}
		checkReports(t, now, table)
	})
}

func checkReports(t *rapid.T, now time.Time, table *Table) {
	loads, _ := table.Report(now)
	cold := table.ReportCold(now)
	calls, coldTargets := 0, 0
	for id, x := range table.targets {
		if !x.goneAt.IsZero() && now.Sub(x.goneAt) > recordRetention && x.calls == 0 {
			t.Fatalf("the record of %s is kept", id)
		}
		calls += x.calls
		if x.goneAt.IsZero() && now.Before(x.coldUntil) {
			coldTargets++
			assert.Equal(t, cold[id], x.coldUntil.Sub(now).Milliseconds())
		}
		if x.goneAt.IsZero() {
			assert.Equal(t, table.ServiceAt(x.Address), "s")
		}
	}
	assert.Equal(t, len(cold), coldTargets)
	for _, l := range loads {
		calls -= l.Calls
	}
	assert.Equal(t, calls, 0)
}
