package jwroom

import "time"

const (
	// LeaseTime is how long a part holds without reports of the others. It is then computed anew,
	// and nodes that report nothing are taken to use their equal parts.
	LeaseTime = 500 * time.Millisecond
	// MinInterval is the shortest time between two computations of a part: about that between two
	// reports, so that a node does not take free room twice before the others see it.
	MinInterval = 100 * time.Millisecond
)

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
	Own        Use       // by this node, exact
	Others     Use       // by the other nodes, as last reported
	ReportedAt time.Time // arrival of the oldest report that counts, zero if there is none
	Nodes      int       // nodes that send to the target, with this one
	Missing    int       // of these, those whose reports are too old to count
	Rounds     int       // how many parts a node may compute before the others see what it took with the first
	Idle       bool      // this node has no call of the service at any target
}

// Lease is a node's part of a target's room. The zero value is none yet.
type Lease struct {
	part      Use
	allowance Use  // what the part allowed beyond the calls in flight when it was computed
	hasMemory bool // whether the memory of the target is known
	at        time.Time
}

// Due reports whether the part is to be computed anew, given when the oldest report that counts
// arrived.
func (l *Lease) Due(now, reportedAt time.Time) bool {
	age := now.Sub(l.at)
	return l.at.IsZero() || age < 0 || age >= LeaseTime || age >= MinInterval && reportedAt.After(l.at)
}

// Renew computes the part anew if there are newer reports or it has run out. fraction is a random
// number in [0, 1) by which parts of a call are rounded.
func (l *Lease) Renew(now time.Time, r Room, v View, fraction float64) {
	if !l.Due(now, v.ReportedAt) {
		return
	}
	l.at, l.hasMemory = now, r.Memory > 0
	l.allowance.Calls = v.allowance(r.Slots+r.Queue, v.Own.Calls, v.Others.Calls, fraction)
	l.allowance.Memory = v.allowance(r.Memory, v.Own.Memory, v.Others.Memory, 0)
	if free := r.Slots + r.Queue - v.Own.Calls - v.Others.Calls; v.Idle && free > 0 {
		l.allowance.Calls = max(l.allowance.Calls, 1)
		l.allowance.Memory = max(l.allowance.Memory, 1)
	}
	l.part.Calls = v.Own.Calls + l.allowance.Calls
	l.part.Memory = v.Own.Memory + l.allowance.Memory
}

// Reported records that the node reports what it uses now. Until then it may use again what its
// ended calls have left; after that the others may use it.
func (l *Lease) Reported(own Use) {
	l.part.Calls = min(l.part.Calls, own.Calls+l.allowance.Calls)
	l.part.Memory = min(l.part.Memory, own.Memory+l.allowance.Memory)
}

// allowance returns how much of a room a node may take in addition: an equal part, over the nodes
// and over the parts that each may compute before the others see it.
func (v View) allowance(room, own, others int, fraction float64) int {
	nodes := max(v.Nodes, 1)
	missing := min(max(v.Missing, 0), nodes-1)
	free := float64(room) - float64(own) - float64(others) - float64(room*missing)/float64(nodes)
	if free <= 0 {
		return 0
	}
	present := nodes - missing
	rounds := max(v.Rounds, 1)
	if present == 1 {
		rounds = 1 // no other node takes of this part
	}
	return min(int(free/float64(present*rounds)+fraction), int(free))
}

// Allows reports whether the part allows one more call. The call may exceed the part of the memory
// if some of it is left, because one long prompt can be larger than the part.
func (l *Lease) Allows(own Use) bool {
	return own.Calls < l.part.Calls && (!l.hasMemory || own.Memory < l.part.Memory)
}

// Age returns the time since the part was computed.
func (l *Lease) Age(now time.Time) time.Duration { return now.Sub(l.at) }
