package jwclaim

import (
	"context"
	"iter"
	"slices"

	"github.com/pkg/errors"
)

// The errors of a handover; compare with errors.Is.
var (
	// ErrNotAdopted says that the successor certainly took nothing over.
	ErrNotAdopted = errors.New("handover not adopted")
	// ErrBusy says that the keeper still has calls in flight or is not closed.
	ErrBusy = errors.New("keeper still takes or runs calls")
	// ErrRecord says that a handover record can't be read.
	ErrRecord = errors.New("unreadable handover record")
)

// Receipt is a successor's statement that it answers for what it was handed.
type Receipt struct {
	Kept        uint64 // records taken over, the end record left out
	Incarnation string // of the successor
}

// Successor is another node of the same region that can take over.
type Successor interface {
	Holder() Holder
	// Handover sends the records. An error that is ErrNotAdopted says that the
	// successor certainly answers for none of them.
	Handover(ctx context.Context, records iter.Seq[Record]) (Receipt, error)
}

// handoverState is how far this node's own handover is.
type handoverState struct {
	pending   chan struct{} // open while a successor may be taking over
	uncertain bool          // a successor may have taken over without a receipt
	successor Holder
	completed bool
}

// Close ends the running of new calls: from now on Begin gives Run to none.
// Those in flight go on, and what is known is still answered.
func (k *Keeper) Close() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.closed = true
}

// Cut ends all calls in flight, for a stop that may wait no longer: those that
// may have run become unknown, the others are released. It returns how many
// became unknown.
func (k *Keeper) Cut() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	unknownCalls := 0
	for _, c := range k.calls {
		switch c.state {
		case stateDispatched:
			unknownCalls++
			c.settleAsLost()
		case stateHeld:
			c.answer = notRunAnswer()
			c.settleAs(stateReleased)
			k.releaseKey(c)
		}
	}
	return unknownCalls
}

// Flush returns once no call is in flight and no claim or release waits to be
// written, or with an error when ctx ends before.
func (k *Keeper) Flush(ctx context.Context) error {
	for {
		wait := k.nextUnsettled()
		if wait == nil {
			return nil
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "flush claims: %s", k.Node)
		}
	}
}

// nextUnsettled returns what to wait for next, nil when all is settled.
func (k *Keeper) nextUnsettled() <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, c := range k.calls {
		if !c.settled() {
			return c.done
		}
	}
	for _, s := range k.slots {
		if len(s.queue) > 0 {
			return s.queue[0].done
		}
	}
	return nil
}

// Handover gives tickets, answers and unwritten releases to a successor. It
// may be called again with another successor after an error. The order keeps
// a key from running twice: the keeper is closed and nothing is in flight
// before the first record leaves; until the successor's receipt is in, unused
// tickets wait here; and once a successor may have taken over without a receipt,
// no other one gets the right to run unused tickets, and here they are unknown.
func (k *Keeper) Handover(ctx context.Context, s Successor) error {
	records, err := k.beginHandover(s)
	if err != nil {
		return err
	}
	count := uint64(len(records) - 1)
	receipt, err := s.Handover(ctx, slices.Values(records))
	if err == nil && receipt.Kept != count {
		err = errors.Errorf("kept %d of %d records", receipt.Kept, count)
	}
	k.endHandover(s, receipt, err)
	return errors.Wrapf(err, "handover: %s", s.Holder().Node)
}

func (k *Keeper) beginHandover(s Successor) ([]Record, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.closed || k.handover.pending != nil || k.hasRunnableCalls() {
		return nil, errors.Wrapf(ErrBusy, "handover: %s", k.Node)
	}
	if h := s.Holder(); h.Region != k.Region || h.Incarnation == k.Incarnation {
		return nil, errors.Wrapf(ErrNotAdopted, "handover: %s is no successor of %s", h.Node, k.Node)
	}
	k.handover.pending = make(chan struct{})
	return k.records(), nil
}

// hasRunnableCalls reports whether a call is running here or may still start; k.mu is
// held. A claim in doubt does not count: once the keeper is closed it is never
// run, and the successor is given its release.
func (k *Keeper) hasRunnableCalls() bool {
	for _, c := range k.calls {
		if c.state == stateHeld || c.state == stateDispatched {
			return true
		}
	}
	return false
}

func (k *Keeper) endHandover(s Successor, r Receipt, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	close(k.handover.pending)
	k.handover.pending = nil
	switch {
	case err == nil:
		k.handover.completed = true
		k.handover.successor = s.Holder()
		if r.Incarnation != "" {
			k.handover.successor.Incarnation = r.Incarnation
		}
	case !errors.Is(err, ErrNotAdopted):
		k.handover.uncertain = true
	}
}

// decideClosedTicket is the verdict on an unused ticket once the keeper is closed;
// k.mu is held.
func (k *Keeper) decideClosedTicket(s *serials) (Decision, <-chan struct{}) {
	switch {
	case k.handover.pending != nil:
		return Decision{}, k.handover.pending
	case k.handover.uncertain || !s.runnable:
		return k.unknownDecision(), nil
	case k.handover.completed:
		to := k.handover.successor
		return Decision{Verdict: Elsewhere, Holder: to}, nil
	}
	return k.notRunDecision(), nil
}
