package jwmember

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp/cmpopts"
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

func ownersTable(self string, regions []string, perRegion int, lost map[string]bool) *Table {
	now := time.Unix(1000, 0)
	x := &Table{}
	for _, region := range regions {
		for i := range perRegion {
			m := Member{Name: fmt.Sprint(region, "-", i), Region: region, Serving: true, Start: 1}
			switch {
			case m.Name == self:
				x.Self = m
			case !lost[m.Name]:
				x.Seen(now, m)
			}
		}
	}
	return x
}

// All nodes must agree on the owners of a name, and a lost node must change only what it owned.
func TestOwners(t *testing.T) {
	now := time.Unix(1000, 0)
	regions := []string{"north", "south"}
	a, b := ownersTable("north-0", regions, 6, nil), ownersTable("south-3", regions, 6, nil)
	without := ownersTable("north-0", regions, 6, map[string]bool{"north-4": true})
	owned := make(map[string]int)
	for i := range 600 {
		name := fmt.Sprint("r", i)
		first := a.Owners(now, name, "north", 2)
		assert.Equal(t, len(first), 2)
		assert.DeepEqual(t, first, b.Owners(now, name, "north", 2), cmpopts.EquateComparable(netip.AddrPort{}))
		if first[0].Name != "north-4" {
			assert.Equal(t, without.Owners(now, name, "north", 1)[0].Name, first[0].Name)
		}
		owned[first[0].Name]++
	}
	for name, n := range owned {
		assert.Assert(t, n > 50 && n < 150, "%s owns %d of 600", name, n)
	}
	assert.Equal(t, len(a.Owners(now, "r", "north", 100)), 6)
	assert.Equal(t, len(a.Owners(now, "r", "west", 2)), 0)
}

func BenchmarkOwners(b *testing.B) {
	now := time.Unix(1000, 0)
	x := ownersTable("north-0", []string{"north"}, 75, nil)
	for i := range b.N {
		x.Owners(now, fmt.Sprint("r", i), "north", 2)
	}
}
