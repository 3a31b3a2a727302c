package jwpeer

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// view is what the known nodes mean for this one.
type view struct {
	computedAt      time.Time
	relay           bool
	partners        []Peer // that get changes at once
	periodic        []Peer // that get them each period in turn
	gatherer        string
	dataCentreNodes int // nodes of the data centre
	regionNodes     int // nodes of the region
	fleetNodes      int
}

// A view is kept for a part of the period, and longer where many nodes make it
// dear: to sort a thousand nodes four times a second would cost a node as much
// as all its other control work may.
const (
	viewPeriodDivisor = 2
	viewAgePerNode    = 2 * time.Millisecond
)

// currentView returns what the known nodes mean for this one now.
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

// forgetUnknownPartners drops partners that are known no more, once they are many.
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

// withGatherer makes a relay report to the gatherer of its region what its own nodes
// have in force.
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

// periodicPartners leaves out the plain nodes of a relay's data centre, which ask by
// themselves, as long as there is another partner.
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

// reachable leaves out nodes that could not be reached a short while ago. Their
// words may look fresh for long after they died where words are rare, and a
// data centre whose relays are dead would learn nothing.
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

// IsRelay reports whether this node carries news for its data centre now.
func (x *Exchange) IsRelay() bool { return x.currentView().relay }

// Partners returns the nodes that self reports changes to, out of the fresh
// ones.
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

// partnerDataCentres are the other data centres of the region, and one of each other
// region. Which one depends on the own data centre, so that the relays of no
// data centre are asked by all others.
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
