package jwclaim

import (
	"container/list"
	"context"
	"time"

	"github.com/pkg/errors"

	"jujubewheel/core/jwrequest"
)

// Errors returned by the methods of Call; compare with errors.Is.
var (
	// ErrStale says that the claim is too old to start the call: other nodes
	// may soon treat it as expired.
	ErrStale = errors.New("claim too old to dispatch")
	// ErrSettled says that the call was already released, finished or lost.
	ErrSettled = errors.New("call already settled")
)

// Answer is the complete answer to a call, kept for later callers with the same
// key.
type Answer struct {
	Status      int               `json:"status"`
	ContentType string            `json:"contentType,omitempty"`
	Body        []byte            `json:"body,omitempty"`
	Outcome     jwrequest.Outcome `json:"outcome"`
	Region      string            `json:"region,omitempty"` // region in which the call ran
}

// callState is the stage that a call has reached.
type callState string

const (
	stateClaiming   callState = "claiming"   // its claim is not yet known to be written
	stateHeld       callState = "held"       // may be dispatched; nothing has been sent yet
	stateDispatched callState = "dispatched" // part of the request may have been sent
	stateFinished   callState = "finished"   // the answer is kept
	stateReleased   callState = "released"   // certainly did not run
	stateLost       callState = "lost"       // may have run; there is no answer
)

// Call is one call that only this node may dispatch. All callers with the same
// key on this node share it. Its methods may be used by several goroutines.
type Call struct {
	k      *Keeper
	ref    callRef
	body   bodyHash
	until  time.Time // expiry of the key by this node's clock
	claim  claimID   // for caller keys only
	slot   *slot     // for caller keys only
	item   *item     // for caller keys only
	done   chan struct{}
	state  callState // guarded by k.mu, as are all fields below
	answer Answer
	size   int
	// element is the call's element in Keeper.keptCalls, nil if its answer is
	// not kept.
	element *list.Element
}

// MarkDispatched records that the request may be sent from now on. It must not be
// sent unless MarkDispatched returns nil.
func (c *Call) MarkDispatched() error {
	c.k.mu.Lock()
	defer c.k.mu.Unlock()
	if c.state != stateHeld {
		return errors.Wrapf(ErrSettled, "dispatch: %s", c.k.Node)
	}
	// A process that was paused after its claim still has the right to run when
	// it resumes, although the claim may have expired on the other nodes and
	// the key may have run there again. The call is therefore given up from
	// c.until on, before the claim expires on any other node.
	if c.slot != nil && !c.k.now().Before(c.until) {
		c.settleAsLost()
		return errors.Wrapf(ErrStale, "dispatch: %s", c.k.Node)
	}
	c.state = stateDispatched
	return nil
}

// Finish keeps the answer for all callers that wait or retry. An answer with
// the outcome notRun releases the call instead, and one with the outcome
// unknown marks it as lost.
func (c *Call) Finish(a Answer) {
	switch a.Outcome {
	case jwrequest.NotRun:
		c.releaseWith(a)
		return
	case jwrequest.Unknown:
		c.MarkLost()
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

// Release ends the call as certainly not run. Another call with the key may
// then run, here or, once the release is written, on another node.
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

// MarkLost ends the call as one that may have run. Its key is answered as unknown
// from now on.
func (c *Call) MarkLost() {
	c.k.mu.Lock()
	defer c.k.mu.Unlock()
	if c.settled() {
		return
	}
	c.settleAsLost()
}

// settleAsLost ends the call as one that may have run; k.mu is held.
func (c *Call) settleAsLost() {
	c.settleAs(stateLost)
	c.k.counts.Unknowns++
	c.k.forget(c)
}

// Wait returns the answer once the call is settled. The outcome of the answer
// says whether the call ran.
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

// settleAs ends the call in state s and wakes those who wait; k.mu is held.
func (c *Call) settleAs(s callState) {
	c.state = s
	c.k.unsettledCalls--
	if s == stateLost {
		c.answer = Answer{Outcome: jwrequest.Unknown}
	}
	close(c.done)
}
