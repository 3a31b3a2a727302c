package jwquota

import (
	"time"

	"jujubewheel/core/jwworkspace"
)

// Bounds are what the operators hold all nodes together to: in any window a
// workspace gets (rate × window + burst) × (1 + ratio) + slack at most.
type Bounds struct {
	Window time.Duration
	Ratio  float64
	Slack  float64 // units
}

// MaxUnits returns the bound of a quota.
func (b Bounds) MaxUnits(q jwworkspace.Quota) float64 {
	return (q.Rate*b.Window.Seconds()+q.Burst)*(1+b.Ratio) + b.Slack
}

// The parts of what may be kept unspent over all nodes, and who may keep it.
const (
	nodeShare  = 0.3  // by each node
	relayShare = 0.35 // by the relays of data centres, for their nodes
	rootShare  = 0.35 // by the relay at which a workspace's units are gathered
)

const (
	// maxPrefetchTime is how long the units last that a node asks for before it needs them.
	maxPrefetchTime = 250 * time.Millisecond
	// maxPrefetchShare bounds them by the part of what may be kept that they take in a second.
	maxPrefetchShare = 0.25
	// maxTransitTime and transitShare bound the units on their way between two nodes.
	maxTransitTime  = 250 * time.Millisecond
	maxTransitShare = 0.15
	// initialShare is what a node has of its part of what may be kept when it starts: after
	// a start of all at once their callers retry before anything is minted.
	initialShare = 0.12
)

// maxUnspent returns the units that all nodes together may keep unspent. In a window these
// and what is minted meanwhile can be spent; minted is the rate times the window.
func (b Bounds) maxUnspent(q jwworkspace.Quota) float64 {
	return max(b.MaxUnits(q)-q.Rate*b.Window.Seconds(), 0)
}

// baseUnspent returns the part of kept that is left beside what nodes ask for ahead, what is on
// its way, and what nodes start with.
func (b Bounds) baseUnspent(q jwworkspace.Quota) float64 {
	kept := b.maxUnspent(q)
	ahead := 2 * b.prefetchTime(q).Seconds() * q.Rate
	return kept - ahead - min(maxTransitShare*kept, maxTransitTime.Seconds()*q.Rate) - initialShare*kept
}

// maxRequest returns the most units that one request may take: they have to be gathered at
// one node first.
func (b Bounds) maxRequest(q jwworkspace.Quota) float64 { return max(b.maxUnspent(q)/2, q.Burst) }

// prefetchTime returns for how long a node asks prefetchTime.
func (b Bounds) prefetchTime(q jwworkspace.Quota) time.Duration {
	if q.Rate <= 0 {
		return 0
	}
	return min(maxPrefetchTime, time.Duration(maxPrefetchShare*b.maxUnspent(q)/q.Rate*float64(time.Second)))
}
