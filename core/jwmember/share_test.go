package jwmember

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// Names of nodes differ in their last digits only. A root or contact chosen for each of them must not
// be the same for nearly all.
func TestRootsAreSpread(t *testing.T) {
	const nodes, dataCentres = 600, 6
	var relays []Member
	for i := range dataCentres {
		relays = append(relays, Member{Name: fmt.Sprint("relay", i), DataCentre: fmt.Sprint("dc", i)})
	}
	chosen := make(map[string]int)
	for i := range nodes {
		m, ok := Root(relays, fmt.Sprint("edge-", i))
		assert.Assert(t, ok)
		chosen[m.Name]++
	}
	for _, m := range relays {
		n := chosen[m.Name]
		assert.Assert(t, n > nodes/dataCentres/2 && n < nodes/dataCentres*3/2, "%s is chosen for %d of %d", m.Name, n, nodes)
	}
}
