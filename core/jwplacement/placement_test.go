package jwplacement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubewheel/core/jwmember"
)

const ms = time.Millisecond

func option(region string, expected time.Duration) Option {
	return Option{Region: region, Known: true, Expected: expected}
}

// Other regions take over the peak load of a small region, and only that.
func TestChoose(t *testing.T) {
	here := option("here", 400*ms)
	silent := option("silent", 0)
	silent.Known = false
	slow := option("slow", 100*ms)
	slow.LaterCost = 500 * ms
	cases := map[string]struct {
		here   *Option
		others []Option
		policy Policy
		want   string
		reason Reason
	}{
		"no region":                           {nil, nil, Policy{}, "", NoTarget},
		"no other":                            {&here, nil, Policy{}, "here", Local},
		"another a little cheaper":            {&here, []Option{option("a", 300*ms)}, Policy{}, "here", Local},
		"another clearly cheaper":             {&here, []Option{option("a", 250*ms)}, Policy{}, "a", RemoteCheaper},
		"the cheaper of two":                  {&here, []Option{option("a", 250*ms), option("b", 220*ms)}, Policy{}, "b", RemoteCheaper},
		"the first of equals":                 {&here, []Option{option("a", 220*ms), option("b", 220*ms)}, Policy{}, "a", RemoteCheaper},
		"its events come slowly":              {&here, []Option{slow}, Policy{}, "here", Local},
		"no report":                           {&here, []Option{silent}, Policy{}, "here", Local},
		"none here":                           {nil, []Option{option("a", 9000*ms)}, Policy{}, "a", RemoteOnly},
		"none here, the cheaper":              {nil, []Option{option("a", 900*ms), option("b", 300*ms)}, Policy{}, "b", RemoteOnly},
		"none here, one has reported nothing": {nil, []Option{silent, option("b", 300*ms)}, Policy{}, "b", RemoteOnly},
		"none here, none has reported":        {nil, []Option{silent}, Policy{}, "silent", RemoteOnly},
		"nothing leaves the region":           {&here, []Option{option("a", 10*ms)}, Policy{PreferLocal: true}, "here", Local},
		"nothing here, none stays":            {nil, []Option{option("a", 10*ms)}, Policy{PreferLocal: true}, "a", RemoteOnly},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got := c.policy.Choose(c.here, c.others)
			assert.Equal(t, got.Region, c.want)
			assert.Equal(t, got.Reason, c.reason)
		})
	}
}

// Opening a connection to another region takes an additional round trip.
func TestPickNode(t *testing.T) {
	nodes := []jwmember.Member{{Name: "a"}, {Name: "b"}, {Name: "c"}}
	none := func(jwmember.Member) bool { return false }
	b := func(m jwmember.Member) bool { return m.Name == "b" }
	assert.Equal(t, PickNode(nodes, none, 0).Name, "a")
	assert.Equal(t, PickNode(nodes, none, 0.999).Name, "c")
	assert.Equal(t, PickNode(nodes, b, 0.999).Name, "b")
}
