package jwresolver

import (
	"cmp"
	"slices"
	"time"

	"jujubewheel/core/jwmember"
	"jujubewheel/core/jwtarget"
)

const (
	// TTL is how long callers may use an answer. It bounds how long a node that
	// stops is still asked.
	TTL = time.Second
	// OveruseFactor is how many times the life of an answer some callers use it.
	OveruseFactor = 3
	// Linger is how long a node that stops by plan takes requests: as long as
	// callers may use an answer that was given before.
	Linger = OveruseFactor * TTL
	// minTTL is the shortest life of an answer that names nodes which stop; a
	// caller has to be told of others before they end.
	minTTL = 300 * time.Millisecond
	// standInTTL is the life of an answer that names nodes of other regions. The
	// caller's own region is back within a second or two where its nodes are
	// stopped and started in turn, and requests bound to regions that the stand-ins
	// aren't in go a long way meanwhile.
	standInTTL = 300 * time.Millisecond
	// maxNamed is how many nodes an answer names at most.
	maxNamed = 64
)

// Kind tells whom an answer names.
type Kind string

// The kinds of answers.
const (
	Own      Kind = "own"      // nodes of the caller's region
	Stopping Kind = "stopping" // nodes of the caller's region that stop by plan and still take requests
	StandIns Kind = "standIns" // nodes of other regions
	Nobody   Kind = "nobody"
)

// View is what the asked node believes; Members come by name.
type View struct {
	Caller  string                                   // who asks, so that it is always named the same nodes of many
	Own     []jwmember.Member                        // nodes of the caller's region that serve
	Leaving []jwmember.Leaver                        // those that stop by plan
	Linger  time.Duration                            // how long these take requests from their stop on
	All     []jwmember.Member                        // nodes of all regions that serve
	Ready   bool                                     // the asked node knows enough to name other regions
	Stand   func(regions []string) (chosen []string) // the regions that may stand in, of those that have nodes
}

// Answer is whom a caller is told to connect to.
type Answer struct {
	Kind  Kind
	Nodes []jwmember.Member
	TTL   time.Duration // how long the caller may use it, 0 if it names nobody
}

// Resolve names nodes of the caller's region while any serves, then those that
// stop and take requests for some time yet, and nodes of other regions only
// where there are none of these. A node that has just started knows no others
// and would name itself to everybody, so it names no other region's nodes before
// View.Ready.
func Resolve(v View) Answer {
	if len(v.Own) > 0 {
		return v.answer(Own, v.Own, TTL)
	}
	if nodes, ttl := leaving(v.Leaving, v.Linger); len(nodes) > 0 {
		return v.answer(Stopping, nodes, ttl)
	}
	if !v.Ready {
		return Answer{Kind: Nobody}
	}
	if nodes := standIns(v); len(nodes) > 0 {
		return v.answer(StandIns, nodes, standInTTL)
	}
	return Answer{Kind: Nobody}
}

// leaving returns the nodes that stop but still take requests when those who keep
// the answer longest come, and how long it lives: as the one of them allows that
// stops first.
func leaving(list []jwmember.Leaver, linger time.Duration) (nodes []jwmember.Member, ttl time.Duration) {
	ttl = TTL
	for _, l := range list {
		d := min((linger-l.Since)/OveruseFactor, TTL)
		if d < minTTL {
			continue
		}
		nodes = append(nodes, l.Member)
		ttl = min(ttl, d)
	}
	return nodes, ttl
}

// standIns returns the nodes of other regions in which most of the requests bound
// to some may be served.
func standIns(v View) []jwmember.Member {
	var regions []string
	for _, m := range v.All {
		if !slices.Contains(regions, m.Region) {
			regions = append(regions, m.Region)
		}
	}
	regions = v.Stand(regions)
	var nodes []jwmember.Member
	for _, m := range v.All {
		if slices.Contains(regions, m.Region) {
			nodes = append(nodes, m)
		}
	}
	return nodes
}

// answer names the nodes, or of very many those that rank highest for the caller by
// rendezvous hashing: named to all alike, the others would get no callers, and named at
// random, callers would give up their connections with each answer.
func (v View) answer(k Kind, nodes []jwmember.Member, ttl time.Duration) Answer {
	if len(nodes) > maxNamed {
		caller := jwtarget.NameKey(v.Caller)
		nodes = slices.Clone(nodes)
		slices.SortFunc(nodes, func(a, b jwmember.Member) int {
			return cmp.Compare(jwtarget.Mix(caller, jwtarget.NameKey(b.Name)), jwtarget.Mix(caller, jwtarget.NameKey(a.Name)))
		})
		nodes = nodes[:maxNamed]
	}
	return Answer{Kind: k, Nodes: nodes, TTL: ttl}
}
