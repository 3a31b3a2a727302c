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

// outcome is the verdict of an item, resolved or given up; k.mu is held.
func (k *Keeper) outcome(it *item, mark bodyMark) Decision {
	switch it.result {
	case won:
		if it.taken || it.call.state != held {
			return k.known(it.call, mark)
		}
		it.taken = true
		return Decision{Verdict: Run, Call: it.call}
	case occupied:
		return k.byClaim(it.other, mark)
	case free:
		return k.notRun()
	case unread:
		return k.unread()
	}
	it.waiters--
	return k.unread()
}

// byClaim is the verdict on a key that another claim holds; k.mu is held.
func (k *Keeper) byClaim(other claimed, mark bodyMark) Decision {
	if other.body != mark {
		return Decision{Verdict: Mismatch}
	}
	if c := k.claims[other.id]; c != nil {
		return k.known(c, mark)
	}
	if other.holder.Incarnation == k.Incarnation || k.adopted[other.holder.Incarnation] != nil {
		return k.unknown()
	}
	return k.elsewhere(*other.holder)
}

// known is the verdict on a call that is in memory; k.mu is held.
func (k *Keeper) known(c *Call, mark bodyMark) Decision {
	if c.body != mark {
		return Decision{Verdict: Mismatch}
	}
	switch c.state {
	case finished:
		return Decision{Verdict: Replay, Answer: c.answer}
	case claiming, held, dispatched:
		return Decision{Verdict: Join, Call: c}
	case released:
		return k.notRun()
	}
	return k.unknown()
}

func (k *Keeper) notRun() Decision {
	return Decision{Verdict: NotRun, RetryAfter: k.RetryAfter}
}

func (k *Keeper) unread() Decision {
	k.counts.Unreads++
	return Decision{Verdict: Unread, RetryAfter: k.RetryAfter}
}

func (k *Keeper) unknown() Decision {
	k.counts.Unknowns++
	return Decision{Verdict: Unknown}
}
