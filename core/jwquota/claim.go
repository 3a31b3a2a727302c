package jwquota

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxClaims is the maximum number of workspaces in one message between two nodes.
	maxClaims = 64
	// claimInterval is the time between two claims for a workspace that lacks no units.
	claimInterval = time.Second
	// scarceTTL is how long a node prefetches fewer units after a grant reported that other
	// nodes lack units, and scarceFactor is the factor by which it lowers its target level.
	scarceTTL    = 600 * time.Millisecond
	scarceFactor = 0.25
)

// Claim is a node's report on one workspace to the node that it claims units from.
type Claim struct {
	Workspace string     `json:"workspace"`
	Surplus   float64    `json:"give,omitempty"`   // units that it doesn't need and gives away with the claim
	FirstNeed float64    `json:"first,omitempty"`  // units that the first of its waiting requests lacks
	Need      float64    `json:"need,omitempty"`   // units that all its waiting requests lack
	Prefetch  float64    `json:"ahead,omitempty"`  // units that it wants for upcoming requests
	Demand    float64    `json:"demand,omitempty"` // units a second that are asked for at the node and those that claim from it
	ByLevel   LevelRates `json:"byLevel,omitzero"` // the part of Demand that is asked for by urgency level
}

// Grant is the answer to a Claim, or a report on a workspace that was not claimed.
type Grant struct {
	Workspace     string     `json:"workspace"`
	Units         float64    `json:"units,omitempty"`
	Exhausted     bool       `json:"short,omitempty"`  // the quota is used up, so no more units will come for now
	SurplusWanted bool       `json:"wanted,omitempty"` // other nodes want the units that the claiming node doesn't need
	Scarce        bool       `json:"scarce,omitempty"` // other nodes lack units now, so the claiming node should prefetch few
	TotalDemand   float64    `json:"total,omitempty"`  // units a second that are asked for at all nodes together
	ByLevel       LevelRates `json:"byLevel,omitzero"` // the part of TotalDemand that is asked for by urgency level
}

// Claims returns the claims that are due now, for the workspaces that the filter
// accepts: those whose units come from the node that the claims go to. The surplus that
// a claim gives away is subtracted at once, and lost if the claim doesn't arrive.
func (l *Ledger) Claims(now time.Time, filter func(workspace string) bool) []Claim {
	l.mu.Lock()
	defer l.mu.Unlock()
	var claims []Claim
	for name, acc := range l.accounts {
		if acc.root || !filter(name) {
			continue
		}
		if c, due := l.claim(now, name); due {
			claims = append(claims, c)
		}
	}
	slices.SortFunc(claims, func(a, b Claim) int {
		return cmp.Or(cmp.Compare(b.Need, a.Need), cmp.Compare(a.Workspace, b.Workspace))
	})
	claims = claims[:min(len(claims), maxClaims)]
	for _, c := range claims {
		a := l.accounts[c.Workspace]
		a.lastClaim = now
		a.level -= c.Surplus
	}
	return claims
}

// claim returns the node's claim for a workspace and whether it should be sent now.
func (l *Ledger) claim(now time.Time, workspace string) (Claim, bool) {
	a, q := l.account(now, workspace)
	b := l.Bounds()
	wanted := a.active(now) || now.Before(a.wantedUntil)
	if !wanted || !q.Limited() {
		return Claim{}, false
	}
	target := a.targetLevel(now, q, b, l.topology)
	switch {
	case now.Before(a.scarceUntil):
		target *= scarceFactor
	case l.topology.GroupSize > 0 && a.active(now):
		target += min(a.largestRequest, b.baseUnspent(q)*relayShare*float64(l.topology.GroupSize)/float64(max(l.topology.FleetSize, 1)))
	}
	c := Claim{Workspace: workspace, Demand: a.subtreeDemand(now), ByLevel: a.subtreeByLevel(now)}
	first, pending := a.firstNeed(now), a.pendingUnits(now)
	switch spare := a.level - pending - target; {
	case first > a.level && l.topology.GroupSize == 0:
		// Units that are spread over many nodes, too few at each for its first request,
		// would serve no request; so they go up to be gathered at one node.
		c.Surplus, c.FirstNeed, c.Need, c.Prefetch = a.level, first, pending, target
	case spare > 0:
		c.Surplus = spare
	default:
		c.Need = max(pending-a.level, 0)
		c.FirstNeed, c.Prefetch = min(c.Need, first), -spare-c.Need
	}
	// A few units that the node's own share adds within moments need not be claimed at once.
	due := c.Need > 0 || c.Prefetch > target/2+negligibleUnits || c.Surplus > a.equalShare(q.Rate, l.topology)/8
	return c, due || now.Sub(a.lastClaim) >= claimInterval
}

// equalShare returns the node's equal share of the units that a quota adds in a second.
func (a *account) equalShare(rate float64, topo Topology) float64 {
	return rate / float64(max(topo.FleetSize, 1))
}

// Answer applies the claims of a node and returns its grants. With poll, the answer also
// lists the other workspaces whose units are wanted.
func (l *Ledger) Answer(now time.Time, node string, claims []Claim, poll bool) []Grant {
	l.mu.Lock()
	defer l.mu.Unlock()
	grants := make([]Grant, 0, len(claims))
	for _, c := range claims {
		grants = append(grants, l.grant(now, node, c))
	}
	return l.addWanted(now, grants, poll)
}

// grant answers one claim.
func (l *Ledger) grant(now time.Time, node string, c Claim) Grant {
	a, q := l.account(now, c.Workspace)
	if !q.Limited() {
		return Grant{Workspace: c.Workspace}
	}
	if c.Demand > 0 {
		a.lastAsked = now
	}
	a.level += max(c.Surplus, 0)
	a.serveWaiting(now)
	units := a.allocate(now, node, c)
	a.level = min(a.level-units, a.maxLevel(now, q, l.Bounds(), l.topology))
	g := Grant{Workspace: c.Workspace, Units: units, SurplusWanted: true, Scarce: a.isScarce(now), TotalDemand: a.knownTotalDemand(now), ByLevel: a.knownByLevel(now)}
	if units+negligibleUnits >= c.Need {
		return g
	}
	if !a.root {
		l.notifyShortage()
		g.Exhausted = now.Before(a.exhaustedUntil)
		return g
	}
	g.Exhausted = a.noteShortage(now) && a.subtreeDemand(now) > q.Rate
	if g.Exhausted {
		a.exhaustedUntil = now.Add(exhaustedTTL)
	}
	return g
}

// addWanted adds to the grants the workspaces whose units other nodes want: with poll
// all active ones, otherwise only those that lack units.
func (l *Ledger) addWanted(now time.Time, grants []Grant, poll bool) []Grant {
	included := make(map[string]bool, len(grants))
	for _, g := range grants {
		included[g.Workspace] = true
	}
	for name, a := range l.accounts {
		if len(grants) >= maxClaims {
			break
		}
		if !included[name] && (a.active(now) || now.Before(a.wantedUntil)) && (poll || a.isScarce(now)) {
			grants = append(grants, Grant{Workspace: name, SurplusWanted: true, Scarce: a.isScarce(now), TotalDemand: a.knownTotalDemand(now), ByLevel: a.knownByLevel(now)})
		}
	}
	return grants
}

// ApplyGrants adds the units of an answer to claims and applies what it reports on the
// workspaces.
func (l *Ledger) ApplyGrants(now time.Time, grants []Grant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, g := range grants {
		a, q := l.account(now, g.Workspace)
		a.level += max(g.Units, 0)
		a.exhaustedUntil = time.Time{}
		if g.Exhausted {
			a.exhaustedUntil = now.Add(exhaustedTTL)
		}
		if g.TotalDemand > 0 {
			a.totalDemand, a.totalDemandAt = g.TotalDemand, now
			a.urgency.total = g.ByLevel
		}
		if g.Scarce {
			a.scarceUntil = now.Add(scarceTTL)
		}
		if g.SurplusWanted {
			a.wantedUntil = now.Add(activePeriod)
		}
		a.serveWaiting(now)
		a.level = min(a.level, a.maxLevel(now, q, l.Bounds(), l.topology))
	}
}
