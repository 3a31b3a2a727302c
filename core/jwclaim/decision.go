package jwclaim

import (
	"crypto/sha256"
	"time"
)

// Verdict is what to do with a call that has a key.
type Verdict string

// The verdicts on a call.
const (
	Run       Verdict = "run"       // this node alone may dispatch Decision.Call
	Join      Verdict = "join"      // the key is in flight here: wait for Decision.Call
	Replay    Verdict = "replay"    // Decision.Answer is the answer to the first call
	Elsewhere Verdict = "elsewhere" // ask Decision.Holder; if it is gone, unknown
	Mismatch  Verdict = "mismatch"  // the key came with another body before
	Unknown   Verdict = "unknown"   // the key may have run and never runs again
	NotRun    Verdict = "notRun"    // neither this call nor an earlier one of the key ran
	Unread    Verdict = "unread"    // this call was not run; an earlier one of the key may have
	Refused   Verdict = "refused"   // a ticket that no node minted
)

// Ask is one call with a key.
type Ask struct {
	Workspace string
	Region    string // home region of the workspace, where its keys are claimed
	Key       string // idempotency key or ticket
	Body      [sha256.Size]byte
	Memory    time.Duration // how long the key is remembered, 0 for Keeper.Memory
}

// Decision is the answer to an Ask.
type Decision struct {
	Verdict    Verdict
	Call       *Call  // for Run and Join
	Answer     Answer // for Replay
	Holder     Holder // for Elsewhere
	RetryAfter time.Duration
}

// decideItem is the verdict of an item, resolved or given up; k.mu is held.
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
		return k.unreadDecision()
	}
	it.waiters--
	return k.unreadDecision()
}

// decideByClaim is the verdict on a key that another claim holds; k.mu is held.
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

// decideByCall is the verdict on a call that is in memory; k.mu is held.
func (k *Keeper) decideByCall(c *Call, hash bodyHash) Decision {
	if c.bodyHash != hash {
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

func (k *Keeper) unreadDecision() Decision {
	k.counts.Unreads++
	return Decision{Verdict: Unread, RetryAfter: k.RetryAfter}
}

func (k *Keeper) unknownDecision() Decision {
	k.counts.Unknowns++
	return Decision{Verdict: Unknown}
}
