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

// Most returns the bound of a quota.
func (b Bounds) Most(q jwworkspace.Quota) float64 {
	return (q.Rate*b.Window.Seconds()+q.Burst)*(1+b.Ratio) + b.Slack
}

// The parts of what may be kept unspent over all nodes, and who may keep it.
const (
	leafPart = 0.3  // by each node
	poolPart = 0.35 // by the relays of data centres, for their nodes
	rootPart = 0.35 // by the relay at which a workspace's units are gathered
)

const (
	// aheadFor is how long the units last that a node asks for before it needs them.
	aheadFor = 250 * time.Millisecond
	// aheadShare bounds them by the part of what may be kept that they take in a second.
	aheadShare = 0.25
	// transitFor and transitShare bound the units on their way between two nodes.
	transitFor   = 250 * time.Millisecond
	transitShare = 0.15
	// startShare is what a node has of its part of what may be kept when it starts: after
	// a start of all at once their callers retry before anything is minted.
	startShare = 0.12
)

// kept returns the units that all nodes together may keep unspent. In a window these
// and what is minted meanwhile can be spent; minted is the rate times the window.
func (b Bounds) kept(q jwworkspace.Quota) float64 {
	return max(b.Most(q)-q.Rate*b.Window.Seconds(), 0)
}

// still returns the part of kept that is left beside what nodes ask for ahead, what is on
// its way, and what nodes start with.
func (b Bounds) still(q jwworkspace.Quota) float64 {
	kept := b.kept(q)
	ahead := 2 * b.ahead(q).Seconds() * q.Rate
	return kept - ahead - min(transitShare*kept, transitFor.Seconds()*q.Rate) - startShare*kept
}

// largest returns the most units that one request may take: they have to be gathered at
// one node first.
func (b Bounds) largest(q jwworkspace.Quota) float64 { return max(b.kept(q)/2, q.Burst) }

// ahead returns for how long a node asks ahead.
func (b Bounds) ahead(q jwworkspace.Quota) time.Duration {
	if q.Rate <= 0 {
		return 0
	}
	return min(aheadFor, time.Duration(aheadShare*b.kept(q)/q.Rate*float64(time.Second)))
}
