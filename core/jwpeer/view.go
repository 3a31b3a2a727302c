package jwpeer

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// view is what the known nodes mean for this one.
type view struct {
	taken    time.Time
	relay    bool
	partners []Peer // that get changes at once
	periodic []Peer // that get them each period in turn
	gatherer string
	centre   int // nodes of the data centre
	region   int // nodes of the region
	fleet    int
}

// A view is kept for a part of the period, and longer where many nodes make it
// dear: to sort a thousand nodes four times a second would cost a node as much
// as all its other control work may.
const (
	viewPart  = 2
	viewOfOne = 2 * time.Millisecond
)

// current returns what the known nodes mean for this one now.
func (x *Exchange) current() view {
	now := x.Now()
	x.mu.Lock()
	v := x.view
	x.mu.Unlock()
	if !v.taken.IsZero() && now.Sub(v.taken) < max(x.Period/viewPart, viewOfOne*time.Duration(v.fleet)) {
		return v
	}
	v = x.look(now)
	x.mu.Lock()
	x.view = v
	x.mu.Unlock()
	return v
}

func (x *Exchange) look(now time.Time) view {
	self := x.Table.Self()
	x.forget()
	fresh := x.reachable(x.Table.Fresh(now.Add(-x.Silence)), now)
	v := view{taken: now, relay: IsRelay(fresh, self), fleet: len(fresh)}
	for _, p := range fresh {
		if p.Region == self.Region {
			v.region++
		}
		if p.DataCentre == self.DataCentre {
			v.centre++
		}
	}
	v.partners = Partners(fresh, self)
	if x.Gatherer != nil {
		v.gatherer = x.Gatherer(x.Table.Fresh(now.Add(-x.Silence)), self.Region)
		v.partners = x.withGatherer(v, self)
	}
	v.periodic = v.partners
	if v.relay {
		v.periodic = periodic(fresh, v.partners, self)
	}
	return v
}

// forget drops partners that are known no more, once they are many.
func (x *Exchange) forget() {
	known := x.Table.Len()
	x.mu.Lock()
	defer x.mu.Unlock()
	if len(x.with) <= 2*known {
		return
	}
	for name := range x.with {
		if _, found := x.Table.Get(name); !found {
			delete(x.with, name)
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

// periodic leaves out the plain nodes of a relay's data centre, which ask by
// themselves, as long as there is another partner.
func periodic(fresh, partners []Peer, self Peer) []Peer {
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
		w := x.with[p.Name]
		if w == nil || w.failed.IsZero() || now.Sub(w.failed) > x.Silence {
			out = append(out, p)
		}
	}
	return out
}

// IsRelay reports whether this node carries news for its data centre now.
func (x *Exchange) IsRelay() bool { return x.current().relay }

// Partners returns the nodes that self reports changes to, out of the fresh
// ones.
func Partners(fresh []Peer, self Peer) []Peer {
	relay := IsRelay(fresh, self)
	seen := map[string]bool{self.Name: true}
	var out []Peer
	add := func(peers ...Peer) {
		for _, p := range peers {
			if !seen[p.Name] && takesPart(p) {
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
		if takesPart(p) {
			centres[p.DataCentre] = p.Region
		}
	}
	for _, centre := range chosenCentres(centres, self) {
		add(Relays(fresh, centre)...)
	}
	return out
}

// chosenCentres are the other data centres of the region, and one of each other
// region. Which one depends on the own data centre, so that the relays of no
// data centre are asked by all others.
func chosenCentres(centres map[string]string, self Peer) []string {
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
