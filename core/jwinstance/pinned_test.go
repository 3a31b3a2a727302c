package jwinstance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The choices without overload control, as they were before it existed.
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
		"a 193289 17696 214400",
		"a 612659 188318 663472",
		"c 172460 42695 231750",
		"b 138540 4221 177005",
		"a 170838 32461 401507",
		"a 356935 98905 406852",
		"c 333952 22171 361909",
		"c 247955 15474 271202",
		"b 383341 67051 431523",
	})
}
