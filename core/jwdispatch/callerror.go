package jwdispatch

import (
	"fmt"
	"net/netip"
	"time"
)

// Fate tells how far a failed call got.
type Fate string

// The fates of a failed call.
const (
	Unsent  Fate = "unsent"  // no byte of the request left this node
	Refused Fate = "refused" // the target said that it did not run it
	Broken  Fate = "broken"  // it may have run
	Silent  Fate = "silent"  // it may have run, and the connection says nothing
)

// CallError is a failed call of a target or a node.
type CallError struct {
	Step       string
	Peer       netip.AddrPort
	Fate       Fate
	RetryAfter time.Duration // as the refusing side asked
	Crashed    bool          // the connection ended as it does when a process dies
	Err        error
}

// Error names the step, the peer and the cause.
func (e *CallError) Error() string {
	return fmt.Sprintf("%s: %s: %s: %v", e.Step, e.Peer, e.Fate, e.Err)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// NotRun reports whether the request certainly was not run.
func (e *CallError) NotRun() bool { return e.Fate == Unsent || e.Fate == Refused }
