package jwbudget

import "time"

// All nodes together send a target that announces a limit fewer requests within any limitWindow
// than limitRatio times what the limit allows in that time, plus limitSlack.
const (
	limitWindow = 4 * time.Second
	limitRatio  = 1.5
	limitSlack  = 5
	// LimitSettle is how long a node sends nothing to a target that announces a limit after the
	// node started or became the owner of the target. In that time the other nodes learn of it.
	LimitSettle = limitWindow
	// maxExclusiveGap is the maximum time between two calls of Allows for which the node counts
	// as the owner throughout. After a longer gap, another node may have been the owner.
	maxExclusiveGap = 2 * time.Second
	// limitReserve is the part of the slack, in requests, that stays unused, since requests can
	// arrive closer together than they were sent.
	limitReserve = 1
	// minLimit is the lowest limit, in requests per second, that is applied to a target. It
	// keeps some requests flowing, because only an answer shows that the limit has ended.
	minLimit = 0.1
)

// LimitShare is the share of a target's limit that one node may use.
type LimitShare struct {
	Rate      float64 // requests per second
	Burst     float64 // requests sent at once after a pause
	Exclusive bool    // whether no other node may send
}

// LimitShareOf returns the share of one of several nodes in a limit of rate requests per second.
// All nodes have equal shares as long as each share allows a burst of at least one request;
// with more nodes only the owner of the target sends.
func LimitShareOf(rate float64, owner bool, nodes int) LimitShare {
	rate = max(rate, minLimit)
	// Half of what the window allows beyond the rate: while nodes join or leave, the bursts
	// of the nodes before and after the change can fall into one window.
	burst := ((limitRatio-1)*rate*limitWindow.Seconds() + limitSlack - limitReserve) / 2
	n := float64(max(nodes, 1))
	if burst >= n {
		return LimitShare{Rate: rate / n, Burst: burst / n}
	}
	if !owner {
		return LimitShare{}
	}
	return LimitShare{Rate: rate, Burst: burst, Exclusive: true}
}

// LimitBucket is a token bucket of the requests that a node may send to a target that announces
// a limit. It is initially empty. It is not safe for concurrent use.
type LimitBucket struct {
	KnownSince time.Time // when the limit was first known

	tokens         float64
	filledAt       time.Time // time up to which tokens were added
	lastAllows     time.Time // time of the last call of Allows
	exclusiveSince time.Time // since when the node is the only one that may send, zero if it isn't
}

// Allows reports whether this node may send one more request now with the share p. A new owner
// sends nothing for LimitSettle: the previous owner, or nodes that count fewer nodes, may not
// know of it yet. An owner that did not call Allows for maxExclusiveGap counts as new.
func (b *LimitBucket) Allows(now time.Time, p LimitShare) bool {
	if b.filledAt.IsZero() {
		b.filledAt = b.KnownSince
	}
	switch {
	case !p.Exclusive:
		b.exclusiveSince = time.Time{}
	case b.exclusiveSince.IsZero(), now.Sub(b.lastAllows) > maxExclusiveGap:
		b.exclusiveSince, b.tokens, b.filledAt = now, 0, now.Add(LimitSettle)
	}
	b.lastAllows = now
	if d := now.Sub(b.filledAt); d > 0 {
		b.tokens += d.Seconds() * p.Rate
		b.filledAt = now
	}
	b.tokens = min(b.tokens, p.Burst)
	return b.tokens >= 1
}

// Wait returns the time until a request may be sent, as of the last call of Allows. Without a
// share that allows a request it returns limitWindow.
func (b *LimitBucket) Wait(now time.Time, p LimitShare) time.Duration {
	if p.Rate <= 0 || p.Burst < 1 {
		return limitWindow
	}
	missing := max(1-b.tokens, 0) / p.Rate
	return max(b.filledAt.Sub(now), 0) + time.Duration(missing*float64(time.Second))
}

// Take removes one request from the bucket.
func (b *LimitBucket) Take() { b.tokens-- }
