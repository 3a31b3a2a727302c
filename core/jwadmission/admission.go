package jwadmission

import "time"

const (
	// MaxQueueShare is the maximum time that a request may wait behind others, as a multiple
	// of its goal. A longer queue makes every answer late; rejecting some requests keeps
	// the others in time. The time to read the request's own prompt doesn't count: a long
	// prompt is late because of its length, not because of a queue, and retrying doesn't help.
	MaxQueueShare = 1.2
	// MinRetryAfter is the minimum Retry-After of a rejected request.
	MinRetryAfter = 300 * time.Millisecond
	// MaxRetryAfter is the maximum Retry-After of a rejected request: callers honour a
	// Retry-After of at most a third of the time that they have left.
	MaxRetryAfter = 2 * time.Second
)

// Request is the input of a decision. All times count from now.
type Request struct {
	Goal            time.Duration // for the first event; 0 if the request has no goal
	TimeLeft        time.Duration // until the deadline
	Expected        time.Duration // until the first event, at the place where it would be served
	OwnReadTime     time.Duration // part of Expected that reading its own prompt takes
	HasPrompt       bool          // it has a prompt; calls without one are never rejected
	AlreadyAccepted bool          // it was already sent, or another node has accepted it
	Overload        *Overload     // nil without overload control
}

// Overload is the input of a decision under overload control.
type Overload struct {
	Queue    time.Duration // part of Expected that the work before the request takes
	Rest     time.Duration // expected time from the first event to the end of the answer
	Patience time.Duration // until the caller leaves without a first event; 0 if not known
	Pressure float64       // see Pressure.Of
}

// Reason is why a request was rejected.
type Reason string

// The possible reasons.
const (
	None     Reason = ""
	Queue    Reason = "would wait too long behind others"
	Deadline Reason = "can't be answered before its deadline"
)

// Decision is the outcome; its zero value accepts the request.
type Decision struct {
	Reason     Reason
	RetryAfter time.Duration // set if the request is rejected
}

// Accepted reports whether the request is accepted.
func (d Decision) Accepted() bool { return d.Reason == None }

// Policy decides on requests. The zero value rejects for both reasons. Each field
// disables one of them, for tests and to measure its effect.
type Policy struct {
	IgnoreQueue    bool
	IgnoreDeadline bool
}

// Decide accepts a request that can be answered before its deadline and need not wait too
// long behind others. It always accepts a request without a prompt, or one that has
// begun.
func (p Policy) Decide(r Request) Decision {
	if !r.HasPrompt || r.AlreadyAccepted {
		return Decision{}
	}
	if r.Overload != nil {
		return p.decideUnderOverload(r, *r.Overload)
	}
	if !p.IgnoreDeadline && r.Expected > r.TimeLeft {
		return Decision{Deadline, retryAfter(r)}
	}
	if !p.IgnoreQueue && r.Goal > 0 && r.Expected-r.OwnReadTime > time.Duration(MaxQueueShare*float64(r.Goal)) {
		return Decision{Queue, retryAfter(r)}
	}
	return Decision{}
}

// decideUnderOverload accepts a request that can end before its deadline, whose caller stays until
// its first event, and that need not wait too long behind others. The longer more urgent requests
// wait, the shorter it may queue, and not at all if these wait for as long as their goal: less
// urgent ones yield first, whichever has the shorter goal.
func (p Policy) decideUnderOverload(r Request, o Overload) Decision {
	late := r.Expected+o.Rest > r.TimeLeft || o.Patience > 0 && r.Expected > o.Patience
	if !p.IgnoreDeadline && late {
		return Decision{Deadline, retryAfter(r)}
	}
	if p.IgnoreQueue || r.Goal == 0 {
		return Decision{}
	}
	maxQueue := time.Duration(MaxQueueShare * max(1-o.Pressure, 0) * float64(r.Goal))
	if r.Expected-r.OwnReadTime > time.Duration(MaxQueueShare*float64(r.Goal)) || o.Queue > maxQueue {
		return Decision{Queue, retryAfter(r)}
	}
	return Decision{}
}

// retryAfter returns when the queue is expected to be down to half of the goal, between
// MinRetryAfter and MaxRetryAfter: callers who retry then find the capacity that the
// requests waiting now no longer need.
func retryAfter(r Request) time.Duration {
	return min(max(r.Expected-r.OwnReadTime-r.Goal/2, MinRetryAfter), MaxRetryAfter)
}
