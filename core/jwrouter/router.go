package jwrouter

import (
	"net/netip"
	"sync"
	"time"

	"jujubewheel/core/jwcatalogue"
	"jujubewheel/core/jwrequest"
	"jujubewheel/core/jwtarget"
)

// Router makes the decisions of one node. Its fields are set before use, and it
// is safe for concurrent use.
type Router struct {
	Region     string // region of this node
	DataCentre string // data centre of this node
	Targets    *jwtarget.Table
	Regions    *Regions
	Policy     Policy

	scratch sync.Pool // of *[]jwtarget.Candidate
}

// Query holds what the router needs to know of one request.
type Query struct {
	Entry           *jwcatalogue.Entry
	Home            string           // home region of the workspace
	Bound           bool             // the data of the workspace must not leave Home
	Forwarded       bool             // the request came from another node, whatever Hops says
	RejectedLocally bool             // this region has rejected the request for lack of capacity
	Hops            jwrequest.Hops   // the nodes that the request passed before this one
	Prefix          uint64           // result of PrefixOf, 0 if the prompt shares nothing with others
	Prefill         time.Duration    // time that a cached prefix saves
	CallTime        time.Duration    // expected duration of the call on a typical target
	Deadline        time.Time        // zero for none
	Exclude         []netip.AddrPort // targets that must not get the request
	Now             time.Time
	Random          uint64 // uniformly distributed
}

// bound reports whether the request must stay in its home region.
func (q *Query) bound() bool { return q.Bound || q.Entry.Bound }

// late reports whether the request would miss its deadline after the given
// wait.
func (q *Query) late(wait time.Duration) bool {
	return !q.Deadline.IsZero() && q.Now.Add(wait+q.CallTime).After(q.Deadline)
}

// Policy holds the parameters of the decisions. Zero fields take the defaults,
// which docs/DECISIONS.md explains.
type Policy struct {
	Spread     float64       // how many times the mean load a target may have and still keep its prefixes
	Crossing   time.Duration // one-way delay of a call to another data centre of the region
	Margin     time.Duration // waiting time that must be saved before a request is sent to another region
	NoAffinity bool          // requests with the same prefix are not kept on one target
	NoPace     bool          // the speed of targets is ignored
	HomeOnly   bool          // no request is sent to another region
}

// Defaults for the fields of Policy that are zero.
const (
	DefaultSpread   = 2
	DefaultCrossing = 5 * time.Millisecond
	DefaultMargin   = 100 * time.Millisecond
)

func (p Policy) spread() float64 {
	if p.Spread <= 0 {
		return DefaultSpread
	}
	return p.Spread
}

func (p Policy) crossing() time.Duration { return orDefault(p.Crossing, DefaultCrossing) }
func (p Policy) margin() time.Duration   { return orDefault(p.Margin, DefaultMargin) }

func orDefault(d, fallback time.Duration) time.Duration {
	if d <= 0 {
		return fallback
	}
	return d
}
