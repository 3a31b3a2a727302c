package jwrouter

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"jujubewheel/core/jwtarget"
)

// PickReason states why a target was chosen.
type PickReason string

// The reasons for the choice of a target.
const (
	Cached        PickReason = "cached"   // the target has the prefix in its cache, and its load allows the call
	LeastExpected PickReason = "lightest" // least expected time to the end of the call
	Probe         PickReason = "probe"    // the target is probed again after failures
)

// Choice is the target chosen for one call.
type Choice struct {
	Address netip.AddrPort
	Reason  PickReason
	Expect  time.Duration // expected time to the end of the call, including the wait for a slot
}

// prefixLength is how many bytes at the beginning of a body decide which
// requests share a prefix.
const prefixLength = 256

// PrefixOf returns a key that is equal for requests of one workspace and entry
// whose bodies begin in the same way. Requests with the same key are kept on
// the same target.
func PrefixOf(workspace, entry string, body []byte) uint64 {
	h := xxhash.Sum64String(workspace)
	h = jwtarget.Mix(h, xxhash.Sum64String(entry))
	return jwtarget.Mix(h, xxhash.Sum64(body[:min(len(body), prefixLength)]))
}

// Pick chooses a target of this region for a request; found is false if no
// target may get it.
func (r *Router) Pick(q *Query) (choice Choice, found bool) {
	buf, _ := r.scratch.Get().(*[]jwtarget.Candidate)
	if buf == nil {
		buf = new([]jwtarget.Candidate)
	}
	defer r.scratch.Put(buf)
	*buf = r.Targets.Candidates(q.Entry.Service, q.Now, (*buf)[:0])
	usable := filterCandidates(*buf, q)
	if len(usable) == 0 {
		return Choice{}, false
	}
	best := r.leastExpected(q, usable)
	choice = Choice{Address: best.Address, Reason: LeastExpected, Expect: r.expectedTime(q, best)}
	if best.Probe {
		choice.Reason = Probe
		return choice, true
	}
	if q.Prefix == 0 || r.Policy.NoAffinity {
		return choice, true
	}
	if cached := r.affinityTarget(q, usable); cached != nil {
		expect := r.expectedTime(q, cached) - q.Prefill
		if expect <= choice.Expect {
			return Choice{Address: cached.Address, Reason: Cached, Expect: max(expect, 0)}, true
		}
	}
	return choice, true
}

// filterCandidates removes the targets that must not get the request. A target
// that is probed after failures gets only calls that may be retried, unless
// there is no other target.
func filterCandidates(list []jwtarget.Candidate, q *Query) []jwtarget.Candidate {
	kept := list[:0]
	for _, c := range list {
		if !slices.Contains(q.Exclude, c.Address) {
			kept = append(kept, c)
		}
	}
	if q.Entry.Idempotent {
		return kept
	}
	healthy := 0
	for i := range kept {
		if !kept[i].Probe {
			kept[healthy], kept[i] = kept[i], kept[healthy]
			healthy++
		}
	}
	if healthy == 0 {
		return kept
	}
	return kept[:healthy]
}

// leastExpected returns the target with the least expected time. It starts at a
// random position in the list, so that nodes with the same reports do not all
// choose the same one of several equal targets.
func (r *Router) leastExpected(q *Query, list []jwtarget.Candidate) *jwtarget.Candidate {
	n := len(list)
	start := int(q.Random % uint64(n))
	best := &list[start]
	lowest := r.expectedTime(q, best)
	for i := 1; i < n; i++ {
		c := &list[(start+i)%n]
		if e := r.expectedTime(q, c); e < lowest {
			best, lowest = c, e
		}
	}
	return best
}

// affinityTarget returns the target that keeps the request's prefix: the first
// one by rendezvous hashing whose load is at most Spread times the mean. A busy
// prefix is thus distributed to further targets and does not overload the
// first. It returns nil if all targets are above that load, as in a region
// whose queues are long.
func (r *Router) affinityTarget(q *Query, list []jwtarget.Candidate) *jwtarget.Candidate {
	outstanding, slots := 0, 0
	for i := range list {
		outstanding += list[i].Outstanding
		slots += list[i].Slots
	}
	mean := float64(outstanding+1) / float64(slots)
	var best *jwtarget.Candidate
	highest := uint64(0)
	for i := range list {
		c := &list[i]
		if c.Probe || float64(c.Outstanding) > r.Policy.spread()*mean*float64(c.Slots) {
			continue
		}
		if key := jwtarget.Mix(q.Prefix, c.Key); best == nil || key > highest {
			best, highest = c, key
		}
	}
	return best
}

// fullBatchSlowdown is how much longer a call takes in a full batch than alone,
// as a fraction of its duration alone.
const fullBatchSlowdown = 0.5

// expectedTime estimates the time to the end of a call on a target: the wait
// for a slot and the call itself, which takes longer in a fuller batch.
func (r *Router) expectedTime(q *Query, c *jwtarget.Candidate) time.Duration {
	slots := float64(c.Slots)
	queued := float64(max(c.Outstanding+1-c.Slots, 0))
	filled := min(float64(c.Outstanding)/slots, 1)
	times := queued/slots + 1 + fullBatchSlowdown*filled
	if !r.Policy.NoPace {
		times *= c.Slowdown
	}
	expect := time.Duration(times * float64(q.CallTime))
	if c.DataCentre != r.DataCentre {
		expect += 2 * r.Policy.crossing()
	}
	return expect
}
