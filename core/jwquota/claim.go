package jwquota

import (
	"cmp"
	"slices"
	"time"
)

const (
	// mostClaims bounds the workspaces in one message between two nodes.
	mostClaims = 64
	// claimPeriod is the time between two claims for a workspace that lacks nothing.
	claimPeriod = time.Second
	// scarceFor is how long nodes have less ahead once others lack units, and
	// scarceShare is how much of it.
	scarceFor   = 600 * time.Millisecond
	scarceShare = 0.25
)

// Claim is what a node reports of a workspace to the one that it claims units from.
type Claim struct {
	Workspace string  `json:"workspace"`
	Give      float64 `json:"give,omitempty"`   // units that it doesn't need; they are no longer its own
	First     float64 `json:"first,omitempty"`  // units that the first of its waiting requests lacks
	Need      float64 `json:"need,omitempty"`   // units that all of them lack
	Ahead     float64 `json:"ahead,omitempty"`  // units that it wants to have for those to come
	Demand    float64 `json:"demand,omitempty"` // units a second that are asked for there
}

// Grant answers a claim.
type Grant struct {
	Workspace string  `json:"workspace"`
	Units     float64 `json:"units,omitempty"`
	Short     bool    `json:"short,omitempty"`  // the quota is used up, and no more will come for now
	Wanted    bool    `json:"wanted,omitempty"` // others want what the node doesn't need
	Scarce    bool    `json:"scarce,omitempty"` // others lack units now, so it should have little ahead
	Total     float64 `json:"total,omitempty"`  // units a second that are asked for in all
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
	claims = claims[:min(len(claims), mostClaims)]
	for _, c := range claims {
		a := l.accounts[c.Workspace]
		a.claimed = now
		a.level -= c.Give
	}
	return claims
}

// claim returns what the node claims for a workspace and whether that is due.
func (l *Ledger) claim(now time.Time, workspace string) (Claim, bool) {
	a, q := l.account(now, workspace)
	b := l.Bounds()
	wanted := a.active(now) || now.Before(a.wanted)
	if !wanted || !q.Limited() {
		return Claim{}, false
	}
	target := a.target(now, q, b, l.place)
	switch {
	case now.Before(a.scarce):
		target *= scarceShare
	case l.place.Group > 0 && a.active(now):
		target += min(a.largest, b.still(q)*poolPart*float64(l.place.Group)/float64(max(l.place.Fleet, 1)))
	}
	c := Claim{Workspace: workspace, Demand: a.asksTotal(now)}
	first, lacking := a.first(now), a.lacking(now)
	switch spare := a.level - lacking - target; {
	case first > a.level && l.place.Group == 0:
		// Held by many, each too few for its first request, they would be of use to none.
		c.Give, c.First, c.Need, c.Ahead = a.level, first, lacking, target
	case spare > 0:
		c.Give = spare
	default:
		c.Need = max(lacking-a.level, 0)
		c.First, c.Ahead = min(c.Need, first), -spare-c.Need
	}
	// Few units, which the node mints itself within moments, need not be claimed at once.
	due := c.Need > 0 || c.Ahead > target/2+someUnits || c.Give > a.even(q.Rate, l.place)/8
	return c, due || now.Sub(a.claimed) >= claimPeriod
}

// even returns the node's even part of a second of the quota.
func (a *account) even(rate float64, p Place) float64 { return rate / float64(max(p.Fleet, 1)) }

// Answer takes the claims of a node and returns what it is given. A node that polls also
// learns of the other workspaces that units are wanted of.
func (l *Ledger) Answer(now time.Time, node string, claims []Claim, poll bool) []Grant {
	l.mu.Lock()
	defer l.mu.Unlock()
	grants := make([]Grant, 0, len(claims))
	for _, c := range claims {
		grants = append(grants, l.grant(now, node, c))
	}
	return l.wanted(now, grants, poll)
}

// grant answers one claim.
func (l *Ledger) grant(now time.Time, node string, c Claim) Grant {
	a, q := l.account(now, c.Workspace)
	if !q.Limited() {
		return Grant{Workspace: c.Workspace}
	}
	if c.Demand > 0 {
		a.asked = now
	}
	a.level += max(c.Give, 0)
	a.serve(now)
	units := a.share(now, node, c)
	a.level = min(a.level-units, a.most(now, q, l.Bounds(), l.place))
	g := Grant{Workspace: c.Workspace, Units: units, Wanted: true, Scarce: a.isScarce(now), Total: a.allAsk(now)}
	if units+someUnits >= c.Need {
		return g
	}
	if !a.root {
		l.lacks()
		g.Short = now.Before(a.short)
		return g
	}
	g.Short = a.lacks(now) && a.asksTotal(now) > q.Rate
	if g.Short {
		a.short = now.Add(shortFor)
	}
	return g
}

// wanted adds the workspaces to an answer that others want units of: all for a node that
// polls, for the others those of which units are lacking.
func (l *Ledger) wanted(now time.Time, grants []Grant, poll bool) []Grant {
	named := make(map[string]bool, len(grants))
	for _, g := range grants {
		named[g.Workspace] = true
	}
	for name, a := range l.accounts {
		if len(grants) >= mostClaims {
			break
		}
		if !named[name] && (a.active(now) || now.Before(a.wanted)) && (poll || a.isScarce(now)) {
			grants = append(grants, Grant{Workspace: name, Wanted: true, Scarce: a.isScarce(now), Total: a.allAsk(now)})
		}
	}
	return grants
}

// Granted takes the answer to claims.
func (l *Ledger) Granted(now time.Time, grants []Grant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, g := range grants {
		a, q := l.account(now, g.Workspace)
		a.level += max(g.Units, 0)
		a.short = time.Time{}
		if g.Short {
			a.short = now.Add(shortFor)
		}
		if g.Total > 0 {
			a.total, a.totalAt = g.Total, now
		}
		if g.Scarce {
			a.scarce = now.Add(scarceFor)
		}
		if g.Wanted {
			a.wanted = now.Add(wantedFor)
		}
		a.serve(now)
		a.level = min(a.level, a.most(now, q, l.Bounds(), l.place))
	}
}
