package jwplacement

import (
	"time"

	"jujubewheel/core/jwmember"
)

// RemotePenalty is how much cheaper another region must be than this one before a
// request is sent there: traffic between regions is expensive and estimates are rough.
const RemotePenalty = 100 * time.Millisecond

// Option is a reachable region that may serve a request.
type Option struct {
	Region      string
	Known       bool          // it has recently reported how long requests wait
	Expected    time.Duration // until the first event, including the round trip
	Queue       time.Duration // part of Expected that the work before the request takes
	OwnReadTime time.Duration // part of Expected that reading the request's own prompt takes
	Rest        time.Duration // from the first event to the end of the answer
	LaterCost   time.Duration // cost beside that of the first event, such as slow later events
	MissTokens  int           // prompt tokens that are not cached there
}

// Cost returns the cost by which options are compared.
func (o Option) Cost() time.Duration { return o.Expected + o.LaterCost }

// Reason is why a region was chosen.
type Reason string

// The possible reasons.
const (
	NoTarget      Reason = "no region has a target"
	Local         Reason = "here"
	RemoteCheaper Reason = "clearly cheaper"
	RemoteOnly    Reason = "none here"
	ByShare       Reason = "share of the region's load"
)

// Choice is the region that a request is sent to, and why. Its Reason is NoTarget if there
// is none.
type Choice struct {
	Option
	Reason Reason
}

// Policy chooses regions. The zero value sends a request to another region if that is
// cheaper by more than RemotePenalty.
type Policy struct {
	// PreferLocal sends a request to another region only if this one can't serve it, for
	// tests and to measure the effect of the zero value.
	PreferLocal bool
}

// Choose returns the node's own region, local, unless another one is clearly cheaper. It
// uses a region that has recently reported nothing only if no other is left. local is nil
// if no target in the node's region can take the request. Of regions in others with the
// same cost, Choose returns the first.
func (p Policy) Choose(local *Option, others []Option) Choice {
	best := Choice{Reason: NoTarget}
	if local != nil {
		best = Choice{*local, Local}
	}
	for _, o := range others {
		switch {
		case best.Reason == NoTarget:
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

// PickNode selects one of the nodes of a region by a point in [0, 1). It prefers nodes to
// which a connection is open, because opening one takes as long as the answer of a fast
// target and would make two of three such requests late.
func PickNode(nodes []jwmember.Member, isConnected func(jwmember.Member) bool, point float64) jwmember.Member {
	var connected []jwmember.Member
	for _, m := range nodes {
		if isConnected(m) {
			connected = append(connected, m)
		}
	}
	if len(connected) > 0 {
		nodes = connected
	}
	return nodes[int(point*float64(len(nodes)))]
}
