package jwplacement

import (
	"time"

	"jujubewheel/core/jwmember"
)

// RemotePenalty is by how much cheaper another region must be than this one before a
// request is sent there: its bytes are dear and estimates are rough.
const RemotePenalty = 100 * time.Millisecond

// Option is a region that may serve a request and can be reached.
type Option struct {
	Region   string
	Known    bool          // it has reported lately how long requests wait
	Expected time.Duration // until the first event, with the round trip
	Own      time.Duration // of that, what reading the request's own prompt takes
	Later    time.Duration // what counts beside the first event
	Miss     int           // prompt tokens that have to be read there
}

// Cost is what options are compared by.
func (o Option) Cost() time.Duration { return o.Expected + o.Later }

// Reason tells why a region was chosen.
type Reason string

// The reasons.
const (
	Nowhere       Reason = "no region has a target"
	Local         Reason = "here"
	RemoteCheaper Reason = "clearly cheaper"
	RemoteOnly    Reason = "none here"
)

// Choice is where a request goes; its zero value is nowhere.
type Choice struct {
	Option
	Reason Reason
}

// Policy chooses. The zero value sends away what is cheaper by RemotePenalty.
type Policy struct {
	PreferLocal bool // only what can't be served here is sent away, for tests and for measuring
}

// Choose returns the region of the node itself unless another is clearly cheaper. A
// region that has reported nothing lately is used only where nothing else is left. here
// is nil if no target here can take the request; others come in a fixed order, of
// which the first of equals is taken.
func (p Policy) Choose(local *Option, others []Option) Choice {
	best := Choice{Reason: Nowhere}
	if local != nil {
		best = Choice{*local, Local}
	}
	for _, o := range others {
		switch {
		case best.Reason == Nowhere:
			best = Choice{o, RemoteOnly}
		case !o.Known || local != nil && p.PreferLocal:
		case local != nil && local.Cost() <= o.Cost()+RemotePenalty:
		case best.Reason == Local:
			best = Choice{o, RemoteCheaper}
		case !best.Known || o.Cost() < best.Cost():
			best.Option = o
		}
	}
	return best
}

// Node returns one of the nodes of a region by a point in [0, 1), of those to which
// a connection is open if there are any: to open one takes as long as the answer of
// a quick target, which made two of three such requests late.
func Node(nodes []jwmember.Member, open func(jwmember.Member) bool, point float64) jwmember.Member {
	var kept []jwmember.Member
	for _, m := range nodes {
		if open(m) {
			kept = append(kept, m)
		}
	}
	if len(kept) > 0 {
		nodes = kept
	}
	return nodes[int(point*float64(len(nodes)))]
}
