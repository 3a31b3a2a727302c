package jwinstance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A target that reads long prompts all the time begins answers at once and pauses in each of them.
// Once answers have shown how long their pauses are for such a target, requests with a goal for
// pauses go elsewhere, also if they begin a little later there.
func TestLatePausesAreAvoided(t *testing.T) {
	table := &Table{Region: "r"}
	for _, id := range []string{"a", "b"} {
		table.Put(t0, instance(id))
	}
	reading, idle := table.targets["a"], table.targets["b"]
	n := Need{Service: "s", Prompt: Prompt{Tokens: 100}, GapGoal: 300 * time.Millisecond, Events: 20, ByPriority: true}
	only := func(id string) Need {
		one := n
		one.Exclude = map[string]bool{id: true}
		return one
	}
	for i := range 100 {
		now := after(10 * i)
		table.RecordEvents(now, reading, 1, 150*time.Millisecond)
		table.RecordEvents(now, idle, 1, 20*time.Millisecond)
		c, _ := table.Peek(now, only("b"))
		table.RecordEnd(now, reading, c, n.GapGoal, time.Second, 500*time.Millisecond)
		c, _ = table.Peek(now, only("a"))
		table.RecordEnd(now, idle, c, n.GapGoal, time.Second, 50*time.Millisecond)
	}
	now := after(1000)
	table.Merge(now, "n2", []NodeLoad{{Target: "b", Calls: 3, Unread: countsByPriority{10_000}}}, nil)
	c, _ := table.Peek(now, n)
	assert.Equal(t, c.Target.ID, "b")
	withoutGoal := n
	withoutGoal.GapGoal = 0
	c, _ = table.Peek(now, withoutGoal)
	assert.Equal(t, c.Target.ID, "a")
}

// A band has the share of late answers among those that were placed at such targets.
func TestLatePauses(t *testing.T) {
	var l latePauses
	const goal = 300 * time.Millisecond
	assert.Equal(t, l.cost(goal, goal), time.Duration(0))
	for i := range 400 {
		l.observe(goal/2, goal, goal+time.Duration(i%2)*time.Millisecond)
	}
	half := l.cost(goal/2, goal)
	assert.Assert(t, half > latePauseCost*4/10 && half < latePauseCost*6/10, "%s", half)
	assert.Equal(t, l.cost(goal/20, goal), time.Duration(0))
	assert.Equal(t, l.cost(goal/2, 0), time.Duration(0))
	assert.Equal(t, pauseBand(10*goal, goal), len(pauseBands))
	assert.Equal(t, pauseBand(0, goal), 0)
}
