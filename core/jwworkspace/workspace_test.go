package jwworkspace

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

func TestCost(t *testing.T) {
	cases := map[string]struct {
		quota  Quota
		tokens int
		want   float64
	}{
		"requests":                   {Quota{Unit: Requests, Rate: 5}, 4000, 1},
		"no unit":                    {Quota{Rate: 5}, 4000, 1},
		"tokens":                     {Quota{Unit: Tokens, Rate: 5, DefaultUnits: 200}, 4000, 4000},
		"no token count":             {Quota{Unit: Tokens, Rate: 5, DefaultUnits: 200}, 0, 200},
		"no token count, no default": {Quota{Unit: Tokens, Rate: 5}, 0, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { assert.Equal(t, c.quota.Cost(c.tokens), c.want) })
	}
}

// The requests of a workspace to an entry whose regions have none in common with its own
// must be served nowhere, not everywhere.
func TestIntersect(t *testing.T) {
	cases := map[string]struct {
		a, b    Regions
		allowed []string
	}{
		"neither limited":   {nil, nil, []string{"north", "south", "east"}},
		"one limited":       {nil, Regions{"north"}, []string{"north"}},
		"the other limited": {Regions{"south"}, nil, []string{"south"}},
		"some shared":       {Regions{"north", "south"}, Regions{"south", "east"}, []string{"south"}},
		"none shared":       {Regions{"north"}, Regions{"south"}, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			both := c.a.Intersect(c.b)
			var allowed []string
			for _, region := range []string{"north", "south", "east"} {
				if both.Allows(region) {
					allowed = append(allowed, region)
				}
			}
			assert.DeepEqual(t, allowed, c.allowed)
		})
	}
}

func TestByKey(t *testing.T) {
	var d Directory
	a, b := &Workspace{Name: "a"}, &Workspace{Name: "b"}
	long := string(make([]byte, 500))
	d.Add(a, "key-1", "key-2", long)
	d.Add(b, "key-3", "key-1")
	cases := map[string]struct {
		key  string
		want *Workspace
	}{
		"first":                   {"key-1", a},
		"second":                  {"key-2", a},
		"of another":              {"key-3", b},
		"longer than maxStackKey": {long, a},
		"unknown":                 {"key-4", nil},
		"a prefix of a key":       {"key-", nil},
		"none":                    {"", nil},
		"a name is not a key":     {"a", nil},
		"in upper case":           {"KEY-1", nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { assert.Equal(t, d.ByKey(c.key), c.want) })
	}
	assert.Equal(t, d.ByName("b"), b)
	assert.Assert(t, d.ByName("key-1") == nil)
	assert.Assert(t, !d.Limited())
}

func TestNoDirectory(t *testing.T) {
	var d *Directory
	assert.Assert(t, d.ByKey("key") == nil)
	assert.Assert(t, d.ByName("a") == nil)
	assert.Assert(t, !d.Limited())
}

// BenchmarkHolder looks up a key among more than 100,000, the number in a fleet of full size.
func BenchmarkHolder(b *testing.B) {
	var d Directory
	for i := range 38_000 {
		w := &Workspace{Name: fmt.Sprint("w", i)}
		d.Add(w, fmt.Sprint("key-a-", i), fmt.Sprint("key-b-", i), fmt.Sprint("key-c-", i))
	}
	b.ReportAllocs()
	for b.Loop() {
		if d.ByKey("key-b-20000") == nil {
			b.Fatal("not found")
		}
	}
}
