package jwdispatch

import (
	"fmt"
	"net/netip"
	"time"
)

// FailureKind states how far a failed call got, and so whether the request may have
// run.
type FailureKind string

// The possible kinds of a failed call.
const (
	Unsent     FailureKind = "unsent"  // no byte of the request left this node
	Refused    FailureKind = "refused" // the target reported that it did not run the request
	BrokenOff  FailureKind = "broken"  // the call ended early, and the request may have run
	NoProgress FailureKind = "silent"  // the request may have run, and its connection is open but made no progress
)

// CallError is the error of a failed call of a target or another node.
type CallError struct {
	Step       string
	Peer       netip.AddrPort
	Kind       FailureKind
	RetryAfter time.Duration // as requested by the side that refused
	Crashed    bool          // the connection ended the way it does when a process dies
	Err        error
}

// Error returns the step, the peer, the failure kind and the cause.
func (e *CallError) Error() string {
	return fmt.Sprintf("%s: %s: %s: %v", e.Step, e.Peer, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// NotRun reports whether the request certainly did not run.
func (e *CallError) NotRun() bool { return e.Kind == Unsent || e.Kind == Refused }
