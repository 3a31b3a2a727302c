package jwrepeat

// Request is what the decision needs to know of a request.
type Request struct {
	Final      bool // what ended the last try would end the next one too
	Streamed   bool // its body can't be sent again
	NotRun     bool // no target has run it or will, by the last try
	Repeatable bool // it may run more than once
	Attempts   int  // sends that a target may have run
	Most       int  // of these, at most
	Sends      int  // sends that reached a target
	Paid       bool // the next send was taken from the budget already
}

// Reason tells what a decision rests on.
type Reason string

// The reasons. Again, FirstSend and Paid say that the request may be sent.
const (
	Again             Reason = "taken from the budget"
	FirstSend         Reason = "no target was reached yet"
	Paid              Reason = "taken from the budget before"
	SameOutcome       Reason = "would end as before"
	BodyConsumed      Reason = "its body is gone"
	MayHaveRun        Reason = "may have run, and must run once"
	AttemptsExhausted Reason = "has had its tries"
	NoBudget          Reason = "no repeat is left"
)

// May reports whether the request may be sent.
func (r Reason) May() bool { return r == Again || r == FirstSend || r == Paid }

// Decide judges a request after a try; take draws one repeat from the budget and is
// called only where everything else allows the repeat.
func Decide(r Request, take func() bool) Reason {
	switch {
	case r.Final:
		return SameOutcome
	case r.Streamed:
		return BodyConsumed
	case !r.NotRun && !r.Repeatable:
		return MayHaveRun
	case !r.NotRun && r.Attempts >= r.Most:
		return AttemptsExhausted
	case r.Paid:
		return Paid
	case r.Sends == 0:
		return FirstSend
	case take():
		return Again
	}
	return NoBudget
}
