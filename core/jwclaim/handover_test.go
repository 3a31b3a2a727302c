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

// faultySuccessor hands records to a node, with a fault on the way there or back.
type faultySuccessor struct {
	to            *testNode
	changeRecords func(records []Record) []Record
	replyErr      error
}

func (h *faultySuccessor) Holder() Holder { return h.to.self() }

func (h *faultySuccessor) Handover(_ context.Context, records iter.Seq[Record]) (Receipt, error) {
	rs := slices.Collect(records)
	if h.changeRecords != nil {
		rs = h.changeRecords(rs)
	}
	time.Sleep(100 * time.Millisecond)
	r, err := h.to.Adopt(func(yield func(Record, error) bool) {
		for _, rec := range rs {
			if !yield(rec, nil) {
				return
			}
		}
	})
	if h.replyErr != nil {
		return Receipt{}, h.replyErr
	}
	return r, err
}

func mint(t *testing.T, n *testNode) string {
	t.Helper()
	ticket, err := n.Mint()
	assert.NilError(t, err)
	return ticket
}

// handoverFixture is a stopping node with a used ticket, an unused one and an own key.
type handoverFixture struct {
	store          *fakeStore
	stopping, b, c *testNode
	used, unused   string
}

func newHandoverFixture(t *testing.T) *handoverFixture {
	f := &handoverFixture{store: newFakeStore()}
	f.stopping, f.b, f.c = startNode(f.store, "a", nil), startNode(f.store, "b", nil), startNode(f.store, "c", nil)
	f.used, f.unused = mint(t, f.stopping), mint(t, f.stopping)
	for _, key := range []string{f.used, "k"} {
		c := mustRun(t, f.stopping, newAsk(key, "deposit"))
		assert.NilError(t, c.Dispatched())
		c.Finish(servedAnswer("paid"))
	}
	f.stopping.Close()
	return f
}

func (f *handoverFixture) end() {
	f.stopping.crash()
	f.b.crash()
	f.c.crash()
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
		first      *faultySuccessor // tried before the one that takes over
		used       Verdict
		unused     Verdict
		atStopping Verdict // of the unused ticket at the stopping node
	}{
		"clean":                   {used: Replay, unused: Run, atStopping: Elsewhere},
		"first refuses":           {first: &faultySuccessor{replyErr: ErrNotAdopted, changeRecords: drop(EndRecord)}, used: Replay, unused: Run, atStopping: Elsewhere},
		"first loses its word":    {first: &faultySuccessor{replyErr: errors.New("no reply")}, used: Replay, unused: Unknown, atStopping: Unknown},
		"records lost on the way": {first: &faultySuccessor{changeRecords: drop(AnswerRecord)}, used: Replay, unused: Run, atStopping: Elsewhere},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newHandoverFixture(t)
				defer f.end()
				if tc.first != nil {
					tc.first.to = f.c
					assert.Assert(t, f.stopping.Handover(context.Background(), tc.first) != nil)
				}
				assert.NilError(t, f.stopping.Handover(context.Background(), &faultySuccessor{to: f.b}))
				assert.Equal(t, begin(t, f.stopping, newAsk(f.unused, "deposit")).Verdict, tc.atStopping)
				assert.Equal(t, begin(t, f.b, newAsk(f.used, "deposit")).Verdict, tc.used)
				assert.Equal(t, begin(t, f.b, newAsk(f.unused, "deposit")).Verdict, tc.unused)
				assert.Equal(t, begin(t, f.b, newAsk("k", "deposit")).Verdict, Replay)
				for _, m := range f.b.Moves() {
					f.c.Learn(m)
				}
				if tc.first == nil {
					assert.Equal(t, begin(t, f.c, newAsk(f.unused, "deposit")).Holder, f.b.self())
					assert.Equal(t, begin(t, f.c, newAsk("k", "deposit")).Holder, f.b.self())
				}
			})
		})
	}
}

// While the successor's word is on its way, it may already run a ticket. A
// caller who presses at the stopping node in that moment must not be told that
// the ticket was not run: it would send the order again under another key.
func TestRetryDuringHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHandoverFixture(t)
		defer f.end()
		go func() { _ = f.stopping.Handover(context.Background(), &faultySuccessor{to: f.b}) }()
		synctest.Wait()
		assert.Equal(t, begin(t, f.stopping, newAsk(f.used, "deposit")).Verdict, Replay)
		assert.Equal(t, begin(t, f.stopping, newAsk(f.unused, "deposit")).Verdict, Elsewhere)
	})
}

// A call that still runs when the records leave would be unknown to the
// successor, which could run its ticket a second time.
func TestHandoverWaitsForCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		a, b := startNode(s, "a", nil), startNode(s, "b", nil)
		defer a.crash()
		defer b.crash()
		c := mustRun(t, a, newAsk(mint(t, a), "deposit"))
		sent := mustRun(t, a, newAsk("k", "deposit"))
		assert.NilError(t, sent.Dispatched())
		assert.ErrorIs(t, a.Handover(context.Background(), &faultySuccessor{to: b}), ErrBusy)
		a.Close()
		assert.ErrorIs(t, a.Handover(context.Background(), &faultySuccessor{to: b}), ErrBusy)
		assert.Equal(t, a.Cut(), 1)
		assert.ErrorIs(t, c.Dispatched(), ErrSettled)
		assert.NilError(t, a.Handover(context.Background(), &faultySuccessor{to: b}))
		assert.Equal(t, begin(t, b, newAsk("k", "deposit")).Verdict, Unknown)
		assert.Equal(t, begin(t, a, newAsk("k", "deposit")).Verdict, Unknown)
	})
}

// A successor may be handed the same process twice, when its first word was
// lost. The second list is older than what it has run itself since.
func TestAdoptTwiceKeepsWhatRan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHandoverFixture(t)
		defer f.end()
		lostReply := &faultySuccessor{to: f.b, replyErr: errors.New("no reply")}
		assert.Assert(t, f.stopping.Handover(context.Background(), lostReply) != nil)
		c := mustRun(t, f.b, newAsk(f.unused, "deposit"))
		assert.NilError(t, c.Dispatched())
		c.Lost()
		assert.NilError(t, f.stopping.Handover(context.Background(), &faultySuccessor{to: f.b}))
		assert.Equal(t, begin(t, f.b, newAsk(f.unused, "deposit")).Verdict, Unknown)
	})
}

// The stop may begin while a claim is on its way to the store. Its caller has
// not been let out yet; were it, the call would run behind the handover.
func TestClaimWrittenAfterClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		a, b := startNode(s, "a", nil), startNode(s, "b", nil)
		defer a.crash()
		defer b.crash()
		mustRun(t, a, newAsk("warm", "up")).Release()
		time.Sleep(time.Second)
		gate := a.link.freeze()
		verdict := make(chan Verdict, 1)
		go func() { verdict <- begin(t, a, newAsk("k", "deposit")).Verdict }()
		synctest.Wait()
		a.Close()
		a.link.set(func(l *storeLink) { l.gates = nil })
		close(gate)
		assert.Equal(t, <-verdict, NotRun)
		assert.NilError(t, a.Flush(context.Background()))
		mustRun(t, b, newAsk("k", "deposit"))
	})
}

// The connection breaks in the middle of a handover. What came is not the
// whole table: a used ticket that is missing from it would run again.
func TestBrokenHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHandoverFixture(t)
		defer f.end()
		rs := f.stopping.records()
		_, err := f.b.Adopt(func(yield func(Record, error) bool) {
			_ = yield(rs[0], nil) && yield(Record{}, errors.New("connection reset"))
		})
		assert.ErrorIs(t, err, ErrNotAdopted)
		assert.Equal(t, begin(t, f.b, newAsk(f.unused, "deposit")).Verdict, Elsewhere)
		assert.Equal(t, len(f.b.Moves()), 0)
	})
}

// A caller presses again at the very node that is taking over, while its claim
// is still on the way to the store. The answer that arrives meanwhile must not
// be dropped for the pending claim, or the caller is told unknown for good.
func TestRetryAtSuccessorDuringHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHandoverFixture(t)
		defer f.end()
		gate := f.b.link.freeze()
		verdict := make(chan Verdict, 1)
		go func() { verdict <- begin(t, f.b, newAsk("k", "deposit")).Verdict }()
		synctest.Wait()
		assert.NilError(t, f.stopping.Handover(context.Background(), &faultySuccessor{to: f.b}))
		f.b.link.set(func(l *storeLink) { l.gates = nil })
		close(gate)
		assert.Equal(t, <-verdict, Replay)
		assert.Equal(t, begin(t, f.b, newAsk("k", "deposit")).Verdict, Replay)
		assert.Equal(t, f.b.Counts().Calls, uint64(0))
		assert.DeepEqual(t, f.stopping.Moves(), []Move{{Incarnation: "a-1", To: f.b.self()}})
	})
}

// The stopping node releases a claim and hands over within moments. A caller
// waits at the successor, whose view still shows the claim. It must not be told
// unknown of a call that never ran.
func TestReleaseJustBeforeHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		oneSlot := func(n *testNode) { n.SlotsPerRegion = 1 }
		a, b := startNode(s, "a", oneSlot), startNode(s, "b", func(n *testNode) { n.SlotsPerRegion, n.GroupWindow = 1, time.Second })
		defer a.crash()
		defer b.crash()
		c := mustRun(t, a, newAsk("k", "deposit"))
		time.Sleep(time.Second)
		// The view that b reads here holds the claim, and b's next group comes
		// after the handover.
		mustRun(t, b, newAsk("other", "x"))
		verdict := make(chan Verdict, 1)
		go func() { verdict <- begin(t, b, newAsk("k", "deposit")).Verdict }()
		synctest.Wait()
		b.mu.Lock()
		sl := b.slots[slotPrefix("irbid-a", 0)]
		sl.opCount++ // as by a write that began since
		sl.lastReadOp = sl.opCount
		b.mu.Unlock()
		c.Release()
		a.Close()
		assert.NilError(t, a.Flush(context.Background()))
		b.mu.Lock()
		queued := len(sl.queue)
		b.mu.Unlock()
		assert.Equal(t, queued, 1)
		assert.NilError(t, a.Handover(context.Background(), &faultySuccessor{to: b}))
		assert.Assert(t, <-verdict != Unknown)
	})
}
