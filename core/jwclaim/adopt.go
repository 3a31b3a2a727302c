package jwclaim

import (
	"iter"
	"time"

	"github.com/pkg/errors"
)

// adoptedProcess is a stopped process whose tickets and answers this node has
// taken over.
type adoptedProcess struct {
	serials
	holder Holder
	until  time.Time
}

// movedProcess says which process answers for the keys of a stopped process.
type movedProcess struct {
	to    Holder
	until time.Time
}

// HolderMove says that another process answers for the keys of a stopped process.
type HolderMove struct {
	Incarnation string
	To          Holder
}

// Adopt takes over the records of a stopping node of the same region, either
// all of them or none. If it returns an error, nothing was taken over.
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
		// A truncated stream would leave out used tickets, and they would run
		// here a second time.
		if r.Count != uint64(len(rs)) {
			break
		}
		return k.adoptRecords(rs)
	}
	return Receipt{}, notAdoptedError(errors.New("stream of records is incomplete"), k.Node)
}

func notAdoptedError(cause error, node string) error {
	return errors.Wrapf(ErrNotAdopted, "adopt: %s: %v", node, cause)
}

func (k *Keeper) adoptRecords(rs []Record) (Receipt, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	// A successor that is stopping itself may already have handed over its own
	// records.
	if k.closed || !k.running {
		return Receipt{}, notAdoptedError(errors.New("node is stopping or not running"), k.Node)
	}
	for _, r := range rs {
		if r.Kind == IncarnationRecord && (r.Holder.Region != k.Region || r.Holder.Incarnation == k.Incarnation) {
			return Receipt{}, notAdoptedError(errors.Errorf("records from %s of region %s", r.Holder.Node, r.Holder.Region), k.Node)
		}
	}
	for _, r := range rs {
		k.adoptRecord(r)
	}
	k.requireNewReads()
	return Receipt{Records: uint64(len(rs)), Incarnation: k.Incarnation}, nil
}

// requireNewReads makes all queued items wait for a read of the store that
// starts after this call. The view of this node may still show a claim that the
// stopping node released just before its handover. That claim has no record
// among those handed over, so its key would be answered as unknown. k.mu is
// held.
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

// adoptSerials merges r into what is already known: a second handover of the
// same process must not make a ticket that ran here look unused.
func (k *Keeper) adoptSerials(r Record) {
	a := k.adopted[r.Holder.Incarnation]
	if a == nil {
		a = &adoptedProcess{holder: r.Holder}
		k.adopted[r.Holder.Incarnation] = a
	}
	a.until = k.now().Add(k.KeyMemory)
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
	c := &Call{k: k, body: r.Body, until: time.UnixMilli(r.UntilMillis), done: make(chan struct{}), answer: *r.Answer}
	c.ref = callRef{incarnation: r.Holder.Incarnation, serial: r.Serial}
	if r.Key != nil {
		c.ref = callRef{key: *r.Key}
		c.claim = *r.Claim
	}
	// A call with the same caller key may be in progress here. Its claim will
	// fail because of the claim that is taken over now, so the answer must be
	// found by the id of that claim.
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

// AddMove records the report of another node that it answers for a stopped
// process.
func (k *Keeper) AddMove(m HolderMove) {
	k.initOnce.Do(k.initialize)
	k.mu.Lock()
	defer k.mu.Unlock()
	if m.Incarnation == k.Incarnation || m.To.Incarnation == k.Incarnation {
		return
	}
	k.moved[m.Incarnation] = movedProcess{to: m.To, until: k.now().Add(k.KeyMemory)}
}

// Moves returns which process answers for those that this node took over and,
// once its own handover is completed, for this process itself. The caller
// reports them to all other nodes.
func (k *Keeper) Moves() []HolderMove {
	k.mu.Lock()
	defer k.mu.Unlock()
	to := k.self()
	ms := make([]HolderMove, 0, len(k.adopted)+1)
	if k.handover.completed {
		to = k.handover.successor
		ms = append(ms, HolderMove{Incarnation: k.Incarnation, To: to})
	}
	for incarnation := range k.adopted {
		ms = append(ms, HolderMove{Incarnation: incarnation, To: to})
	}
	return ms
}

// elsewhereDecision refers the caller to the process that now answers for h;
// k.mu is held.
func (k *Keeper) elsewhereDecision(h Holder) Decision {
	// The loop is bounded because the reports of two nodes could refer to
	// each other.
	for range 8 {
		m, ok := k.moved[h.Incarnation]
		if !ok {
			break
		}
		h = m.to
	}
	return Decision{Verdict: AskHolder, Holder: h}
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
