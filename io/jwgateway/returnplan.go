package jwgateway

import (
	"hash/fnv"
	"math/bits"
	"time"

	"jujubewheel/core/jwadmission"
	"jujubewheel/core/jwreturn"
)

// returnPlan returns the slots of a request while a part of the requests like it is admitted.
func (q *request) returnPlan(fraction float64) jwreturn.Plan {
	return jwreturn.Plan{Fingerprint: q.fingerprint, Period: jwreturn.Period(q.entry.Timeout), Fraction: fraction}
}

// plansReturn reports whether rejected requests like this one have slots to return in. A request that
// would be late when it returns does not take the place of one that can still be on time.
func (q *request) plansReturn() bool {
	return q.share.counted && q.entry.Goal >= jwreturn.Period(q.entry.Timeout)
}

// admittedBy reports whether the request is among those admitted if a fraction of the requests like it is.
func (q *request) admittedBy(now time.Time, fraction float64) bool {
	if q.plansReturn() {
		return q.returnPlan(fraction).Admits(now)
	}
	return float64(q.admissionHash())/(1<<32) < fraction
}

// admissionHash hashes the request's identifier to a number that doesn't depend on the service chosen by
// hashFraction.
func (q *request) admissionHash() uint32 {
	h := fnv.New32()
	h.Write([]byte(q.ID))
	return bits.Reverse32(h.Sum32())
}

// returnAfter returns the Retry-After of a rejected request, 0 if a return is of no use.
func (q *request) returnAfter(now time.Time) time.Duration {
	if !q.plansReturn() {
		return max(q.retryAfter, jwadmission.MinRetryAfter)
	}
	r := jwreturn.Return{Plan: q.returnPlan(q.share.fraction), MinWait: q.retryAfter, TimeLeft: q.deadline.Sub(now)}
	wait, ok := r.Wait(now)
	if !ok {
		return 0
	}
	return max(wait, time.Millisecond)
}

// quotaReturn returns the Retry-After of a request over its workspace's quota, 0 if the caller can't wait
// that long.
func (g *Gateway) quotaReturn(q *request, wait time.Duration) time.Duration {
	if !g.controlsOverload(q.service) {
		return wait
	}
	now := time.Now()
	r := jwreturn.Return{Plan: jwreturn.Plan{Fraction: 1}, MinWait: wait, TimeLeft: q.deadline.Sub(now)}
	if _, ok := r.Wait(now); !ok {
		return 0
	}
	return wait
}
