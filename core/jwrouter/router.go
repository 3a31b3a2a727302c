package jwrouter

import (
	"net/netip"
	"sync"
	"time"

	"jujubewheel/core/jwcatalogue"
	"jujubewheel/core/jwrequest"
	"jujubewheel/core/jwtarget"
)

// Router decides for one node. Its fields are set before use; it may be used
// by many goroutines at the same time.
type Router struct {
	Region     string // region of this node
	DataCentre string // data centre of this node
	Targets    *jwtarget.Table
	Regions    *Regions
	Policy     Policy

	scratch sync.Pool // of *[]jwtarget.Candidate
}

// Query is one request as far as its place matters.
type Query struct {
	Entry     *jwcatalogue.Entry
	Home      string           // home region of the workspace
	Bound     bool             // the workspace's data never leaves Home
	Forwarded bool             // came from another node, whatever its hops say
	Full      bool             // this region has refused it for want of room
	Hops      jwrequest.Hops   // the nodes it passed before this one
	Prefix    uint64           // from PrefixOf, 0 when prompts share nothing
	Prefill   time.Duration    // time that a cached prefix saves
	Work      time.Duration    // expected time on a usual target
	Deadline  time.Time        // zero for none
	Exclude   []netip.AddrPort // targets that must not get it
	Now       time.Time
	Random    uint64 // evenly spread
}

// bound reports whether the request must stay in its home region.
func (q *Query) bound() bool { return q.Bound || q.Entry.Bound }

// late reports whether the request cannot end in time after a wait.
func (q *Query) late(wait time.Duration) bool {
	return !q.Deadline.IsZero() && q.Now.Add(wait+q.Work).After(q.Deadline)
}

// Policy holds the constants of the decisions; the zero value takes the
// defaults, which docs/DECISIONS.md explains.
type Policy struct {
	Spread     float64       // how far above the mean load a target keeps its prefixes
	Crossing   time.Duration // delay of a call to another data centre of the region
	Margin     time.Duration // waiting that must be saved before a request goes away
	NoAffinity bool          // prefixes are not kept together
	NoPace     bool          // slow targets are not avoided
	HomeOnly   bool          // nothing is sent away
}

// The values that a Policy takes where its fields are zero.
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
