package jwdispatch

import (
	"context"
	"net/netip"
	"time"

	"jujubewheel/core/jwpeer"
	"jujubewheel/core/jwrequest"
)

// TargetCall describes one call of a target.
type TargetCall struct {
	Request         *jwrequest.Request
	Path            string
	Idempotent      bool
	ProgressTimeout time.Duration // longest time without data before the call is aborted, 0 for no bound
	Urgency         int           // RFC 9218 urgency, 0 is the most urgent
	LastEventID     string        // id of the last event of the stream that the caller has, empty for none
}

// Targets calls targets.
type Targets interface {
	// Call sends the request and returns when the answer has begun. Errors are
	// of type *CallError.
	Call(ctx context.Context, addr netip.AddrPort, call TargetCall) (*Answer, error)
}

// Peers forwards requests to other nodes.
type Peers interface {
	// Forward sends the request to another node and returns when the answer
	// has begun. Errors are of type *CallError.
	Forward(ctx context.Context, to jwpeer.Peer, r *jwrequest.Request, reason string) (*Answer, error)
}
