package jwclaim

import (
	"container/list"
	"context"
	"time"

	"github.com/pkg/errors"

	"jujubewheel/core/jwrequest"
)

// The errors of a call; compare with errors.Is.
var (
	// ErrStale says that the claim is too old to start the call: other nodes
	// may soon forget it.
	ErrStale = errors.New("claim too old to dispatch")
	// ErrSettled says that the call was already released, finished or lost.
	ErrSettled = errors.New("call already settled")
)

// Answer is the whole answer to a call, as kept for those who ask again.
type Answer struct {
	Status      int               `json:"status"`
	ContentType string            `json:"contentType,omitempty"`
	Body        []byte            `json:"body,omitempty"`
	Outcome     jwrequest.Outcome `json:"outcome"`
	Region      string            `json:"region,omitempty"` // where it ran
}

// callState is how far a call is.
type callState string

const (
	stateClaiming   callState = "claiming"   // its claim is not known to be written
	stateHeld       callState = "held"       // may be dispatched, nothing has left yet
	stateDispatched callState = "dispatched" // a byte may have left
	stateFinished   callState = "finished"   // the answer is kept
	stateReleased   callState = "released"   // certainly not dispatched
	stateLost       callState = "lost"       // may have run, no answer
)

// Call is one call that this node alone may dispatch, shared by all who press
// the same key here. Its methods may be used by several goroutines.
type Call struct {
	k        *Keeper
	ref      callRef
	bodyHash bodyHash
	until    time.Time // end of the key's memory by this node's clock
	claim    claimID   // own keys only
	slot     *slot     // own keys only
	item     *item     // own keys only
	done     chan struct{}
	state    callState // guarded by k.mu, as is all below
	answer   Answer
	size     int
	// element is the call's place among the kept answers.
	element *list.Element
}

// Dispatched marks that a byte of the call may leave from now on. The call
// must not go out unless it returns nil.
func (c *Call) Dispatched() error {
	c.k.mu.Lock()
	defer c.k.mu.Unlock()
	if c.state != stateHeld {
		return errors.Wrapf(ErrSettled, "dispatch: %s", c.k.Node)
	}
	// A process that was paused after its claim wakes with the right to run in
	// its hand while the others have forgotten the key and may have run it
	// again. It would show as a second run long after the first. The claim is
	// given up before the first of them can forget it.
	if c.slot != nil && !c.k.now().Before(c.until) {
		c.settleAsLost()
		return errors.Wrapf(ErrStale, "dispatch: %s", c.k.Node)
	}
	c.state = stateDispatched
	return nil
}

// Finish keeps the answer for all who wait or ask again. An answer whose
// outcome is notRun releases the call instead, unknown loses it.
func (c *Call) Finish(a Answer) {
	switch a.Outcome {
	case jwrequest.NotRun:
		c.releaseWith(a)
		return
	case jwrequest.Unknown:
		c.Lost()
		return
	}
	c.k.mu.Lock()
	defer c.k.mu.Unlock()
	if c.settled() {
		return
	}
	c.answer = a
	c.settleAs(stateFinished)
	c.k.keepAnswer(c)
}

// Release gives the call up: it was certainly not run, and another press of
// the key may run it, here or at another node once the release is written.
func (c *Call) Release() {
	c.releaseWith(Answer{Outcome: jwrequest.NotRun})
}

func (c *Call) releaseWith(a Answer) {
	c.k.mu.Lock()
	defer c.k.mu.Unlock()
	if c.settled() {
		return
	}
	c.answer = a
	c.settleAs(stateReleased)
	c.k.releaseKey(c)
}

// Lost gives the call up as one that may have run: it is unknown from now on.
func (c *Call) Lost() {
	c.k.mu.Lock()
	defer c.k.mu.Unlock()
	if c.settled() {
		return
	}
	c.settleAsLost()
}

// settleAsLost makes the call one that may have run; k.mu is held.
func (c *Call) settleAsLost() {
	c.settleAs(stateLost)
	c.k.counts.Unknowns++
	c.k.forget(c)
}

// Wait returns the answer of the call once it is settled, whatever node code
// runs it; the outcome says whether it ran.
func (c *Call) Wait(ctx context.Context) (Answer, error) {
	select {
	case <-c.done:
		c.k.mu.Lock()
		defer c.k.mu.Unlock()
		return c.answer, nil
	case <-ctx.Done():
		return Answer{}, errors.Wrapf(ctx.Err(), "wait for call: %s", c.k.Node)
	}
}

// settled reports whether the call has ended; k.mu is held.
func (c *Call) settled() bool {
	return c.state == stateFinished || c.state == stateReleased || c.state == stateLost
}

// settleAs ends the call and wakes those who wait; k.mu is held.
func (c *Call) settleAs(s callState) {
	c.state = s
	c.k.unsettledCalls--
	if s == stateLost {
		c.answer = Answer{Outcome: jwrequest.Unknown}
	}
	close(c.done)
}
