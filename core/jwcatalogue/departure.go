package jwcatalogue

import (
	"sync"
	"time"

	"jujubewheel/core/jwhost"
)

// Hosts returns the platform's list of hosts and the time at which it was taken.
type Hosts interface {
	Hosts() (hosts []jwhost.Host, taken time.Time)
}

// DefaultHostLag is how far the list may be behind the actual hosts.
const DefaultHostLag = time.Minute

// HostRemovals reports which nodes have been removed from the platform's host list.
type HostRemovals struct {
	Hosts Hosts
	Lag   time.Duration // how far the list may be behind, 0 for DefaultHostLag

	mu            sync.Mutex
	listTime      time.Time
	listedNodes   map[string]bool // node names
	listedRegions map[string]bool // regions with a listed node
	absences      map[Member]absence
}

// absence records since when a node has been missing. The times are those at
// which the lists were taken.
type absence struct {
	missingSince, lastAsked time.Time
}

// Gone reports whether a node has been missing from the list for longer than
// its lag. The time counts from the first call for this process: a node that
// has just restarted under an old name may be missing from a list that is
// behind.
//
// The nodes of a region that is entirely missing from the list are not gone:
// a network partition between the list and the region looks the same, and the
// nodes behind it serve.
func (d *HostRemovals) Gone(m Member) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refresh()
	if d.listedNodes[m.Name] {
		return false
	}
	a, ok := d.absences[m]
	if !ok {
		a.missingSince = d.listTime
	}
	a.lastAsked = d.listTime
	d.absences[m] = a
	return d.listTime.Sub(a.missingSince) > d.lag()
}

// refresh reads the list if it is newer than the last one. Time is measured
// only between lists, so that no node counts as gone while the list can't be
// read.
func (d *HostRemovals) refresh() {
	hosts, listTime := d.Hosts.Hosts()
	if d.absences == nil {
		d.absences = make(map[Member]absence)
	}
	if !listTime.After(d.listTime) {
		return
	}
	d.listTime = listTime
	d.listedNodes = make(map[string]bool)
	d.listedRegions = make(map[string]bool)
	for _, h := range hosts {
		if h.Role == jwhost.Node {
			d.listedNodes[h.Name] = true
			d.listedRegions[h.Region] = true
		}
	}
	for m, a := range d.absences {
		// The time starts again when the list has no node of the region.
		if d.listedNodes[m.Name] || !d.listedRegions[m.Region] || listTime.Sub(a.lastAsked) > 2*d.lag() {
			delete(d.absences, m)
		}
	}
}

func (d *HostRemovals) lag() time.Duration { return orDefault(d.Lag, DefaultHostLag) }
