package jwdispatch

import (
	"io"
	"net/http"
	"net/netip"
	"time"

	"jujubewheel/core/jwrequest"
)

// Reason names why a request was refused or failed; it is for programs, Detail
// is for people.
type Reason string

// The reasons a caller can be told.
const (
	ReasonNone        Reason = ""
	ReasonEntry       Reason = "unknownEntry"
	ReasonWorkspace   Reason = "unknownWorkspace"
	ReasonDirectory   Reason = "directoryMissing"
	ReasonKey         Reason = "keyMissing"
	ReasonKeyMismatch Reason = "keyMismatch"
	ReasonTicket      Reason = "ticketRefused"
	ReasonClaim       Reason = "claimFailed"
	ReasonRegion      Reason = "wrongRegion"
	ReasonLoop        Reason = "loop"
	ReasonLimit       Reason = "limit"
	ReasonDeadline    Reason = "deadline"
	ReasonNoTarget    Reason = "noTarget"
	ReasonTarget      Reason = "targetFailed"
	ReasonPeer        Reason = "peerFailed"
	ReasonQuarantine  Reason = "quarantined"
	ReasonLeaving     Reason = "leaving"
	ReasonBody        Reason = "body"
	ReasonHeader      Reason = "header"
	ReasonCaller      Reason = "callerGone" // only for counters and traces
)

// UnknownLength marks an answer whose length is known only at its end.
const UnknownLength = -1

// Head is the beginning of an answer.
type Head struct {
	Status      int // HTTP status for the caller
	ContentType string
	Outcome     jwrequest.Outcome // empty while the answer still runs
	Length      int64             // bytes of the body, or UnknownLength
	RetryAfter  time.Duration     // when to come back, for refusals
	Reason      Reason
	Detail      string
	ServedBy    string           // region of the target
	Hosts       []netip.AddrPort // where else to go, for refusals
}

// End is the end of an answer; an answer without it is not whole.
type End struct {
	Outcome jwrequest.Outcome
	Length  int64
	Reason  Reason
	Detail  string
}

// Sink takes one answer on its way to the caller: one Head, any number of
// Body, one End. An error means that nobody wants the answer any more.
type Sink interface {
	Head(Head) error
	Body([]byte) error
	End(End) error
}

// Answer is an answer as a target or another node gives it. Body returns
// io.EOF only when the answer is whole, and a *CallError when it broke off.
type Answer struct {
	Head Head
	Body io.ReadCloser
}

// Refusal is a final answer that nobody ran the request, or that this can't be
// known.
func Refusal(status int, outcome jwrequest.Outcome, reason Reason, detail string) Head {
	return Head{Status: status, Outcome: outcome, Reason: reason, Detail: detail}
}

// ForKey is the refusal as it must be told for a key that was not looked up:
// this try ran nothing, but an earlier one with the key may have, and a caller
// that is told otherwise would order anew under another key.
func (h Head) ForKey(key string) Head {
	if key == "" || h.Outcome != jwrequest.NotRun {
		return h
	}
	h.Outcome = jwrequest.Unknown
	h.Detail += "; an earlier try with this key may have run"
	return h
}

// unavailable is the refusal of a request that may come back later.
func unavailable(reason Reason, detail string, after time.Duration) Head {
	h := Refusal(http.StatusServiceUnavailable, jwrequest.NotRun, reason, detail)
	h.RetryAfter = after
	return h
}
