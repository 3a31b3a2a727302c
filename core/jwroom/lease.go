package jwroom

import "time"

const (
	// LeaseTime is how long a part holds at least without reports of the others. It is then computed
	// anew, and nodes that report nothing are taken to use their equal parts.
	LeaseTime = 500 * time.Millisecond
	// leaseIntervals is how many intervals between two reports a part holds at least, so that one
	// lost report doesn't end it.
	leaseIntervals = 2.5
	// openShare is the share of a target's room up to which it is not divided: any node may take it,
	// as it is unlikely that many choose the same little used target before they see each other.
	openShare = 0.7
	// MinInterval is the shortest time between two computations of a part: about that between two
	// reports, so that a node does not take free room twice before the others see it.
	MinInterval = 100 * time.Millisecond
)

// LeaseTimeFor returns how long a part holds without reports, given the time between two reports.
func LeaseTimeFor(reportInterval time.Duration) time.Duration {
	return max(LeaseTime, time.Duration(leaseIntervals*float64(reportInterval)))
}

// Use is what calls occupy at a target.
type Use struct {
	Calls  int
	Memory int // in tokens
}

// Room is what a target can take.
type Room struct {
	Slots  int // calls that run at once
	Queue  int // calls that may wait at the target, so that a slot is not idle for a round trip
	Memory int // in tokens, 0 if unknown
}

// View is what a node knows of a target's use.
type View struct {
	Own        Use           // by this node, exact
	Others     Use           // by the other nodes, as last reported
	Silent     Use           // of Others, by the missing nodes
	ReportedAt time.Time     // arrival of the oldest report that counts, zero if there is none
	Nodes      int           // nodes that send to the target, with this one
	Missing    int           // of these, those whose reports are too old to count
	Rounds     int           // how many parts a node may compute before the others see what it took with the first
	LeaseTime  time.Duration // how long the part holds without reports, LeaseTime if 0
}

// Lease is a node's part of a target's room. The zero value is none yet.
type Lease struct {
	part      Use
	allowance Use  // what the part allowed beyond the calls in flight when it was computed
	open      Use  // use by all nodes up to which the room is not divided
	others    Use  // by the other nodes when it was computed
	hasMemory bool // whether the memory of the target is known
	at        time.Time
	holds     time.Duration
}

// Due reports whether the part is to be computed anew, given when the oldest report that counts
// arrived.
func (l *Lease) Due(now, reportedAt time.Time) bool {
	age := now.Sub(l.at)
	return l.at.IsZero() || age < 0 || age >= l.holds || age >= MinInterval && reportedAt.After(l.at)
}

// Renew computes the part anew if there are newer reports or it has run out. fraction is a random
// number in [0, 1) by which parts of a call are rounded.
func (l *Lease) Renew(now time.Time, r Room, v View, fraction float64) {
	if !l.Due(now, v.ReportedAt) {
		return
	}
	l.at, l.hasMemory, l.holds = now, r.Memory > 0, max(v.LeaseTime, LeaseTime)
	calls := r.Slots + r.Queue
	reserved := Use{v.reserved(calls, v.Silent.Calls), v.reserved(r.Memory, v.Silent.Memory)}
	l.open = Use{int(openShare*float64(calls)) - reserved.Calls, int(openShare*float64(r.Memory)) - reserved.Memory}
	l.others = v.Others
	l.allowance.Calls = v.allowance(calls-reserved.Calls-v.Own.Calls-v.Others.Calls, fraction)
	l.allowance.Memory = v.allowance(r.Memory-reserved.Memory-v.Own.Memory-v.Others.Memory, 0)
	l.part.Calls = v.Own.Calls + l.allowance.Calls
	l.part.Memory = v.Own.Memory + l.allowance.Memory
}

// Reported records that the node reports what it uses now. Until then it may use again what its
// ended calls have left; after that the others may use it.
func (l *Lease) Reported(own Use) {
	l.part.Calls = min(l.part.Calls, own.Calls+l.allowance.Calls)
	l.part.Memory = min(l.part.Memory, own.Memory+l.allowance.Memory)
}

// missing returns how many nodes are missing, of the others.
func (v View) missing() int { return min(max(v.Missing, 0), max(v.Nodes, 1)-1) }

// reserved returns how much of a room is kept for the missing nodes, beyond what they last reported
// as far as that still counts: their equal parts.
func (v View) reserved(room, silent int) int {
	nodes := max(v.Nodes, 1)
	return max((room*v.missing()+nodes-1)/nodes-silent, 0)
}

// allowance returns how much of what is free a node may take: an equal part, over the nodes and over
// the parts that each may compute before the others see it.
func (v View) allowance(free int, fraction float64) int {
	if free <= 0 {
		return 0
	}
	present := max(v.Nodes, 1) - v.missing()
	rounds := max(v.Rounds, 1)
	if present == 1 {
		rounds = 1 // no other node takes of this part
	}
	return min(int(float64(free)/float64(present*rounds)+fraction), free)
}

// Allows reports whether one more call may start, given what this node and the others use: while the
// target is little used, or if the part allows it. The call may exceed the part of the memory if
// some of it is left, because one long prompt can be larger than the part.
func (l *Lease) Allows(own, others Use) bool {
	// Reports that have just expired don't free their room before the part is computed anew.
	others = Use{max(others.Calls, l.others.Calls), max(others.Memory, l.others.Memory)}
	return (own.Calls < l.part.Calls || own.Calls+others.Calls < l.open.Calls) &&
		(!l.hasMemory || own.Memory < l.part.Memory || own.Memory+others.Memory < l.open.Memory)
}

// Age returns the time since the part was computed.
func (l *Lease) Age(now time.Time) time.Duration { return now.Sub(l.at) }
