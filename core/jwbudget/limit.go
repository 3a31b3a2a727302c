package jwbudget

import "time"

// What a target that names a limit gets of all nodes together within any limitWindow stays
// below limitRatio times the limit and limitSlack requests.
const (
	limitWindow = 4 * time.Second
	limitRatio  = 1.5
	limitSlack  = 5
	// LimitSettle is how long a node that starts, or that becomes the owner of a target, sends
	// nothing to one that names a limit: the others learn of it meanwhile.
	LimitSettle = limitWindow
	// maxSoleGap is how long ago a node may have looked last whether it is the owner for that to
	// count: meanwhile another may have been.
	maxSoleGap = 2 * time.Second
	// limitReserve is the part of the slack that stays unused, as requests can arrive closer
	// together than they were sent.
	limitReserve = 1
	// minLimit keeps some requests coming to a target whose limit is nearly nothing: only
	// an answer tells that the limit has ended.
	minLimit = 0.1
)

// LimitPart is what one node may send to a target that names a limit.
type LimitPart struct {
	Rate  float64 // requests a second
	Burst float64 // requests at once after a pause
	Sole  bool    // no other node may send
}

// PartOf returns the part of one of a number of nodes in a limit, in requests a second.
// Each has an even part while the bursts of all fit the slack; of more nodes the owner alone
// sends, since an even part would be less than one request.
func PartOf(rate float64, owner bool, nodes int) LimitPart {
	rate = max(rate, minLimit)
	// Half of what is left beside the rate: while nodes come and go, the bursts of those
	// before and of those after can fall into one span.
	burst := ((limitRatio-1)*rate*limitWindow.Seconds() + limitSlack - limitReserve) / 2
	n := float64(max(nodes, 1))
	if burst >= n {
		return LimitPart{Rate: rate / n, Burst: burst / n}
	}
	if !owner {
		return LimitPart{}
	}
	return LimitPart{Rate: rate, Burst: burst, Sole: true}
}

// LimitBucket holds the requests that a node may send to a target that names a limit. It is
// empty at first.
type LimitBucket struct {
	Begun time.Time // when the limit was first known

	tokens float64
	at     time.Time // up to which it is filled
	seen   time.Time // of the last call of Room
	sole   time.Time // since when the node is the owner, zero if it isn't
}

// Room reports whether one more request may be sent now by a part. An owner sends nothing
// for LimitSettle: the owner before, or nodes that count fewer nodes, may not know of it yet.
// An owner that doesn't ask for some time counts as one that has just become it.
func (b *LimitBucket) Room(now time.Time, p LimitPart) bool {
	if b.at.IsZero() {
		b.at = b.Begun
	}
	switch {
	case !p.Sole:
		b.sole = time.Time{}
	case b.sole.IsZero(), now.Sub(b.seen) > maxSoleGap:
		b.sole, b.tokens, b.at = now, 0, now.Add(LimitSettle)
	}
	b.seen = now
	if d := now.Sub(b.at); d > 0 {
		b.tokens += d.Seconds() * p.Rate
		b.at = now
	}
	b.tokens = min(b.tokens, p.Burst)
	return b.tokens >= 1
}

// Wait returns how long it takes until there is room, as of the last call of Room.
func (b *LimitBucket) Wait(now time.Time, p LimitPart) time.Duration {
	if p.Rate <= 0 || p.Burst < 1 {
		return limitWindow
	}
	missing := max(1-b.tokens, 0) / p.Rate
	return max(b.at.Sub(now), 0) + time.Duration(missing*float64(time.Second))
}

// Take uses up one request.
func (b *LimitBucket) Take() { b.tokens-- }
