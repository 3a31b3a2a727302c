package jwrouter

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubewheel/core/jwcatalogue"
	"jujubewheel/core/jwrequest"
	"jujubewheel/core/jwtarget"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func address(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 8000)
}

// newRouter returns a router of region r in data centre r0 with n targets; load
// returns the load of each.
func newRouter(n, subset int, load func(i int) jwtarget.Load) *Router {
	table := &jwtarget.Table{Node: "n", Region: "r", Subset: subset}
	var list []jwtarget.Target
	for i := range n {
		list = append(list, jwtarget.Target{
			Address: address(i), Service: "s", Region: "r", DataCentre: fmt.Sprintf("r%d", i%2), State: jwtarget.Live,
		})
	}
	table.Set(list, start)
	for i := range n {
		l := load(i)
		l.RequestedAt = start
		table.Report(address(i), l)
	}
	return &Router{Region: "r", DataCentre: "r0", Targets: table, Regions: &Regions{}}
}

func idle(int) jwtarget.Load { return jwtarget.Load{Slots: 8} }

func busy(int) jwtarget.Load { return jwtarget.Load{Running: 8, Waiting: 24, Slots: 8} }

func draftEntry() *jwcatalogue.Entry {
	return &jwcatalogue.Entry{
		Name: "draft", Class: jwcatalogue.Draft, Service: "s", Idempotent: true, Regions: []string{"*"},
		Weights: jwcatalogue.Weights{Cost: 0.1, Wait: 1, SentAway: 0.1},
	}
}

func newQuery() *Query {
	return &Query{Entry: draftEntry(), Home: "r", CallTime: time.Second, Now: start, Random: 7}
}

func TestPick(t *testing.T) {
	tests := map[string]struct {
		router *Router
		change func(*Query, *Router)
		want   int // index of the target, -1 for none
		reason PickReason
	}{
		"least outstanding": {
			newRouter(4, -1, func(i int) jwtarget.Load { return jwtarget.Load{Running: 8 - i, Slots: 8} }),
			nil, 3, LeastExpected,
		},
		"same data centre first": {newRouter(2, -1, idle), nil, 0, LeastExpected},
		"excluded": {
			newRouter(2, -1, idle),
			func(q *Query, _ *Router) { q.Exclude = []netip.AddrPort{address(0)} }, 1, LeastExpected,
		},
		"all excluded": {
			newRouter(1, -1, idle),
			func(q *Query, _ *Router) { q.Exclude = []netip.AddrPort{address(0)} }, -1, "",
		},
		"slow target is avoided": {
			newRouter(3, -1, func(i int) jwtarget.Load {
				return jwtarget.Load{Slots: 8, TokenInterval: time.Duration(100-30*i) * time.Millisecond}
			}),
			nil, 2, LeastExpected,
		},
		"not idempotent avoids a probe": {
			newRouter(2, -1, busy),
			func(q *Query, r *Router) {
				q.Entry.Idempotent = false
				r.Targets.Failed(address(0), start.Add(-time.Hour))
			}, 1, LeastExpected,
		},
		"not idempotent with only a probe": {
			newRouter(1, -1, idle),
			func(q *Query, r *Router) {
				q.Entry.Idempotent = false
				r.Targets.Failed(address(0), start.Add(-time.Hour))
			}, 0, Probe,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			q := newQuery()
			if test.change != nil {
				test.change(q, test.router)
			}
			got, found := test.router.Pick(q)
			assert.Equal(t, found, test.want >= 0)
			if found {
				assert.Equal(t, got.Address, address(test.want))
				assert.Equal(t, got.Reason, test.reason)
			}
		})
	}
}

// Without a bound, all requests with a popular prefix would go to the one
// target that keeps it, and their callers would wait while other targets are
// idle.
func TestBusyPrefixUsesSeveralTargets(t *testing.T) {
	r := newRouter(8, -1, idle)
	r.Policy.Spread = 1.25
	q := newQuery()
	q.Prefix, q.Prefill = 42, 10*time.Second
	count := make(map[netip.AddrPort]int)
	const calls = 64
	for range calls {
		c, _ := r.Pick(q)
		r.Targets.Begin(c.Address, q.CallTime, start)
		count[c.Address]++
	}
	assert.Assert(t, len(count) >= 6, "only %d targets used", len(count)) // 64 calls, at most 11 on each target
	for addr, n := range count {
		assert.Assert(t, float64(n) <= r.Policy.Spread*calls/8+1, "%v has %d calls", addr, n)
	}
}

// Requests with the same beginning should go to the target whose cache the
// first one filled. Otherwise each of them computes its whole prompt again.
func TestIdlePrefixKeepsItsTarget(t *testing.T) {
	r := newRouter(8, -1, idle)
	q := newQuery()
	q.Prefix, q.Prefill = PrefixOf("w", "e", []byte("long prompt")), 300*time.Millisecond
	first, _ := r.Pick(q)
	assert.Equal(t, first.Reason, Cached)
	for i := range 20 {
		q.Random = uint64(i * 977)
		c, _ := r.Pick(q)
		assert.Equal(t, c, first)
	}
}

func TestPlace(t *testing.T) {
	other := Load{Region: "o", Service: "s", Free: 0.5, Slots: 64, Targets: 8, CallTime: time.Second, Taken: start}
	tests := map[string]struct {
		router *Router
		change func(*Query, *Router)
		region string
		reason PlaceReason
	}{
		"home with capacity":      {newRouter(2, -1, idle), nil, "r", AtHome},
		"home is busy":            {newRouter(2, -1, busy), nil, "o", Away},
		"home has no target":      {newRouter(0, -1, idle), nil, "o", NoCapacity},
		"no region has a target":  {newRouter(0, -1, idle), func(_ *Query, r *Router) { r.Regions = &Regions{} }, "", Nowhere},
		"bound workspace":         {newRouter(2, -1, busy), func(q *Query, _ *Router) { q.Bound = true }, "r", Bound},
		"bound entry":             {newRouter(2, -1, busy), func(q *Query, _ *Router) { q.Entry.Bound = true }, "r", Bound},
		"bound, no target":        {newRouter(0, -1, busy), func(q *Query, _ *Router) { q.Bound = true }, "", Nowhere},
		"bound to another region": {newRouter(2, -1, idle), func(q *Query, _ *Router) { q.Bound, q.Home = true, "o" }, "", WrongRegion},
		"full":                    {newRouter(2, -1, busy), func(q *Query, _ *Router) { q.RejectedLocally = true }, "o", NoCapacity},
		"full and bound":          {newRouter(2, -1, busy), func(q *Query, _ *Router) { q.RejectedLocally, q.Bound = true, true }, "", Nowhere},
		"full everywhere": {newRouter(2, -1, busy), func(q *Query, r *Router) {
			q.RejectedLocally = true
			for range 100 {
				r.Regions.RecordSent("o", "s")
			}
		}, "", Nowhere},
		"late at home": {newRouter(2, -1, busy), func(q *Query, _ *Router) {
			q.Entry.Weights, q.Deadline = jwcatalogue.Weights{SentAway: 5}, start.Add(2*time.Second)
		}, "o", Away},
		"forwarded":                      {newRouter(2, -1, busy), func(q *Query, _ *Router) { q.Forwarded = true }, "r", AlreadyMoved},
		"forwarded, no target":           {newRouter(0, -1, busy), func(q *Query, _ *Router) { q.Forwarded = true }, "", Nowhere},
		"has passed another node":        {newRouter(2, -1, busy), func(q *Query, _ *Router) { q.Hops = jwrequest.Hops{{Node: "x", Region: "r"}} }, "r", AlreadyMoved},
		"entry allows no other region":   {newRouter(2, -1, busy), func(q *Query, _ *Router) { q.Entry.Regions = nil }, "r", NotAllowed},
		"entry allows an unknown region": {newRouter(2, -1, busy), func(q *Query, _ *Router) { q.Entry.Regions = []string{"x"} }, "r", CheaperHere},
		"report is too old":              {newRouter(2, -1, busy), func(q *Query, _ *Router) { q.Now = start.Add(DefaultMaxLoadAge + 1) }, "r", CheaperHere},
		"link is too expensive":          {newRouter(2, -1, busy), func(q *Query, _ *Router) { q.Entry.Weights.Cost = 100 }, "r", CheaperHere},
		"workspace of another region": {newRouter(2, -1, idle), func(q *Query, _ *Router) {
			q.Home, q.Entry.Weights.SentAway = "o", 10
		}, "o", Away},
		"workspace of another region, entry allows no other": {newRouter(2, -1, idle), func(q *Query, _ *Router) {
			q.Home, q.Entry.Weights.SentAway, q.Entry.Regions = "o", 10, nil
		}, "o", Away},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			q := newQuery()
			test.router.Regions.Merge(other)
			if test.change != nil {
				test.change(q, test.router)
			}
			got := test.router.Place(q)
			assert.Equal(t, got.Region, test.region)
			assert.Equal(t, got.Reason, test.reason)
		})
	}
}

// Reports of other regions arrive late. If requests sent there since the last
// report did not count, a whole peak would go to the region that last reported
// that it was idle, and that region's own callers would queue behind it.
func TestSentAwayCountsUntilNextReport(t *testing.T) {
	r := newRouter(2, -1, busy)
	r.Regions.Merge(Load{Region: "o", Service: "s", Free: 0.5, Slots: 16, Targets: 2, CallTime: time.Second, Taken: start})
	sent := 0
	for range 1000 {
		if r.Place(newQuery()).Reason == Away {
			r.Regions.RecordSent("o", "s")
			sent++
		}
	}
	assert.Assert(t, sent > 8 && sent < 60, "sent %d requests away", sent)
}
