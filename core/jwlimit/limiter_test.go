package jwlimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubewheel/core/jwcatalogue"
	"jujubewheel/core/jwtarget"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return start.Add(d) }

// capacity returns the load of a service with 16 slots and calls of one second.
func capacity(outstanding int) jwtarget.Capacity {
	r := jwtarget.Capacity{Targets: 2, Slots: 16, Outstanding: outstanding, CallTime: time.Second}
	r.Wait = time.Duration(max(outstanding+1-16, 0)) * time.Second / 16
	return r
}

func query(class jwcatalogue.Class, outstanding int) *Query {
	return &Query{
		Entry: &jwcatalogue.Entry{Name: "e", Class: class, Service: "s"},
		Owner: "o", Caller: 1, TimeLeft: 10 * time.Second, CallTime: time.Second,
		Capacity: capacity(outstanding), Now: start, Random: 0.5,
	}
}

func TestAdmit(t *testing.T) {
	tests := map[string]struct {
		class       jwcatalogue.Class
		outstanding int
		change      func(*Query, *Limiter)
		want        Reason // empty for admitted
	}{
		"free slots":                            {jwcatalogue.Draft, 3, nil, ""},
		"short queue":                           {jwcatalogue.Draft, 20, nil, ""},
		"no target":                             {jwcatalogue.Draft, 3, func(q *Query, _ *Limiter) { q.Capacity = jwtarget.Capacity{} }, NoTarget},
		"sent to another region":                {jwcatalogue.Draft, 99, func(q *Query, _ *Limiter) { q.Away, q.Capacity = true, jwtarget.Capacity{} }, ""},
		"too late":                              {jwcatalogue.Draft, 24, func(q *Query, _ *Limiter) { q.TimeLeft = 1500 * time.Millisecond }, TooLate},
		"first token too late":                  {jwcatalogue.Draft, 24, func(q *Query, _ *Limiter) { q.Entry.FirstToken = time.Millisecond }, TooLate},
		"queue too long for a draft":            {jwcatalogue.Draft, 32, nil, QueueFull},
		"queue short enough for a lookup":       {jwcatalogue.Lookup, 32, nil, ""},
		"queue short enough for a confirmation": {jwcatalogue.Confirmation, 64, nil, ""},
		"foreign with free slots":               {jwcatalogue.Draft, 10, func(q *Query, _ *Limiter) { q.Foreign = true }, ""},
		"foreign without free slots":            {jwcatalogue.Draft, 15, func(q *Query, _ *Limiter) { q.Foreign = true }, QueueFull},
		"owner above its share": {jwcatalogue.Draft, 25, func(q *Query, l *Limiter) {
			l.Admit(&Query{Entry: q.Entry, Owner: "other", Capacity: capacity(0), Now: start})
			for range 10 {
				l.Admit(&Query{Entry: q.Entry, Owner: "o", Capacity: capacity(0), Now: start})
			}
		}, OwnerShare},
		"bound request of an owner above its share": {jwcatalogue.Draft, 25, func(q *Query, l *Limiter) {
			l.Admit(&Query{Entry: q.Entry, Owner: "other", Capacity: capacity(0), Now: start})
			for range 10 {
				l.Admit(&Query{Entry: q.Entry, Owner: "o", Capacity: capacity(0), Now: start})
			}
			q.Bound = true
		}, ""},
		"node full for drafts":      {jwcatalogue.Draft, 0, func(_ *Query, l *Limiter) { l.MaxRunning, l.running = 10, 8 }, NodeFull},
		"node not full for lookups": {jwcatalogue.Lookup, 0, func(_ *Query, l *Limiter) { l.MaxRunning, l.running = 10, 8 }, ""},
		"entry at its concurrent limit": {jwcatalogue.Confirmation, 0, func(q *Query, l *Limiter) {
			q.Entry.Limits.Concurrent = 1
			l.Admit(q)
		}, EntryConcurrent},
		"entry above its rate": {jwcatalogue.Confirmation, 0, func(q *Query, l *Limiter) {
			q.Entry.Limits.Rate = 1
			l.Admit(q)
		}, EntryRate},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := &Limiter{Node: "n"}
			q := query(test.class, test.outstanding)
			if test.change != nil {
				test.change(q, l)
			}
			_, refusal, admitted := l.Admit(q)
			assert.Equal(t, refusal.Reason, test.want)
			assert.Equal(t, admitted, test.want == "")
			if !admitted {
				assert.Assert(t, refusal.RetryAfter >= minRetryAfter && refusal.RetryAfter <= maxRetryAfter, "%v", refusal.RetryAfter)
			}
		})
	}
}

// One owner sends far more than the service can run while others send little.
// Without shares the others find all slots in use and are rejected as long as
// the burst lasts.
func TestBurstOfOneOwnerDoesNotDisplaceOthers(t *testing.T) {
	served := func(p Policy) int {
		l := &Limiter{Node: "n", Policy: p}
		running, quiet := 0, 0
		admit := func(owner string, caller uint64, now time.Time) bool {
			q := query(jwcatalogue.Draft, running)
			q.Owner, q.Caller, q.Now = owner, caller, now
			_, _, ok := l.Admit(q)
			if ok {
				running++
			}
			return ok
		}
		admit("quiet", 1, start)
		for i := range 100 {
			admit("burst", uint64(i+2), at(time.Millisecond))
		}
		for i := range 5 {
			if admit("quiet", uint64(i+200), at(2*time.Millisecond)) {
				quiet++
			}
		}
		return quiet
	}
	assert.Equal(t, served(Policy{}), 5)
	assert.Equal(t, served(Policy{NoOwners: true}), 0)
}

// Callers above an entry's rate get a retry time. If new callers could
// take their places in the meantime, callers that retry on time would be
// rejected again and again. If all were given the same time, they would retry
// together.
func TestCallersRetryingOnTimeAreAdmitted(t *testing.T) {
	returned, rejectedAgain, together := simulateRetries(Policy{})
	assert.Assert(t, returned > 50, "%d callers retried", returned)
	assert.Equal(t, rejectedAgain, 0)
	assert.Assert(t, together <= 2, "%d callers retry at the same time", together)
	_, rejectedAgain, _ = simulateRetries(Policy{NoReservations: true})
	assert.Assert(t, rejectedAgain > 0)
}

// simulateRetries sends more requests than an entry's rate for ten seconds; the
// rejected callers retry at the time that they were given.
func simulateRetries(p Policy) (returned, rejectedAgain, together int) {
	l := &Limiter{Node: "n", Policy: p}
	entry := &jwcatalogue.Entry{Name: "e", Class: jwcatalogue.Draft, Service: "s", Limits: jwcatalogue.Limits{Rate: 10, Burst: 1}}
	due := make(map[int][]uint64) // callers by the millisecond at which they retry
	caller := uint64(0)
	for ms := range 10000 {
		q := query(jwcatalogue.Draft, 0)
		q.Entry, q.Now = entry, at(time.Duration(ms)*time.Millisecond)
		for _, q.Caller = range due[ms] {
			returned++
			if _, _, ok := l.Admit(q); !ok {
				rejectedAgain++
			}
		}
		if ms%70 == 0 { // always more than the rate
			caller++
			q.Caller = caller
			if _, refusal, ok := l.Admit(q); !ok {
				back := ms + int(refusal.RetryAfter/time.Millisecond) + 1
				due[back] = append(due[back], caller)
			}
		}
	}
	for _, callers := range due {
		together = max(together, len(callers))
	}
	return returned, rejectedAgain, together
}

// The nodes of a region share an entry's limit without a message for each
// request. If their shares did not add up to the limit, a region would run more
// requests than its owner allowed, or fewer than it could.
func TestSharesAddUpToLimit(t *testing.T) {
	for _, nodes := range []int{1, 2, 3, 9, 75} {
		for _, limit := range []int{1, 4, 100} {
			t.Run(fmt.Sprintf("%d nodes, limit %d", nodes, limit), func(t *testing.T) {
				r := newRegion(nodes, limit)
				for range limit + 3 {
					for i := range r.nodes {
						r.admit(i)
					}
					r.now = r.now.Add(shareTTL)
					r.exchangeReports()
				}
				assert.Equal(t, r.running(), limit)
				rate := 0.0
				for _, l := range r.nodes {
					rate += l.share("e", l.meterFor("e"), limit, r.now).fraction
				}
				assert.Assert(t, rate > 0.99 && rate < 1.01, "%v", rate)
			})
		}
	}
}

// A request from another region was counted there. If it were counted here as
// well, a peak in that region would use up the limit of this region's callers.
func TestForeignRequestsDoNotCountAgainstEntry(t *testing.T) {
	l := &Limiter{Node: "n"}
	q := query(jwcatalogue.Draft, 0)
	q.Entry.Limits = jwcatalogue.Limits{Rate: 0.001, Concurrent: 1}
	q.Foreign = true
	for range 3 {
		_, _, ok := l.Admit(q)
		assert.Assert(t, ok)
	}
	assert.Equal(t, len(l.Usages(start)), 0)
	q.Foreign = false
	_, _, ok := l.Admit(q)
	assert.Assert(t, ok)
}

func TestBudget(t *testing.T) {
	b := &Budget{Share: 0.1, MaxSaved: 5}
	retries := 0
	for range 1000 {
		b.Try("e")
		for range 10 {
			if b.Retry("e") {
				retries++
			}
		}
	}
	assert.Assert(t, retries <= 105 && retries >= 100, "%d", retries)
	assert.Assert(t, b.Retry("other"))
}

// A burst reaches all nodes of a region while their reports are a second old.
// The limit may be exceeded for a moment, by what the reports do not include
// yet; this test bounds by how much.
func TestConcurrentLimitUnderLaggingReports(t *testing.T) {
	const nodes, limit, step = 9, 90, 20 * time.Millisecond
	r := newRegion(nodes, limit)
	rnd := rand.New(rand.NewPCG(1, 1))
	peak, sum, steps := 0, 0, 0
	for i := range 3000 {
		if i%50 == 0 {
			r.exchangeReports()
		}
		busiest := i / 500 % nodes // the node that gets most requests changes every ten seconds
		for range 8 {
			r.admit(busiest)
			r.admit(rnd.IntN(nodes))
		}
		for n := range r.heldTokens {
			for range len(r.heldTokens[n]) {
				if len(r.heldTokens[n]) > 0 && rnd.Float64() < 0.02 { // calls take one second on average
					r.nodes[n].Release(r.heldTokens[n][0])
					r.heldTokens[n] = r.heldTokens[n][1:]
				}
			}
		}
		r.now = r.now.Add(step)
		peak = max(peak, r.running())
		sum += r.running()
		steps++
	}
	t.Logf("limit %d, at most %d, on average %d", limit, peak, sum/steps)
	assert.Assert(t, peak <= limit*11/10, "peak of %d at a limit of %d", peak, limit)
	assert.Assert(t, sum/steps >= limit*9/10, "average of %d at a limit of %d", sum/steps, limit)
}

func BenchmarkAdmit(b *testing.B) {
	for _, nodes := range []int{1, 75} {
		for _, owners := range []int{10, 500} {
			b.Run(fmt.Sprintf("nodes=%d/owners=%d", nodes, owners), func(b *testing.B) {
				r := newRegion(nodes, 1000)
				r.exchangeReports()
				l := r.nodes[0]
				q := query(jwcatalogue.Draft, 25)
				q.Entry.Limits = jwcatalogue.Limits{Rate: 1e6, Burst: 1e6, Concurrent: 1000}
				var names []string
				for i := range owners {
					names = append(names, fmt.Sprint(i))
				}
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					q.Owner, q.Caller = names[i%owners], uint64(i)
					q.Now = q.Now.Add(time.Millisecond)
					if token, _, ok := l.Admit(q); ok {
						l.Release(token)
					}
				}
			})
		}
	}
}

// In a lasting overload, more callers are rejected than can be served later. If
// all were to retry at once, they would return within a second, take the places
// of new callers and be rejected again, and every answer would be late.
func TestCapacityRefusalsSpreadRetries(t *testing.T) {
	l := &Limiter{}
	var retryAfters []time.Duration
	for range 40 {
		_, refusal, admitted := l.Admit(query(jwcatalogue.Draft, 32))
		assert.Assert(t, !admitted && refusal.Reason == QueueFull)
		retryAfters = append(retryAfters, refusal.RetryAfter)
	}
	// Sixteen calls of one second each finish per second. A quarter of them,
	// four, is planned for callers that retry.
	soon := 0
	for _, d := range retryAfters {
		assert.Assert(t, d <= maxRetryAfter)
		if d <= 5*time.Second {
			soon++
		}
	}
	assert.Assert(t, soon <= 20, "%d of 40 callers retry within five seconds", soon)

	q := query(jwcatalogue.Draft, 32)
	q.Now = at(time.Minute)
	_, refusal, _ := l.Admit(q)
	assert.Assert(t, refusal.RetryAfter < 2*time.Second+q.Capacity.Wait, "earlier retry times must not count a minute later")
}
