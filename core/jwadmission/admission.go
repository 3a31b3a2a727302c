package jwadmission

import "time"

const (
	// MaxQueueShare is the part of the goal that a request may wait behind others. A
	// queue longer than that makes every answer late; rejecting some keeps the
	// others in time. The time that a prompt takes to read by itself doesn't count: a
	// long one is late for its length, not for a queue, and retrying is in vain.
	MaxQueueShare = 1.2
	// MinRetryAfter is the soonest that a caller which was rejected is to retry.
	MinRetryAfter = 300 * time.Millisecond
	// MaxRetryAfter is the latest: callers honour a third of the time that they have left.
	MaxRetryAfter = 2 * time.Second
)

// Request is what the decision needs to know. All times are from now on.
type Request struct {
	Goal     time.Duration // for the first event, 0 if there is none
	Left     time.Duration // until the deadline
	Expected time.Duration // until the first event, where it would be served
	Own      time.Duration // of that, what reading its own prompt takes
	Engine   bool          // it has a prompt; plain calls are never rejected
	Begun    bool          // it was sent already, or another node has taken it
}

// Reason is why a request was rejected.
type Reason string

// The reasons.
const (
	None     Reason = ""
	Queue    Reason = "would wait too long behind others"
	Deadline Reason = "can't be answered before its deadline"
)

// Decision is the outcome; its zero value takes the request.
type Decision struct {
	Reason     Reason
	RetryAfter time.Duration // when to retry
}

// Taken reports whether the request is served.
func (d Decision) Taken() bool { return d.Reason == None }

// Policy decides. The zero value rejects by both reasons; a field that is set
// leaves one out, for tests and for measuring what it is worth.
type Policy struct {
	IgnoreQueue    bool
	IgnoreDeadline bool
}

// Decide takes a request that can be answered before its deadline, unless too much
// waits before it.
func (p Policy) Decide(r Request) Decision {
	if !r.Engine || r.Begun {
		return Decision{}
	}
	if !p.IgnoreDeadline && r.Expected > r.Left {
		return Decision{Deadline, retryAfter(r)}
	}
	if !p.IgnoreQueue && r.Goal > 0 && r.Expected-r.Own > time.Duration(MaxQueueShare*float64(r.Goal)) {
		return Decision{Queue, retryAfter(r)}
	}
	return Decision{}
}

// retryAfter is when the queue will be short enough for the goal: those who retry
// then find what those who stayed have left.
func retryAfter(r Request) time.Duration {
	return min(max(r.Expected-r.Own-r.Goal/2, MinRetryAfter), MaxRetryAfter)
}
