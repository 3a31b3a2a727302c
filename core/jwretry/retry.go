package jwretry

// Request is the input of a decision.
type Request struct {
	Permanent    bool // the next attempt would fail for the same reason as the last one
	BodyStreamed bool // its body was streamed and can't be sent again
	NotRun       bool // after the last attempt, no target has run it or will run it
	Repeatable   bool // it may run more than once
	Attempts     int  // number of sends that a target may have run
	MaxAttempts  int  // maximum of Attempts
	Sends        int  // number of sends that reached a target
	BudgetTaken  bool // the next send has already been taken from the budget
}

// Reason is the reason for a decision.
type Reason string

// The possible reasons. With RetryTaken, FirstSend and BudgetTaken the request may be sent.
const (
	RetryTaken        Reason = "taken from the budget"
	FirstSend         Reason = "no target was reached yet"
	BudgetTaken       Reason = "taken from the budget before"
	SameOutcome       Reason = "would end as before"
	BodyConsumed      Reason = "its body is gone"
	MayHaveRun        Reason = "may have run, and must run once"
	AttemptsExhausted Reason = "has had its tries"
	NoBudget          Reason = "no repeat is left"
)

// Allowed reports whether the request may be sent.
func (r Reason) Allowed() bool { return r == RetryTaken || r == FirstSend || r == BudgetTaken }

// Decide decides whether to send a request again after an attempt. take takes one retry
// from the budget and reports whether one was left; it is called only if everything else
// allows the retry.
func Decide(r Request, take func() bool) Reason {
	switch {
	case r.Permanent:
		return SameOutcome
	case r.BodyStreamed:
		return BodyConsumed
	case !r.NotRun && !r.Repeatable:
		return MayHaveRun
	case !r.NotRun && r.Attempts >= r.MaxAttempts:
		return AttemptsExhausted
	case r.BudgetTaken:
		return BudgetTaken
	case r.Sends == 0:
		return FirstSend
	case take():
		return RetryTaken
	}
	return NoBudget
}
