package jwcatalogue

import (
	"sync"
	"time"

	"jujubewheel/core/jwhost"
)

// Hosts gives the platform's list of hosts and when it was read.
type Hosts interface {
	Hosts() (hosts []jwhost.Host, taken time.Time)
}

// DefaultHostLag is how long the list may be behind the truth.
const DefaultHostLag = time.Minute

// Departures is the table of nodes that the platform's list has dropped.
type Departures struct {
	Hosts Hosts
	Lag   time.Duration // 0 for DefaultHostLag

	mu            sync.Mutex
	listTime      time.Time
	listedNodes   map[string]bool // node names
	listedRegions map[string]bool // regions with a listed node
	absences      map[Member]absence
}

// absence tells of the lists without a node, by the times of the lists.
type absence struct {
	missingSince, lastAsked time.Time
}

// Gone reports whether the list has dropped a node for longer than its lag. The
// clock begins when the process is first asked about: a node that has just
// started under an old name may be missing from a list that is behind.
//
// The nodes of a region that has vanished from the list as a whole are not
// gone: a cut between the list and the region looks the same, and behind it
// they serve.
func (d *Departures) Gone(m Member) bool {
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

// read takes in a list that is newer than the last one. Only its own times
// count, so that a list that is no longer read drops nobody.
func (d *Departures) refresh() {
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
		if h.Role == jwhost.Entry {
			d.listedNodes[h.Name] = true
			d.listedRegions[h.Region] = true
		}
	}
	for m, a := range d.absences {
		// With every list that lacks a whole region its clocks begin anew.
		if d.listedNodes[m.Name] || !d.listedRegions[m.Region] || listTime.Sub(a.lastAsked) > 2*d.lag() {
			delete(d.absences, m)
		}
	}
}

func (d *Departures) lag() time.Duration { return orDefault(d.Lag, DefaultHostLag) }
