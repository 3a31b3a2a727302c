package jwinstance

import (
	"testing"

	"gotest.tools/v3/assert"
)

// A target says that it leaves, and what the store holds of it is older or late: the node
// goes on sending.
func TestLeavingStands(t *testing.T) {
	table := &Table{Region: "r"}
	table.Put(after(0), instance("a"))
	table.Put(after(0), instance("b"))
	assert.Equal(t, chosen(table, after(1), Need{}), "a")
	table.Leave(table.targets["a"])
	assert.Equal(t, chosen(table, after(2), Need{}), "b")
	later := instance("a")
	later.Revision, later.Slots = 7, 5
	table.Put(after(3), later)
	assert.Equal(t, chosen(table, after(4), Need{}), "b", "a later registration says nothing of it")
	assert.Equal(t, table.Regions("s")["r"], 4)
	later.Born++
	table.Put(after(5), later)
	assert.Equal(t, chosen(table, after(6), Need{}), "a", "the next incarnation hasn't said so")
}
