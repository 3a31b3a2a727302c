package jwdispatch

import (
	"context"
	"net/netip"
	"time"

	"jujubewheel/core/jwpeer"
	"jujubewheel/core/jwrequest"
)

// TargetCall is one call of a target.
type TargetCall struct {
	Request    *jwrequest.Request
	Path       string
	Idempotent bool
	Progress   time.Duration // longest silence before the call is given up, 0 for none
	Urgency    int           // RFC 9218 urgency, 0 is most urgent
	After      string        // last event that the caller has of a stream, empty for none
}

// Targets calls targets.
type Targets interface {
	// Call sends the request and returns once the answer has begun. Errors
	// are of type *CallError.
	Call(ctx context.Context, addr netip.AddrPort, call TargetCall) (*Answer, error)
}

// Peers sends requests to other nodes.
type Peers interface {
	// Forward sends the request on and returns once the answer has begun.
	// Errors are of type *CallError.
	Forward(ctx context.Context, to jwpeer.Peer, r *jwrequest.Request, reason string) (*Answer, error)
}
