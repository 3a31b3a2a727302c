package jwquota

import (
	"time"

	"jujubewheel/core/jwworkspace"
)

// Bounds are the operators' limits on what all nodes together may exceed a quota by: in
// any window a workspace gets at most (rate × window + burst) × (1 + ratio) + slack units.
type Bounds struct {
	Window time.Duration
	Ratio  float64
	Slack  float64 // units
}

// MaxUnits returns the units that a workspace may spend at most in a window.
func (b Bounds) MaxUnits(q jwworkspace.Quota) float64 {
	return (q.Rate*b.Window.Seconds()+q.Burst)*(1+b.Ratio) + b.Slack
}

// The shares of baseUnspent, the units that all nodes together may keep regardless of
// demand, by who may keep them.
const (
	nodeShare  = 0.3  // by each node
	relayShare = 0.35 // by the relays of data centres, for their nodes
	rootShare  = 0.35 // by the relay at which a workspace's units are gathered
)

const (
	// maxPrefetchTime is how long the units that nodes claim in advance may last at most.
	maxPrefetchTime = 250 * time.Millisecond
	// maxPrefetchShare bounds the units that the rate adds in the prefetch time to this share
	// of maxUnspent.
	maxPrefetchShare = 0.25
	// maxTransitTime and maxTransitShare bound the units in transit between two nodes.
	maxTransitTime  = 250 * time.Millisecond
	maxTransitShare = 0.15
	// initialShare is the fraction of its equal share of maxUnspent that a node has when it starts:
	// after all nodes start at once, callers retry before the rate has added any units.
	initialShare = 0.12
)

// maxUnspent returns the units that all nodes together may keep unspent. In a window
// these can be spent in addition to what the rate adds within it.
func (b Bounds) maxUnspent(q jwworkspace.Quota) float64 {
	return max(b.MaxUnits(q)-q.Rate*b.Window.Seconds(), 0)
}

// baseUnspent returns maxUnspent minus the units that nodes prefetch, the units in
// transit and the units that nodes start with.
func (b Bounds) baseUnspent(q jwworkspace.Quota) float64 {
	unspent := b.maxUnspent(q)
	prefetched := 2 * b.prefetchTime(q).Seconds() * q.Rate
	return unspent - prefetched - min(maxTransitShare*unspent, maxTransitTime.Seconds()*q.Rate) - initialShare*unspent
}

// maxRequest returns the units that one request may take at most. All of them must
// first be gathered at one node.
func (b Bounds) maxRequest(q jwworkspace.Quota) float64 { return max(b.maxUnspent(q)/2, q.Burst) }

// prefetchTime returns how long the units that a node claims in advance are to last.
func (b Bounds) prefetchTime(q jwworkspace.Quota) time.Duration {
	if q.Rate <= 0 {
		return 0
	}
	return min(maxPrefetchTime, time.Duration(maxPrefetchShare*b.maxUnspent(q)/q.Rate*float64(time.Second)))
}
