package jwclaim

import (
	"iter"
	"time"

	"github.com/pkg/errors"
)

// adoptedProcess is what this node answers for in the place of another process.
type adoptedProcess struct {
	serials
	holder Holder
	until  time.Time
}

// movedProcess says where the keys of a process are now.
type movedProcess struct {
	to    Holder
	until time.Time
}

// Move says that the keys of a process that stopped are answered by another.
type Move struct {
	Incarnation string
	To          Holder
}

// Adopt takes over from a stopping node of the same region; all of its records
// or none. An error says that nothing was taken over.
func (k *Keeper) Adopt(records iter.Seq2[Record, error]) (Receipt, error) {
	var rs []Record
	for r, err := range records {
		if err == nil {
			err = r.check()
		}
		if err != nil {
			return Receipt{}, notAdoptedError(err, k.Node)
		}
		if r.Kind != EndRecord {
			rs = append(rs, r)
			continue
		}
		// A stream that broke off would leave used tickets out, and they would
		// run here a second time.
		if r.Count != uint64(len(rs)) {
			break
		}
		return k.adoptRecords(rs)
	}
	return Receipt{}, notAdoptedError(errors.New("records missing"), k.Node)
}

func notAdoptedError(cause error, node string) error {
	return errors.Wrapf(ErrNotAdopted, "adopt: %s: %v", node, cause)
}

func (k *Keeper) adoptRecords(rs []Record) (Receipt, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	// A successor that stops itself may already have handed its own table on.
	if k.closed || !k.running {
		return Receipt{}, notAdoptedError(errors.New("stopping"), k.Node)
	}
	for _, r := range rs {
		if r.Kind == IncarnationRecord && (r.Holder.Region != k.Region || r.Holder.Incarnation == k.Incarnation) {
			return Receipt{}, notAdoptedError(errors.Errorf("from %s of %s", r.Holder.Node, r.Holder.Region), k.Node)
		}
	}
	for _, r := range rs {
		k.adoptRecord(r)
	}
	k.requireNewReads()
	return Receipt{Kept: uint64(len(rs)), Incarnation: k.Incarnation}, nil
}

// requireNewReads makes all who wait for a slot wait for a read that begins now. A
// claim that the stopping node released just before its handover may still be
// in a view of this node; taken for one of those handed over, it would have no
// record, and its key be answered as unknown. k.mu is held.
func (k *Keeper) requireNewReads() {
	for _, s := range k.slots {
		for _, it := range s.queue {
			it.queuedAtOp = s.opCount
		}
	}
}

func (k *Keeper) adoptRecord(r Record) {
	switch r.Kind {
	case IncarnationRecord:
		k.adoptSerials(r)
	case AnswerRecord:
		k.adoptAnswer(r)
	case ReleaseRecord:
		k.slotForPrefix(r.Slot).enqueue(&item{kind: releaseItem, id: *r.Claim, key: *r.Key, force: true})
	}
}

// adoptSerials joins what is known already: a second handover of the same
// process must not make a ticket that ran here look unused.
func (k *Keeper) adoptSerials(r Record) {
	a := k.adopted[r.Holder.Incarnation]
	if a == nil {
		a = &adoptedProcess{holder: r.Holder}
		k.adopted[r.Holder.Incarnation] = a
	}
	a.until = k.now().Add(k.Memory)
	a.minted = max(a.minted, r.Minted)
	a.runnable = a.runnable || r.Runnable
	for i, word := range r.Used {
		if i == len(a.used) {
			a.used = append(a.used, 0)
		}
		a.used[i] |= word
	}
}

func (k *Keeper) adoptAnswer(r Record) {
	c := &Call{k: k, bodyHash: r.Body, until: time.UnixMilli(r.UntilMillis), done: make(chan struct{}), answer: *r.Answer}
	c.ref = callRef{incarnation: r.Holder.Incarnation, serial: r.Serial}
	if r.Key != nil {
		c.ref = callRef{key: *r.Key}
		c.claim = *r.Claim
	}
	// A press of the same own key may be under way here. Its claim will fail and
	// lead to the one that is taken over, so the answer must be found by that.
	if k.calls[c.ref] == nil {
		k.calls[c.ref] = c
	} else if r.Key == nil || k.claims[c.claim] != nil {
		return
	}
	if r.Key != nil {
		k.claims[c.claim] = c
	}
	c.state = stateFinished
	close(c.done)
	if a := k.adopted[r.Holder.Incarnation]; a != nil && a.until.Before(c.until) {
		a.until = c.until
	}
	k.keepAnswer(c)
}

// Learn takes another node's report that it answers for a process that stopped.
func (k *Keeper) Learn(m Move) {
	k.initOnce.Do(k.initialize)
	k.mu.Lock()
	defer k.mu.Unlock()
	if m.Incarnation == k.Incarnation || m.To.Incarnation == k.Incarnation {
		return
	}
	k.moved[m.Incarnation] = movedProcess{to: m.To, until: k.now().Add(k.Memory)}
}

// Moves returns who answers for the processes that this node took over, and,
// once it has handed its keys on, for itself; to be reported to all others.
func (k *Keeper) Moves() []Move {
	k.mu.Lock()
	defer k.mu.Unlock()
	to := k.self()
	ms := make([]Move, 0, len(k.adopted)+1)
	if k.handover.completed {
		to = k.handover.successor
		ms = append(ms, Move{Incarnation: k.Incarnation, To: to})
	}
	for incarnation := range k.adopted {
		ms = append(ms, Move{Incarnation: incarnation, To: to})
	}
	return ms
}

// elsewhereDecision names the process that answers for a holder now; k.mu is held.
func (k *Keeper) elsewhereDecision(h Holder) Decision {
	// Bounded, for two nodes' reports could name each other.
	for range 8 {
		m, ok := k.moved[h.Incarnation]
		if !ok {
			break
		}
		h = m.to
	}
	return Decision{Verdict: Elsewhere, Holder: h}
}

func (k *Keeper) unknownTicketDecision() Decision {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.unknownDecision()
}

func (k *Keeper) expireMoves(now time.Time) {
	for incarnation, a := range k.adopted {
		if now.After(a.until) {
			delete(k.adopted, incarnation)
		}
	}
	for incarnation, m := range k.moved {
		if now.After(m.until) {
			delete(k.moved, incarnation)
		}
	}
}
