package jwpeer

import (
	"net/netip"
	"time"
)

// News is what nodes report to each other besides their own states. Times travel as
// ages, so that clocks need not agree.
type News struct {
	Leaving  []LeavingTarget
	Suspects []Suspect
	Loads    []RegionLoad
	Usages   []Usage
	Moves    []Move
}

func (n *News) empty() bool {
	return len(n.Leaving)+len(n.Suspects)+len(n.Loads)+len(n.Usages)+len(n.Moves) == 0
}

// LeavingTarget is a target that leaves.
type LeavingTarget struct {
	Target netip.AddrPort
	Age    time.Duration // since it was first known
}

// Suspect is one crash held against a request's fingerprint.
type Suspect struct {
	Fingerprint []byte
	Target      netip.AddrPort
	Age         time.Duration
	Region      string // set for bound data, sent only within this region
	State       string // of the fingerprint, as the table of suspects words it
}

// RegionLoad is what a region says of one of its services.
type RegionLoad struct {
	Region  string
	Service string
	Wait    time.Duration // expected wait of a new call for a slot
	Work    time.Duration // usual time of a call
	Free    float64       // share of slots free
	Slots   int
	Targets int
	Age     time.Duration
}

// Usage is what a node admitted of one limited name.
type Usage struct {
	Node    string
	Name    string
	Rate    float64 // requests that asked, a second
	Running int
}

// Move says which process answers for the tickets of one that stopped.
type Move struct {
	Incarnation   string
	ToNode        string
	ToRegion      string
	ToIncarnation string
}

// Reporter makes and merges news.
type Reporter interface {
	// Report returns what to send to a partner that has had what was sent before.
	Report(to Peer) News
	// Forget says that a partner may lack what it was digest.
	Forget(partner string)
	// Merge merges what a partner sent.
	Merge(from Peer, n News)
}
