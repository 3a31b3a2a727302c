package jwretry

import (
	"strconv"
	"strings"
	"sync"
	"time"
)

// Sends says how often a request was sent, by all nodes that had it. It travels with a request that
// one node forwards to another, and back with the answer.
type Sends struct {
	Reached int  // sends that reached a target, also those that it refused
	Counted bool // a node has counted the request in its retry budget
	// MayHaveRun is the number of targets that may have run the request since it was forwarded. Only an
	// answer has it.
	MayHaveRun int
}

// String returns the text that ParseSends parses.
func (s Sends) String() string {
	return strconv.Itoa(s.Reached) + "," + strconv.FormatBool(s.Counted) + "," + strconv.Itoa(s.MayHaveRun)
}

// ParseSends parses the result of Sends.String. ok is false if the text is malformed.
func ParseSends(text string) (s Sends, ok bool) {
	f := strings.Split(text, ",")
	const fields = 3
	if len(f) != fields || f[1] != "true" && f[1] != "false" {
		return Sends{}, false
	}
	reached, err := strconv.Atoi(f[0])
	if err != nil || reached < 0 {
		return Sends{}, false
	}
	mayHaveRun, err := strconv.Atoi(f[2])
	if err != nil || mayHaveRun < 0 {
		return Sends{}, false
	}
	return Sends{Reached: reached, Counted: f[1] == "true", MayHaveRun: mayHaveRun}, true
}

// Budget is the retry budget of a node.
type Budget interface {
	Request(now time.Time, service string)
	Take(now time.Time, service string) bool
	Return(service string, takenAt time.Time)
}

// Tracker accounts for the sends of one request at one node, so that each send that reaches a target
// after the first one, at whatever node, was taken from a budget exactly once. Set the exported
// fields before use. It is safe for concurrent use.
type Tracker struct {
	Budget  Budget
	Service string

	mu       sync.Mutex
	sends    Sends
	received int         // sends.Reached when this node received the request
	prepaid  bool        // the forwarding node has taken the next send from its budget
	taken    []time.Time // when retries were taken from the own budget that no send has used yet
}

// Receive records the sends before another node forwarded the request to this one. That node takes a
// retry from its own budget to forward a request that has reached a target.
func (t *Tracker) Receive(s Sends) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sends, t.received, t.prepaid = s, s.Reached, s.Reached > 0
}

// Sends returns the sends so far.
func (t *Tracker) Sends() Sends {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sends
}

// ReachedHere returns the number of sends since this node received the request that reached a target.
func (t *Tracker) ReachedHere() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sends.Reached - t.received
}

// Begin records that the request is about to be sent to a target. It reports whether the request was
// counted in the budget by this call.
func (t *Tracker) Begin(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sends.Counted {
		return false
	}
	t.sends.Counted = true
	t.Budget.Request(now, t.Service)
	return true
}

// Reached records that a send reached a target. It reports whether it was a retry.
func (t *Tracker) Reached() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	retry := t.sends.Reached > 0
	t.use()
	t.sends.Reached++
	return retry
}

// Merge records the sends that a node to which the request was forwarded has reported.
func (t *Tracker) Merge(s Sends) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sends.Counted = t.sends.Counted || s.Counted
	if s.Reached > t.sends.Reached {
		t.use()
		t.sends.Reached = s.Reached
	}
}

// Lost records that the request was forwarded and that the other node did not report its sends. One
// that reached a target is assumed; that node takes any further ones from its own budget.
func (t *Tracker) Lost() {
	t.Merge(Sends{Reached: t.Sends().Reached + 1, Counted: true})
}

// use uses up one retry taken before, if the next send that reaches a target is a retry.
func (t *Tracker) use() {
	switch {
	case t.sends.Reached == 0:
	case t.prepaid:
		t.prepaid = false
	case len(t.taken) > 0:
		t.taken = t.taken[1:]
	}
}

// TakeEarly takes a retry from the budget while a send is in progress, and reports whether one was
// left.
func (t *Tracker) TakeEarly(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.take(now)
}

func (t *Tracker) take(now time.Time) bool {
	if !t.Budget.Take(now, t.Service) {
		return false
	}
	t.taken = append(t.taken, now)
	return true
}

// Decide decides whether to send the request again. It sets Sends and BudgetTaken of r.
func (t *Tracker) Decide(now time.Time, r Request) Reason {
	t.mu.Lock()
	defer t.mu.Unlock()
	r.Sends, r.BudgetTaken = t.sends.Reached, t.prepaid || len(t.taken) > 0
	return Decide(r, func() bool { return t.take(now) })
}

// Close returns the retries that no send has used to the budget.
func (t *Tracker) Close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, at := range t.taken {
		t.Budget.Return(t.Service, at)
	}
	t.taken = nil
}
