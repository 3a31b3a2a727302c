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

	mu     sync.Mutex
	taken  time.Time
	listed map[string]bool // node names
	region map[string]bool // regions with a listed node
	absent map[Member]absence
}

// absence tells of the lists without a node, by the times of the lists.
type absence struct {
	since, asked time.Time
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
	d.read()
	if d.listed[m.Name] {
		return false
	}
	a, ok := d.absent[m]
	if !ok {
		a.since = d.taken
	}
	a.asked = d.taken
	d.absent[m] = a
	return d.taken.Sub(a.since) > d.lag()
}

// read takes in a list that is newer than the last one. Only its own times
// count, so that a list that is no longer read drops nobody.
func (d *Departures) read() {
	hosts, taken := d.Hosts.Hosts()
	if d.absent == nil {
		d.absent = make(map[Member]absence)
	}
	if !taken.After(d.taken) {
		return
	}
	d.taken = taken
	d.listed = make(map[string]bool)
	d.region = make(map[string]bool)
	for _, h := range hosts {
		if h.Role == jwhost.Entry {
			d.listed[h.Name] = true
			d.region[h.Region] = true
		}
	}
	for m, a := range d.absent {
		// With every list that lacks a whole region its clocks begin anew.
		if d.listed[m.Name] || !d.region[m.Region] || taken.Sub(a.asked) > 2*d.lag() {
			delete(d.absent, m)
		}
	}
}

func (d *Departures) lag() time.Duration { return or(d.Lag, DefaultHostLag) }
