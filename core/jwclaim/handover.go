package jwclaim

import (
	"context"
	"iter"
	"slices"

	"github.com/pkg/errors"
)

// Errors of a handover; compare with errors.Is.
var (
	// ErrNotAdopted says that the successor certainly took nothing over.
	ErrNotAdopted = errors.New("handover not adopted")
	// ErrBusy says that the keeper still has calls in flight or is not closed.
	ErrBusy = errors.New("keeper still takes or runs calls")
	// ErrRecord says that a handover record can't be read.
	ErrRecord = errors.New("unreadable handover record")
)

// Receipt is a successor's confirmation that it answers for the records it was
// sent.
type Receipt struct {
	Records     uint64 // records taken over, without the end record
	Incarnation string // of the successor
}

// Successor is another node of the same region that can take over.
type Successor interface {
	Holder() Holder
	// Handover sends the records. An error that is ErrNotAdopted says that the
	// successor certainly answers for none of them.
	Handover(ctx context.Context, records iter.Seq[Record]) (Receipt, error)
}

// handoverState is the progress of this node's own handover.
type handoverState struct {
	pending   chan struct{} // not nil during an attempt, closed at its end
	uncertain bool          // a successor may have taken over without a receipt
	successor Holder
	completed bool
}

// Close stops new calls: from now on Begin lets no call run. Calls in flight
// continue, and keys that are known are still answered.
func (k *Keeper) Close() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.closed = true
}

// SettleAll ends all calls that may run or are running, for a stop that can wait no
// longer: those that may have run become unknown, the others are released. It
// returns how many became unknown.
func (k *Keeper) SettleAll() int {
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
// written, or with an error if ctx ends first.
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

// nextUnsettled returns a channel that is closed when the next unsettled call
// or queued item ends, or nil if there is none.
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

// Handover hands tickets, answers and unwritten releases over to a successor.
// After an error it may be called again with another successor. Three rules
// keep a key from running twice. No record is sent before the keeper is closed
// and no call may run. Until the receipt of the successor arrives, unused
// tickets wait here. Once a successor may have taken over without a receipt, no
// other successor gets the right to run unused tickets, and here they are
// answered as unknown.
func (k *Keeper) Handover(ctx context.Context, s Successor) error {
	records, err := k.beginHandover(s)
	if err != nil {
		return err
	}
	count := uint64(len(records) - 1)
	receipt, err := s.Handover(ctx, slices.Values(records))
	if err == nil && receipt.Records != count {
		err = errors.Errorf("successor took over %d of %d records", receipt.Records, count)
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
		return nil, errors.Wrapf(ErrNotAdopted, "handover: %s cannot be a successor of %s", h.Node, k.Node)
	}
	k.handover.pending = make(chan struct{})
	return k.records(), nil
}

// hasRunnableCalls reports whether a call is running here or may still start;
// k.mu is held. An uncertain claim does not count: a closed keeper never runs
// it, and the successor is given its release.
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

// decideClosedTicket decides on an unused ticket once the keeper is closed, or
// returns a channel to wait on before the next attempt; k.mu is held.
func (k *Keeper) decideClosedTicket(s *serials) (Decision, <-chan struct{}) {
	switch {
	case k.handover.pending != nil:
		return Decision{}, k.handover.pending
	case k.handover.uncertain || !s.runnable:
		return k.unknownDecision(), nil
	case k.handover.completed:
		to := k.handover.successor
		return Decision{Verdict: AskHolder, Holder: to}, nil
	}
	return k.notRunDecision(), nil
}
