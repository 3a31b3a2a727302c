package jwdispatch

import (
	"io"
	"net/http"
	"net/netip"
	"time"

	"jujubewheel/core/jwrequest"
)

// Reason states why a request was rejected or failed. It is meant for programs,
// and Detail for people.
type Reason string

// The reasons that a caller can be given.
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
	ReasonCaller      Reason = "callerGone" // used only in counters and traces
)

// UnknownLength is the Length of an answer whose length is known only at its
// end.
const UnknownLength = -1

// AnswerHead holds what is known of an answer before its body.
type AnswerHead struct {
	Status      int // HTTP status for the caller
	ContentType string
	Outcome     jwrequest.Outcome // empty while the request still runs
	Length      int64             // bytes of the body, or UnknownLength
	RetryAfter  time.Duration     // for refusals: when the caller may retry
	Reason      Reason
	Detail      string
	ServedBy    string           // region of the target
	Hosts       []netip.AddrPort // for refusals: other hosts that the caller may try
}

// AnswerEnd marks the end of an answer; an answer without it is not complete.
type AnswerEnd struct {
	Outcome jwrequest.Outcome
	Length  int64
	Reason  Reason
	Detail  string
}

// Sink receives one answer for the caller: one Head, any number of Body calls,
// one End. An error means that the caller no longer waits for the answer.
type Sink interface {
	Head(AnswerHead) error
	Body([]byte) error
	End(AnswerEnd) error
}

// Answer is the answer of a target or another node. Reading Body returns io.EOF
// only when the answer is complete, and a *CallError when it is incomplete.
type Answer struct {
	Head AnswerHead
	Body io.ReadCloser
}

// Refusal returns the head of a final answer for a request that did not run, or
// of which it is not known whether it ran.
func Refusal(status int, outcome jwrequest.Outcome, reason Reason, detail string) AnswerHead {
	return AnswerHead{Status: status, Outcome: outcome, Reason: reason, Detail: detail}
}

// ForKey adapts the refusal for a key that was not looked up. This try ran
// nothing, but an earlier one with the same key may have; with the outcome
// notRun, the caller would send the order again under another key.
func (h AnswerHead) ForKey(key string) AnswerHead {
	if key == "" || h.Outcome != jwrequest.NotRun {
		return h
	}
	h.Outcome = jwrequest.Unknown
	h.Detail += "; an earlier try with this key may have run"
	return h
}

// unavailable returns the refusal of a request that may be retried later.
func unavailable(reason Reason, detail string, after time.Duration) AnswerHead {
	h := Refusal(http.StatusServiceUnavailable, jwrequest.NotRun, reason, detail)
	h.RetryAfter = after
	return h
}
