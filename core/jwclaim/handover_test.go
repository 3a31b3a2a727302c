package jwclaim

import (
	"context"
	"iter"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// heir hands records to a node, with a fault on the way there or back.
type heir struct {
	to     *node
	before func(records []Record) []Record
	after  error
}

func (h *heir) Holder() Holder { return h.to.self() }

func (h *heir) Handover(_ context.Context, records iter.Seq[Record]) (Receipt, error) {
	rs := slices.Collect(records)
	if h.before != nil {
		rs = h.before(rs)
	}
	time.Sleep(100 * time.Millisecond)
	r, err := h.to.Adopt(func(yield func(Record, error) bool) {
		for _, rec := range rs {
			if !yield(rec, nil) {
				return
			}
		}
	})
	if h.after != nil {
		return Receipt{}, h.after
	}
	return r, err
}

func mint(t *testing.T, n *node) string {
	t.Helper()
	ticket, err := n.Mint()
	assert.NilError(t, err)
	return ticket
}

// estate is a stopping node with a used ticket, an unused one and an own key.
type estate struct {
	store        *fakeStore
	from, b, c   *node
	used, unused string
}

func newEstate(t *testing.T) *estate {
	e := &estate{store: newFakeStore()}
	e.from, e.b, e.c = start(e.store, "a", nil), start(e.store, "b", nil), start(e.store, "c", nil)
	e.used, e.unused = mint(t, e.from), mint(t, e.from)
	for _, key := range []string{e.used, "k"} {
		c := run(t, e.from, own(key, "deposit"))
		assert.NilError(t, c.Dispatched())
		c.Finish(served("paid"))
	}
	e.from.Close()
	return e
}

func (e *estate) end() {
	e.from.end()
	e.b.end()
	e.c.end()
}

// Nodes are replaced hundreds of times a day. Without the handover each of
// them would leave its callers with unknown deposits; with one that gives the
// right to run to two nodes, a deposit would be charged twice.
func TestHandover(t *testing.T) {
	drop := func(kind RecordKind) func([]Record) []Record {
		return func(rs []Record) []Record {
			return slices.DeleteFunc(rs, func(r Record) bool { return r.Kind == kind })
		}
	}
	for name, tc := range map[string]struct {
		first  *heir // tried before the one that takes over
		used   Verdict
		unused Verdict
		atFrom Verdict // of the unused ticket at the stopping node
	}{
		"clean":                   {used: Replay, unused: Run, atFrom: Elsewhere},
		"first refuses":           {first: &heir{after: ErrNotAdopted, before: drop(EndRecord)}, used: Replay, unused: Run, atFrom: Elsewhere},
		"first loses its word":    {first: &heir{after: errors.New("no reply")}, used: Replay, unused: Unknown, atFrom: Unknown},
		"records lost on the way": {first: &heir{before: drop(AnswerRecord)}, used: Replay, unused: Run, atFrom: Elsewhere},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := newEstate(t)
				defer e.end()
				if tc.first != nil {
					tc.first.to = e.c
					assert.Assert(t, e.from.Handover(context.Background(), tc.first) != nil)
				}
				assert.NilError(t, e.from.Handover(context.Background(), &heir{to: e.b}))
				assert.Equal(t, press(t, e.from, own(e.unused, "deposit")).Verdict, tc.atFrom)
				assert.Equal(t, press(t, e.b, own(e.used, "deposit")).Verdict, tc.used)
				assert.Equal(t, press(t, e.b, own(e.unused, "deposit")).Verdict, tc.unused)
				assert.Equal(t, press(t, e.b, own("k", "deposit")).Verdict, Replay)
				for _, m := range e.b.Moves() {
					e.c.Learn(m)
				}
				if tc.first == nil {
					assert.Equal(t, press(t, e.c, own(e.unused, "deposit")).Holder, e.b.self())
					assert.Equal(t, press(t, e.c, own("k", "deposit")).Holder, e.b.self())
				}
			})
		})
	}
}

// While the successor's word is on its way, it may already run a ticket. A
// caller who presses at the stopping node in that moment must not be told that
// the ticket was not run: it would send the order again under another key.
func TestPressDuringHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEstate(t)
		defer e.end()
		go func() { _ = e.from.Handover(context.Background(), &heir{to: e.b}) }()
		synctest.Wait()
		assert.Equal(t, press(t, e.from, own(e.used, "deposit")).Verdict, Replay)
		assert.Equal(t, press(t, e.from, own(e.unused, "deposit")).Verdict, Elsewhere)
	})
}

// A call that still runs when the records leave would be unknown to the
// successor, which could run its ticket a second time.
func TestHandoverWaitsForCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		a, b := start(s, "a", nil), start(s, "b", nil)
		defer a.end()
		defer b.end()
		c := run(t, a, own(mint(t, a), "deposit"))
		sent := run(t, a, own("k", "deposit"))
		assert.NilError(t, sent.Dispatched())
		assert.ErrorIs(t, a.Handover(context.Background(), &heir{to: b}), ErrBusy)
		a.Close()
		assert.ErrorIs(t, a.Handover(context.Background(), &heir{to: b}), ErrBusy)
		assert.Equal(t, a.Cut(), 1)
		assert.ErrorIs(t, c.Dispatched(), ErrSettled)
		assert.NilError(t, a.Handover(context.Background(), &heir{to: b}))
		assert.Equal(t, press(t, b, own("k", "deposit")).Verdict, Unknown)
		assert.Equal(t, press(t, a, own("k", "deposit")).Verdict, Unknown)
	})
}

// A successor may be handed the same process twice, when its first word was
// lost. The second list is older than what it has run itself since.
func TestAdoptTwiceKeepsWhatRan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEstate(t)
		defer e.end()
		lostWord := &heir{to: e.b, after: errors.New("no reply")}
		assert.Assert(t, e.from.Handover(context.Background(), lostWord) != nil)
		c := run(t, e.b, own(e.unused, "deposit"))
		assert.NilError(t, c.Dispatched())
		c.Lost()
		assert.NilError(t, e.from.Handover(context.Background(), &heir{to: e.b}))
		assert.Equal(t, press(t, e.b, own(e.unused, "deposit")).Verdict, Unknown)
	})
}

// The stop may begin while a claim is on its way to the store. Its caller has
// not been let out yet; were it, the call would run behind the handover.
func TestClaimWrittenAfterClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		a, b := start(s, "a", nil), start(s, "b", nil)
		defer a.end()
		defer b.end()
		run(t, a, own("warm", "up")).Release()
		time.Sleep(time.Second)
		gate := a.link.freeze()
		verdict := make(chan Verdict, 1)
		go func() { verdict <- press(t, a, own("k", "deposit")).Verdict }()
		synctest.Wait()
		a.Close()
		a.link.set(func(l *link) { l.gates = nil })
		close(gate)
		assert.Equal(t, <-verdict, NotRun)
		assert.NilError(t, a.Flush(context.Background()))
		run(t, b, own("k", "deposit"))
	})
}

// The connection breaks in the middle of a handover. What came is not the
// whole table: a used ticket that is missing from it would run again.
func TestBrokenHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEstate(t)
		defer e.end()
		rs := e.from.records()
		_, err := e.b.Adopt(func(yield func(Record, error) bool) {
			_ = yield(rs[0], nil) && yield(Record{}, errors.New("connection reset"))
		})
		assert.ErrorIs(t, err, ErrNotAdopted)
		assert.Equal(t, press(t, e.b, own(e.unused, "deposit")).Verdict, Elsewhere)
		assert.Equal(t, len(e.b.Moves()), 0)
	})
}

// A caller presses again at the very node that is taking over, while its claim
// is still on the way to the store. The answer that arrives meanwhile must not
// be dropped for the pending claim, or the caller is told unknown for good.
func TestPressAtSuccessorDuringHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEstate(t)
		defer e.end()
		gate := e.b.link.freeze()
		verdict := make(chan Verdict, 1)
		go func() { verdict <- press(t, e.b, own("k", "deposit")).Verdict }()
		synctest.Wait()
		assert.NilError(t, e.from.Handover(context.Background(), &heir{to: e.b}))
		e.b.link.set(func(l *link) { l.gates = nil })
		close(gate)
		assert.Equal(t, <-verdict, Replay)
		assert.Equal(t, press(t, e.b, own("k", "deposit")).Verdict, Replay)
		assert.Equal(t, e.b.Counts().Calls, uint64(0))
		assert.DeepEqual(t, e.from.Moves(), []Move{{Incarnation: "a-1", To: e.b.self()}})
	})
}

// The stopping node releases a claim and hands over within moments. A caller
// waits at the successor, whose view still shows the claim. It must not be told
// unknown of a call that never ran.
func TestReleaseJustBeforeHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		one := func(n *node) { n.Slots = 1 }
		a, b := start(s, "a", one), start(s, "b", func(n *node) { n.Slots, n.GroupWindow = 1, time.Second })
		defer a.end()
		defer b.end()
		c := run(t, a, own("k", "deposit"))
		time.Sleep(time.Second)
		// The view that b reads here holds the claim, and b's next group comes
		// after the handover.
		run(t, b, own("other", "x"))
		verdict := make(chan Verdict, 1)
		go func() { verdict <- press(t, b, own("k", "deposit")).Verdict }()
		synctest.Wait()
		b.mu.Lock()
		waits := b.slots[slotPrefix("irbid-a", 0)]
		waits.started++ // as by a write that began since
		waits.reads = waits.started
		b.mu.Unlock()
		c.Release()
		a.Close()
		assert.NilError(t, a.Flush(context.Background()))
		b.mu.Lock()
		waiting := len(waits.queue)
		b.mu.Unlock()
		assert.Equal(t, waiting, 1)
		assert.NilError(t, a.Handover(context.Background(), &heir{to: b}))
		assert.Assert(t, <-verdict != Unknown)
	})
}
