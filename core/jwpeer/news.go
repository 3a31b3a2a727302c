package jwpeer

import (
	"net/netip"
	"time"
)

// News is what nodes report to each other besides their own states. Points in time
// are sent as ages, so that the clocks of the nodes need not agree.
type News struct {
	Leaving     []LeavingTarget
	Suspects    []Suspect
	Loads       []RegionLoad
	Usages      []Usage
	HolderMoves []HolderMove
}

func (n *News) empty() bool {
	return len(n.Leaving)+len(n.Suspects)+len(n.Loads)+len(n.Usages)+len(n.HolderMoves) == 0
}

// LeavingTarget is a target that is leaving.
type LeavingTarget struct {
	Target netip.AddrPort
	Age    time.Duration // time since a node first knew of it
}

// Suspect records that a target crashed with a request of this fingerprint.
type Suspect struct {
	Fingerprint []byte
	Target      netip.AddrPort
	Age         time.Duration
	Region      string // set for data bound to this region, and then sent only within it
	State       string // state of the fingerprint, a value of jwsuspect.State
}

// RegionLoad is the load that a region reports for one of its services.
type RegionLoad struct {
	Region   string
	Service  string
	Wait     time.Duration // expected wait of a new call for a slot
	CallTime time.Duration // average duration of a call, without its wait for a slot
	Free     float64       // fraction of the slots that are free, 0 to 1
	Slots    int
	Targets  int
	Age      time.Duration
}

// Usage is how much of one limit a node uses.
type Usage struct {
	Node    string
	Name    string
	Rate    float64 // requests per second, admitted or not
	Running int
}

// HolderMove names the process that took over the tickets of a stopped process.
type HolderMove struct {
	Incarnation   string
	ToNode        string
	ToRegion      string
	ToIncarnation string
}

// Reporter provides the news to send and merges the news received.
type Reporter interface {
	// Report returns the news to send to a partner, without what it was sent before.
	Report(to Peer) News
	// Forget is called when a partner may not have received what it was sent.
	Forget(partner string)
	// Merge merges the news that a partner sent.
	Merge(from Peer, n News)
}
