package jwrequest

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestHops(t *testing.T) {
	hop := func(node, region, dataCentre string) Hop {
		return Hop{Node: node, Region: region, DataCentre: dataCentre}
	}
	a1, a2, b1 := hop("a1", "east", "a"), hop("a2", "east", "a"), hop("b1", "east", "b")
	c1, d1 := hop("c1", "west", "c"), hop("d1", "north", "d")
	tests := map[string]struct {
		hops    Hops
		changes int
		returns bool
	}{
		"no hops":                {nil, 0, false},
		"one node":               {Hops{a1}, 0, false},
		"within a data centre":   {Hops{a1, a2}, 0, false},
		"to another data centre": {Hops{a1, b1}, 0, false},
		"to another data centre and on within it":  {Hops{a1, b1, hop("b2", "east", "b")}, 0, false},
		"back to the first data centre":            {Hops{a1, b1, a2}, 0, true},
		"to another region":                        {Hops{a1, c1}, 1, false},
		"back to the first region":                 {Hops{a1, c1, b1}, 2, false},
		"back to the first region and data centre": {Hops{a1, c1, a2}, 2, true},
		"to a third region":                        {Hops{a1, c1, d1}, 2, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, test.hops.RegionChanges(), test.changes)
			assert.Equal(t, test.hops.RevisitsDataCentre(), test.returns)
		})
	}
}
