package jwinstance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The choices without overload control, as they were before it existed; the estimates since then have
// slowdowns that fade.
func TestPinnedChoices(t *testing.T) {
	table := &Table{Region: "r"}
	ids := []string{"a", "b", "c"}
	for _, id := range ids {
		table.Put(t0, instance(id))
	}
	r := rand.New(rand.NewPCG(1, 2))
	type sent struct {
		Choice
		first time.Duration
	}
	var calls []sent
	var got []string
	for i := range 60 {
		now := after(40 * i)
		l := NodeLoad{Target: ids[r.IntN(3)], Calls: r.IntN(9), Gap: int64(r.IntN(80))}
		l.Unread[0], l.Unread[1] = r.IntN(900), r.IntN(900)
		table.Merge(now, "n2", []NodeLoad{l}, nil)
		n := Need{
			Service: "s", Priority: r.IntN(10), Events: 20, Capacity: 30_000, FirstEventGoal: time.Second,
			Prompt: Prompt{Tokens: 100 + r.IntN(9000), Output: 50},
		}
		n.Prompt.Parts = []Part{{ID: uint64(r.IntN(6)), Tokens: n.Prompt.Tokens / 2}, {ID: uint64(100 + i), Tokens: n.Prompt.Tokens - n.Prompt.Tokens/2}}
		c, ok := table.Best(now, n)
		assert.Assert(t, ok)
		if i%6 == 5 {
			got = append(got, fmt.Sprintf("%s %d %d %d", c.Target.ID, c.Expected.Microseconds(), c.OwnReadTime.Microseconds(), c.Cost.Microseconds()))
		}
		first := time.Duration(r.IntN(500)+1) * time.Millisecond
		table.RecordFirstEvent(c.Target, c, n.Prompt, first)
		table.RecordEvents(now, c.Target, 2, time.Duration(r.IntN(100))*time.Millisecond)
		calls = append(calls, sent{c, first})
		if len(calls) > 8 {
			table.Done(now, calls[0].Target, calls[0].Choice, calls[0].first)
			calls = calls[1:]
		}
	}
	assert.DeepEqual(t, got, []string{
		"b 404085 368948 460210",
		"a 193358 17703 214469",
		"a 612810 188363 663623",
		"c 172176 42625 231466",
		"b 138207 4211 176672",
		"a 170666 32428 401438",
		"a 356761 98857 406678",
		"c 333309 22131 361267",
		"c 247648 15456 270895",
		"b 382551 66914 430732",
	})
}
