package jwquota

import (
	"time"

	"jujubewheel/core/jwworkspace"
)

const (
	// UrgencyLevels is how many levels of urgency a quota is divided among; less urgent requests
	// count as the last level.
	UrgencyLevels = 3
	// minLevelShare is the least share of a quota's rate that each level may use, so that more
	// urgent requests don't starve it.
	minLevelShare = 0.05
	// shortagePeriod is how long after a sign that a quota is used up it is divided by urgency.
	shortagePeriod = 1500 * time.Millisecond
	// maxSavedRequests limits the units that a level saves up, in requests of the largest cost.
	maxSavedRequests = 2
)

// LevelRates are units a second by urgency level, the most urgent first.
type LevelRates [UrgencyLevels]float64

// add returns the sum of two LevelRates.
func (r LevelRates) add(other LevelRates) LevelRates {
	for i := range r {
		r[i] += other[i]
	}
	return r
}

// urgencyShares divides a quota that is used up among urgency levels.
type urgencyShares struct {
	demand     [UrgencyLevels]rate    // of the units that this node's requests ask for
	total      LevelRates             // units a second that are asked for at all nodes, as the root reported
	shortUntil time.Time              // until when the quota is divided
	saved      [UrgencyLevels]float64 // units that each level may use
}

// TakeByUrgency is like Take for a request of an urgency level, 0 being the most urgent. While the
// quota is used up, a level gets what the more urgent ones leave of the quota's rate. Otherwise
// the large requests that are less urgent would take the units of many small urgent ones.
func (l *Ledger) TakeByUrgency(now time.Time, workspace string, cost float64, level int) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	level = min(max(level, 0), UrgencyLevels-1)
	a, q := l.account(now, workspace)
	a.urgency.demand[level].add(now, cost)
	if !a.urgencyAllows(now, q, level, cost) {
		a.lastAsked = now
		a.demand.add(now, cost)
		return Decision{Outcome: Rejected, Level: a.level, Yields: true, RetryAfter: a.bookRetry(now, q, l.topology, cost)}
	}
	d := l.take(now, a, q, workspace, cost)
	if d.Outcome != Taken {
		a.urgency.shortUntil = now.Add(shortagePeriod)
	}
	return d
}

// urgencyAllows reports whether a request may take units, and records that it does.
func (a *account) urgencyAllows(now time.Time, q jwworkspace.Quota, level int, cost float64) bool {
	u := &a.urgency
	if now.Before(a.exhaustedUntil) || now.Before(a.scarceUntil) {
		u.shortUntil = now.Add(shortagePeriod)
	}
	if level == 0 || !q.Limited() || !now.Before(u.shortUntil) {
		return true
	}
	share := levelShare(q.Rate, a.knownByLevel(now), level)
	u.saved[level] = min(u.saved[level]+share*cost, maxSavedRequests*max(a.largestRequest, cost))
	if share < 1 && u.saved[level] < cost {
		return false
	}
	u.saved[level] = max(u.saved[level]-cost, 0)
	return true
}

// levelShare returns the share of a level's demand that a quota can serve after that of the more
// urgent levels.
func levelShare(quotaRate float64, demand LevelRates, level int) float64 {
	left := quotaRate
	for _, d := range demand[:level] {
		left -= d
	}
	left = max(left, minLevelShare*quotaRate)
	if demand[level] <= left {
		return 1
	}
	return left / demand[level]
}

// subtreeByLevel returns the units a second that are asked for by level at this node and at those
// that claim from it.
func (a *account) subtreeByLevel(now time.Time) LevelRates {
	var sum LevelRates
	for i := range sum {
		sum[i] = a.urgency.demand[i].current(now)
	}
	for _, c := range a.children {
		if now.Sub(c.claimedAt) < claimTTL {
			sum = sum.add(c.byLevel)
		}
	}
	return sum
}

// knownByLevel returns the units a second that are asked for by level at all nodes, or the zero
// value if no recent report of them exists.
func (a *account) knownByLevel(now time.Time) LevelRates {
	if a.root {
		return a.subtreeByLevel(now)
	}
	if now.Sub(a.totalDemandAt) >= totalDemandTTL {
		return LevelRates{}
	}
	return a.urgency.total
}
