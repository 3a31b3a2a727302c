package jwclaim

import (
	"context"
	"encoding/json"
	"iter"
	"slices"
	"strings"
	"time"

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

// RecordKind tells what a handover record holds.
type RecordKind string

// The kinds of handover records, in the order in which they are sent.
const (
	IncarnationRecord RecordKind = "incarnation" // tickets of one process
	AnswerRecord      RecordKind = "answer"      // one kept answer
	ReleaseRecord     RecordKind = "release"     // a claim that was never run and still has to be released
	EndRecord         RecordKind = "end"         // the last one, with the count of those before
)

// Record is one part of what a stopping node hands to its successor.
type Record struct {
	Kind        RecordKind `json:"kind"`
	Holder      Holder     `json:"holder,omitzero"` // the process that minted or claimed
	Minted      uint64     `json:"minted,omitempty"`
	Used        []uint64   `json:"used,omitempty"`     // one bit a serial
	Runnable    bool       `json:"runnable,omitempty"` // the successor may run unused tickets
	Serial      uint64     `json:"serial,omitempty"`   // of a ticket's answer
	Key         *keyHash   `json:"key,omitempty"`      // of an own key's answer or release
	Claim       *claimID   `json:"claim,omitempty"`
	Slot        string     `json:"slot,omitempty"`
	Body        bodyMark   `json:"body,omitzero"`
	UntilMillis int64      `json:"untilMillis,omitempty"` // Unix time
	Answer      *Answer    `json:"answer,omitempty"`
	Count       uint64     `json:"count,omitempty"`
}

// DecodeRecord reads one record and refuses what it can't read in full.
func DecodeRecord(b []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(b, &r); err != nil {
		return Record{}, errors.Wrapf(ErrRecord, "%v", err)
	}
	return r, r.check()
}

func (r Record) check() error {
	ok := false
	switch r.Kind {
	case IncarnationRecord:
		ok = r.Holder.Incarnation != "" && uint64(len(r.Used)) <= r.Minted/64+1
	case AnswerRecord:
		ok = r.Answer != nil && r.Holder.Incarnation != "" && (r.Serial != 0) != (r.Key != nil && r.Claim != nil)
	case ReleaseRecord:
		ok = r.Key != nil && r.Claim != nil && strings.HasPrefix(r.Slot, slotsPrefix)
	case EndRecord:
		ok = true
	}
	if !ok {
		return errors.Wrapf(ErrRecord, "kind %q", r.Kind)
	}
	return nil
}

// Receipt is a successor's word that it answers for what it was handed.
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

// handing tells how far this node's own handover is.
type handing struct {
	offer  chan struct{} // open while a successor may be taking over
	doubt  bool          // a successor may have taken over without a word
	to     Holder
	handed bool
}

// adoption is what this node answers for in the place of another process.
type adoption struct {
	serials
	holder Holder
	until  time.Time
}

// move tells where the keys of a process are now.
type move struct {
	to    Holder
	until time.Time
}

// Move says that the keys of a process that stopped are answered by another.
type Move struct {
	Incarnation string
	To          Holder
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
	lostCalls := 0
	for _, c := range k.calls {
		switch c.state {
		case dispatched:
			lostCalls++
			c.lose()
		case held:
			c.answer = notRunAnswer()
			c.settle(released)
			k.giveBack(c)
		}
	}
	return lostCalls
}

// Flush returns once no call is in flight and no claim or release waits to be
// written, or with an error when ctx ends before.
func (k *Keeper) Flush(ctx context.Context) error {
	for {
		wait := k.unsettled()
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

// unsettled returns what to wait for next, nil when all is settled.
func (k *Keeper) unsettled() <-chan struct{} {
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
// before the first record leaves; until the successor's word is in, unused
// tickets wait here; and once a successor may have taken over without a word,
// no other one gets the right to run unused tickets, and here they are unknown.
func (k *Keeper) Handover(ctx context.Context, s Successor) error {
	records, err := k.offer(s)
	if err != nil {
		return err
	}
	count := uint64(len(records) - 1)
	receipt, err := s.Handover(ctx, slices.Values(records))
	if err == nil && receipt.Kept != count {
		err = errors.Errorf("kept %d of %d records", receipt.Kept, count)
	}
	k.endOffer(s, receipt, err)
	return errors.Wrapf(err, "handover: %s", s.Holder().Node)
}

func (k *Keeper) offer(s Successor) ([]Record, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.closed || k.handing.offer != nil || k.mayRun() {
		return nil, errors.Wrapf(ErrBusy, "handover: %s", k.Node)
	}
	if h := s.Holder(); h.Region != k.Region || h.Incarnation == k.Incarnation {
		return nil, errors.Wrapf(ErrNotAdopted, "handover: %s is no successor of %s", h.Node, k.Node)
	}
	k.handing.offer = make(chan struct{})
	return k.records(), nil
}

// mayRun tells whether a call is running here or may still start; k.mu is
// held. A claim in doubt does not count: once the keeper is closed it is never
// run, and the successor is given its release.
func (k *Keeper) mayRun() bool {
	for _, c := range k.calls {
		if c.state == held || c.state == dispatched {
			return true
		}
	}
	return false
}

func (k *Keeper) endOffer(s Successor, r Receipt, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	close(k.handing.offer)
	k.handing.offer = nil
	switch {
	case err == nil:
		k.handing.handed = true
		k.handing.to = s.Holder()
		if r.Incarnation != "" {
			k.handing.to.Incarnation = r.Incarnation
		}
	case !errors.Is(err, ErrNotAdopted):
		k.handing.doubt = true
	}
}

// closedTicket is the verdict on an unused ticket once the keeper is closed;
// k.mu is held.
func (k *Keeper) closedTicket(s *serials) (Decision, <-chan struct{}) {
	switch {
	case k.handing.offer != nil:
		return Decision{}, k.handing.offer
	case k.handing.doubt || !s.runnable:
		return k.unknown(), nil
	case k.handing.handed:
		to := k.handing.to
		return Decision{Verdict: Elsewhere, Holder: to}, nil
	}
	return k.notRun(), nil
}

// records are all that a successor needs, the end record last; k.mu is held.
func (k *Keeper) records() []Record {
	rs := []Record{k.incarnationRecord(k.self(), &k.tickets)}
	for _, a := range k.adopted {
		rs = append(rs, k.incarnationRecord(a.holder, &a.serials))
	}
	for e := k.kept.Front(); e != nil; e = e.Next() {
		rs = append(rs, k.answerRecord(e.Value.(*Call)))
	}
	for _, s := range k.slots {
		for _, it := range s.queue {
			if it.kind != lookItem {
				rs = append(rs, Record{Kind: ReleaseRecord, Key: &it.key, Claim: &it.id, Slot: s.prefix})
			}
		}
	}
	return append(rs, Record{Kind: EndRecord, Count: uint64(len(rs))})
}

func (k *Keeper) incarnationRecord(h Holder, s *serials) Record {
	return Record{
		Kind:     IncarnationRecord,
		Holder:   h,
		Minted:   s.minted,
		Used:     slices.Clone(s.used),
		Runnable: s.runnable && !k.handing.doubt,
	}
}

func (k *Keeper) answerRecord(c *Call) Record {
	answer := c.answer
	r := Record{Kind: AnswerRecord, Holder: k.self(), Body: c.body, UntilMillis: c.until.UnixMilli(), Answer: &answer}
	if c.ref.serial != 0 {
		r.Holder.Incarnation = c.ref.incarnation
		r.Serial = c.ref.serial
		return r
	}
	r.Key, r.Claim = &c.ref.key, &c.claim
	return r
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
			return Receipt{}, notAdopted(err, k.Node)
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
		return k.install(rs)
	}
	return Receipt{}, notAdopted(errors.New("records missing"), k.Node)
}

func notAdopted(cause error, node string) error {
	return errors.Wrapf(ErrNotAdopted, "adopt: %s: %v", node, cause)
}

func (k *Keeper) install(rs []Record) (Receipt, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	// A successor that stops itself may already have handed its own table on.
	if k.closed || !k.running {
		return Receipt{}, notAdopted(errors.New("stopping"), k.Node)
	}
	for _, r := range rs {
		if r.Kind == IncarnationRecord && (r.Holder.Region != k.Region || r.Holder.Incarnation == k.Incarnation) {
			return Receipt{}, notAdopted(errors.Errorf("from %s of %s", r.Holder.Node, r.Holder.Region), k.Node)
		}
	}
	for _, r := range rs {
		k.installRecord(r)
	}
	k.readAgain()
	return Receipt{Kept: uint64(len(rs)), Incarnation: k.Incarnation}, nil
}

// readAgain makes all who wait for a slot wait for a read that begins now. A
// claim that the stopping node released just before its handover may still be
// in a view of this node; taken for one of those handed over, it would have no
// record, and its key be told unknown. k.mu is held.
func (k *Keeper) readAgain() {
	for _, s := range k.slots {
		for _, it := range s.queue {
			it.reads = s.started
		}
	}
}

func (k *Keeper) installRecord(r Record) {
	switch r.Kind {
	case IncarnationRecord:
		k.installSerials(r)
	case AnswerRecord:
		k.installAnswer(r)
	case ReleaseRecord:
		k.slotAt(r.Slot).add(&item{kind: releaseItem, id: *r.Claim, key: *r.Key, force: true})
	}
}

// installSerials joins what is known already: a second handover of the same
// process must not make a ticket that ran here look unused.
func (k *Keeper) installSerials(r Record) {
	a := k.adopted[r.Holder.Incarnation]
	if a == nil {
		a = &adoption{holder: r.Holder}
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

func (k *Keeper) installAnswer(r Record) {
	c := &Call{k: k, body: r.Body, until: time.UnixMilli(r.UntilMillis), done: make(chan struct{}), answer: *r.Answer}
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
	c.state = finished
	close(c.done)
	if a := k.adopted[r.Holder.Incarnation]; a != nil && a.until.Before(c.until) {
		a.until = c.until
	}
	k.keep(c)
}

// Learn takes another node's word that it answers for a process that stopped.
func (k *Keeper) Learn(m Move) {
	k.once.Do(k.prepare)
	k.mu.Lock()
	defer k.mu.Unlock()
	if m.Incarnation == k.Incarnation || m.To.Incarnation == k.Incarnation {
		return
	}
	k.moved[m.Incarnation] = move{to: m.To, until: k.now().Add(k.Memory)}
}

// Moves returns who answers for the processes that this node took over, and,
// once it has handed its keys on, for itself; to be told to all others.
func (k *Keeper) Moves() []Move {
	k.mu.Lock()
	defer k.mu.Unlock()
	to := k.self()
	ms := make([]Move, 0, len(k.adopted)+1)
	if k.handing.handed {
		to = k.handing.to
		ms = append(ms, Move{Incarnation: k.Incarnation, To: to})
	}
	for incarnation := range k.adopted {
		ms = append(ms, Move{Incarnation: incarnation, To: to})
	}
	return ms
}

// elsewhere names the process that answers for a holder now; k.mu is held.
func (k *Keeper) elsewhere(h Holder) Decision {
	// Bounded, for two nodes' words could name each other.
	for range 8 {
		m, ok := k.moved[h.Incarnation]
		if !ok {
			break
		}
		h = m.to
	}
	return Decision{Verdict: Elsewhere, Holder: h}
}

func (k *Keeper) unknownTicket() Decision {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.unknown()
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
