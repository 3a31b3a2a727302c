package jwinstance

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A full target admits an urgent request before the less urgent ones that wait there. If these
// counted as its queue, urgent requests would be rejected at targets that begin them at once.
func TestUrgentRequestDoesNotWaitForLessUrgentCalls(t *testing.T) {
	expected := func(calls int, byPriority bool, priority int) time.Duration {
		table := &Table{Region: "r"}
		table.Put(t0, instance("a"))
		for range calls {
			_, ok := table.Best(t0, Need{Service: "s", Prompt: Prompt{Tokens: 1}, Priority: 2, ByPriority: byPriority})
			assert.Assert(t, ok)
		}
		c, ok := table.Peek(t0, Need{Service: "s", Prompt: Prompt{Tokens: 100}, Priority: priority, ByPriority: byPriority})
		assert.Assert(t, ok)
		return c.Expected
	}
	const slots, waiting = 4, 8
	queue := waiting * initialSlotTime / slots
	assert.Assert(t, expected(slots+waiting, true, 0) < expected(0, true, 0)+queue/8)
	assert.Assert(t, expected(slots+waiting, true, 2) > queue)
	assert.Assert(t, expected(slots+waiting, false, 0) > queue, "without overload control all calls count")
}

// Nodes of an older version report no priorities, so all of their calls count as ahead.
func TestCallsOfUnknownPriorityAreAhead(t *testing.T) {
	table := &Table{Region: "r"}
	table.Put(t0, instance("a"))
	var old, current LoadColumns
	assert.NilError(t, json.Unmarshal([]byte(`{"targets":["a"],"calls":[5],"work":[[0,0,0]],"held":[0],"gaps":[0]}`), &old))
	assert.NilError(t, json.Unmarshal([]byte(`{"targets":["a"],"calls":[7],"levels":[[1,0,4]],"work":[[0,0,0]],"held":[0],"gaps":[0]}`), &current))
	table.Merge(t0, "old", old.List(), nil)
	table.Merge(t0, "current", current.List(), nil)
	x := table.targets["a"]
	assert.Equal(t, x.loadFor(Need{ByPriority: true}).callsAhead, 5+7-4)
	assert.Equal(t, x.loadFor(Need{ByPriority: true, Priority: 2}).callsAhead, 5+7)
	assert.Equal(t, x.loadFor(Need{}).callsAhead, 5+7)
}
