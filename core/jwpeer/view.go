package jwpeer

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// view is what this node derives from the known nodes: its role and its partners.
type view struct {
	computedAt      time.Time
	relay           bool   // whether this node is a relay of its data centre
	partners        []Peer // partners that are sent changes at once
	periodic        []Peer // partners that are sent changes in turn, one in each period
	gatherer        string // name of the gatherer of the region, see Exchange.Gatherer
	dataCentreNodes int    // number of fresh nodes in the data centre
	regionNodes     int    // number of fresh nodes in the region
	fleetNodes      int    // number of fresh nodes
}

// A view is reused for a fraction of the period, and for longer if there are many
// nodes: sorting a thousand nodes four times a second would cost as much as a node
// may spend on all its other control work.
const (
	viewPeriodDivisor = 2
	viewAgePerNode    = 2 * time.Millisecond
)

// currentView returns the view, computed again if it is too old.
func (x *Exchange) currentView() view {
	now := x.Now()
	x.mu.Lock()
	v := x.view
	x.mu.Unlock()
	if !v.computedAt.IsZero() && now.Sub(v.computedAt) < max(x.Period/viewPeriodDivisor, viewAgePerNode*time.Duration(v.fleetNodes)) {
		return v
	}
	v = x.computeView(now)
	x.mu.Lock()
	x.view = v
	x.mu.Unlock()
	return v
}

func (x *Exchange) computeView(now time.Time) view {
	self := x.Table.Self()
	x.forgetUnknownPartners()
	fresh := x.reachable(x.Table.Fresh(now.Add(-x.Silence)), now)
	v := view{computedAt: now, relay: IsRelay(fresh, self), fleetNodes: len(fresh)}
	for _, p := range fresh {
		if p.Region == self.Region {
			v.regionNodes++
		}
		if p.DataCentre == self.DataCentre {
			v.dataCentreNodes++
		}
	}
	v.partners = Partners(fresh, self)
	if x.Gatherer != nil {
		v.gatherer = x.Gatherer(x.Table.Fresh(now.Add(-x.Silence)), self.Region)
		v.partners = x.withGatherer(v, self)
	}
	v.periodic = v.partners
	if v.relay {
		v.periodic = periodicPartners(fresh, v.partners, self)
	}
	return v
}

// forgetUnknownPartners removes the state kept for partners that the table no longer
// has, once there are more than twice as many partners as known nodes.
func (x *Exchange) forgetUnknownPartners() {
	known := x.Table.Len()
	x.mu.Lock()
	defer x.mu.Unlock()
	if len(x.partnerStates) <= 2*known {
		return
	}
	for name := range x.partnerStates {
		if _, found := x.Table.Get(name); !found {
			delete(x.partnerStates, name)
		}
	}
}

// withGatherer returns the partners of the view. For a relay it adds the gatherer of
// the region, which needs the revisions in force at the nodes of the relay's data
// centre.
func (x *Exchange) withGatherer(v view, self Peer) []Peer {
	p, known := x.Table.Get(v.gatherer)
	if !known || !v.relay || p.Name == self.Name {
		return v.partners
	}
	for _, q := range v.partners {
		if q.Name == p.Name {
			return v.partners
		}
	}
	return append(v.partners, p)
}

// periodicPartners returns the partners of a relay without the other nodes of its
// data centre that are no relays, because those start exchanges themselves. If
// nothing is left, it returns all partners.
func periodicPartners(fresh, partners []Peer, self Peer) []Peer {
	relays := make(map[string]bool)
	for _, p := range Relays(fresh, self.DataCentre) {
		relays[p.Name] = true
	}
	var out []Peer
	for _, p := range partners {
		if p.DataCentre != self.DataCentre || relays[p.Name] {
			out = append(out, p)
		}
	}
	if len(out) == 0 {
		return partners
	}
	return out
}

// reachable returns the peers without those that could not be reached a short while
// ago. Where heartbeats are rare, a dead node looks fresh for a long time, and a
// data centre whose relays are dead would receive nothing.
func (x *Exchange) reachable(peers []Peer, now time.Time) []Peer {
	x.mu.Lock()
	defer x.mu.Unlock()
	out := peers[:0]
	for _, p := range peers {
		ps := x.partnerStates[p.Name]
		if ps == nil || ps.failedAt.IsZero() || now.Sub(ps.failedAt) > x.Silence {
			out = append(out, p)
		}
	}
	return out
}

// IsRelay reports whether this node currently exchanges state with other data
// centres on behalf of its own data centre.
func (x *Exchange) IsRelay() bool { return x.currentView().relay }

// Partners returns those of the fresh nodes that self sends changes to.
func Partners(fresh []Peer, self Peer) []Peer {
	relay := IsRelay(fresh, self)
	seen := map[string]bool{self.Name: true}
	var out []Peer
	add := func(peers ...Peer) {
		for _, p := range peers {
			if !seen[p.Name] && isActive(p) {
				seen[p.Name] = true
				out = append(out, p)
			}
		}
	}
	if !relay {
		add(Relays(fresh, self.DataCentre)...)
		return out
	}
	centres := make(map[string]string) // data centre to region
	for _, p := range fresh {
		if p.DataCentre == self.DataCentre {
			add(p)
			continue
		}
		if isActive(p) {
			centres[p.DataCentre] = p.Region
		}
	}
	for _, centre := range partnerDataCentres(centres, self) {
		add(Relays(fresh, centre)...)
	}
	return out
}

// partnerDataCentres returns the other data centres of the region and one data
// centre of each other region. Which one depends on the data centre of self, so
// that the exchanges are spread over the data centres of a region.
func partnerDataCentres(centres map[string]string, self Peer) []string {
	var out []string
	best := make(map[string]string)
	score := func(centre string) uint64 { return xxhash.Sum64String(self.DataCentre + "\x00" + centre) }
	for centre, region := range centres {
		if region == self.Region {
			out = append(out, centre)
			continue
		}
		if b, found := best[region]; !found || score(centre) > score(b) {
			best[region] = centre
		}
	}
	for _, centre := range best {
		out = append(out, centre)
	}
	slices.Sort(out)
	return out
}
