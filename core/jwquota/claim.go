package jwquota

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxClaims bounds the workspaces in one message between two nodes.
	maxClaims = 64
	// claimInterval is the time between two claims for a workspace that lacks nothing.
	claimInterval = time.Second
	// scarceTTL is how long nodes have less ahead once others lack units, and
	// scarceShare is how much of it.
	scarceTTL    = 600 * time.Millisecond
	scarceFactor = 0.25
)

// Claim is what a node reports of a workspace to the one that it claims units from.
type Claim struct {
	Workspace string  `json:"workspace"`
	Surplus   float64 `json:"give,omitempty"`   // units that it doesn't need; they are no longer its own
	FirstNeed float64 `json:"first,omitempty"`  // units that the first of its waiting requests lacks
	Need      float64 `json:"need,omitempty"`   // units that all of them lack
	Prefetch  float64 `json:"ahead,omitempty"`  // units that it wants to have for those to come
	Demand    float64 `json:"demand,omitempty"` // units a second that are asked for there
}

// Grant answers a claim.
type Grant struct {
	Workspace     string  `json:"workspace"`
	Units         float64 `json:"units,omitempty"`
	Exhausted     bool    `json:"short,omitempty"`  // the quota is used up, and no more will come for now
	SurplusWanted bool    `json:"wanted,omitempty"` // others want what the node doesn't need
	Scarce        bool    `json:"scarce,omitempty"` // others lack units now, so it should have little ahead
	TotalDemand   float64 `json:"total,omitempty"`  // units a second that are asked for in all
}

// Claims returns what the node claims now for the workspaces that fit: those whose
// units come from the node that is asked. What it gives away is taken off at once;
// where the claim doesn't arrive it is lost.
func (l *Ledger) Claims(now time.Time, fits func(workspace string) bool) []Claim {
	l.mu.Lock()
	defer l.mu.Unlock()
	var claims []Claim
	for name, old := range l.accounts {
		if old.root || !fits(name) {
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

// claim returns what the node claims for a workspace and whether that is due.
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
	c := Claim{Workspace: workspace, Demand: a.subtreeDemand(now)}
	first, lacking := a.firstNeed(now), a.pendingUnits(now)
	switch spare := a.level - lacking - target; {
	case first > a.level && l.topology.GroupSize == 0:
		// Held by many, each too few for its first request, they would be of use to none.
		c.Surplus, c.FirstNeed, c.Need, c.Prefetch = a.level, first, lacking, target
	case spare > 0:
		c.Surplus = spare
	default:
		c.Need = max(lacking-a.level, 0)
		c.FirstNeed, c.Prefetch = min(c.Need, first), -spare-c.Need
	}
	// Few units, which the node mints itself within moments, need not be claimed at once.
	due := c.Need > 0 || c.Prefetch > target/2+negligibleUnits || c.Surplus > a.equalShare(q.Rate, l.topology)/8
	return c, due || now.Sub(a.lastClaim) >= claimInterval
}

// equalShare returns the node's equalShare part of a second of the quota.
func (a *account) equalShare(rate float64, p Topology) float64 {
	return rate / float64(max(p.FleetSize, 1))
}

// Answer takes the claims of a node and returns what it is given. A node that polls also
// learns of the other workspaces that units are wanted of.
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
	g := Grant{Workspace: c.Workspace, Units: units, SurplusWanted: true, Scarce: a.isScarce(now), TotalDemand: a.knownTotalDemand(now)}
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

// addWanted adds the workspaces to an answer that others want units of: all for a node that
// polls, for the others those of which units are lacking.
func (l *Ledger) addWanted(now time.Time, grants []Grant, poll bool) []Grant {
	named := make(map[string]bool, len(grants))
	for _, g := range grants {
		named[g.Workspace] = true
	}
	for name, a := range l.accounts {
		if len(grants) >= maxClaims {
			break
		}
		if !named[name] && (a.active(now) || now.Before(a.wantedUntil)) && (poll || a.isScarce(now)) {
			grants = append(grants, Grant{Workspace: name, SurplusWanted: true, Scarce: a.isScarce(now), TotalDemand: a.knownTotalDemand(now)})
		}
	}
	return grants
}

// ApplyGrants takes the answer to claims.
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
