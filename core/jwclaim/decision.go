package jwclaim

import (
	"crypto/sha256"
	"time"
)

// Verdict says what to do with a call that has a key.
type Verdict string

// The verdicts on a call with a key.
const (
	Run              Verdict = "run"       // this node alone may dispatch Decision.Call
	Join             Verdict = "join"      // the key is in flight here: wait for Decision.Call
	Replay           Verdict = "replay"    // Decision.Answer is the answer to the first call
	AskHolder        Verdict = "elsewhere" // ask the process Decision.Holder; if it is gone, the outcome is unknown
	Mismatch         Verdict = "mismatch"  // the key came with another body before
	Unknown          Verdict = "unknown"   // the call of the key may have run and is not run again
	NotRun           Verdict = "notRun"    // neither this call nor an earlier one of the key ran
	ClaimsUnreadable Verdict = "unread"    // this call was not run; an earlier one of the key may have
	Rejected         Verdict = "refused"   // the key looks like a ticket, but no node minted it
)

// KeyedCall describes one call with a key.
type KeyedCall struct {
	Workspace string
	Region    string // home region of the workspace, where its keys are claimed
	Key       string // idempotency key or ticket
	Body      [sha256.Size]byte
	KeyMemory time.Duration // how long the key is remembered, 0 for Keeper.KeyMemory
}

// Decision is the result of Begin for a KeyedCall.
type Decision struct {
	Verdict    Verdict
	Call       *Call  // for Run and Join
	Answer     Answer // for Replay
	Holder     Holder // for AskHolder
	RetryAfter time.Duration
}

// decideItem returns the decision for a caller that waited for the item,
// whether the item is resolved or the caller gave up waiting; k.mu is held.
func (k *Keeper) decideItem(it *item, hash bodyHash) Decision {
	switch it.result {
	case resultWon:
		if it.runGranted || it.call.state != stateHeld {
			return k.decideByCall(it.call, hash)
		}
		it.runGranted = true
		return Decision{Verdict: Run, Call: it.call}
	case resultOccupied:
		return k.decideByClaim(it.otherClaim, hash)
	case resultFree:
		return k.notRunDecision()
	case resultUnread:
		return k.unreadableDecision()
	}
	it.waiters--
	return k.unreadableDecision()
}

// decideByClaim returns the decision on a key that another claim holds; k.mu is
// held.
func (k *Keeper) decideByClaim(other liveClaim, hash bodyHash) Decision {
	if other.body != hash {
		return Decision{Verdict: Mismatch}
	}
	if c := k.claims[other.id]; c != nil {
		return k.decideByCall(c, hash)
	}
	if other.holder.Incarnation == k.Incarnation || k.adopted[other.holder.Incarnation] != nil {
		return k.unknownDecision()
	}
	return k.elsewhereDecision(*other.holder)
}

// decideByCall returns the decision on a key whose call is in memory; k.mu is
// held.
func (k *Keeper) decideByCall(c *Call, hash bodyHash) Decision {
	if c.body != hash {
		return Decision{Verdict: Mismatch}
	}
	switch c.state {
	case stateFinished:
		return Decision{Verdict: Replay, Answer: c.answer}
	case stateClaiming, stateHeld, stateDispatched:
		return Decision{Verdict: Join, Call: c}
	case stateReleased:
		return k.notRunDecision()
	}
	return k.unknownDecision()
}

func (k *Keeper) notRunDecision() Decision {
	return Decision{Verdict: NotRun, RetryAfter: k.RetryAfter}
}

func (k *Keeper) unreadableDecision() Decision {
	k.counts.UnreadableClaims++
	return Decision{Verdict: ClaimsUnreadable, RetryAfter: k.RetryAfter}
}

func (k *Keeper) unknownDecision() Decision {
	k.counts.Unknowns++
	return Decision{Verdict: Unknown}
}
