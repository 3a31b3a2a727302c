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

// faultySuccessor sends records to a node, with a fault in the records or in
// the reply.
type faultySuccessor struct {
	to            *testNode
	changeRecords func(records []Record) []Record
	replyErr      error
}

func (s *faultySuccessor) Holder() Holder { return s.to.self() }

func (s *faultySuccessor) Handover(_ context.Context, records iter.Seq[Record]) (Receipt, error) {
	rs := slices.Collect(records)
	if s.changeRecords != nil {
		rs = s.changeRecords(rs)
	}
	time.Sleep(100 * time.Millisecond)
	r, err := s.to.Adopt(func(yield func(Record, error) bool) {
		for _, rec := range rs {
			if !yield(rec, nil) {
				return
			}
		}
	})
	if s.replyErr != nil {
		return Receipt{}, s.replyErr
	}
	return r, err
}

func mint(t *testing.T, n *testNode) string {
	t.Helper()
	ticket, err := n.Mint()
	assert.NilError(t, err)
	return ticket
}

// handoverFixture has a stopping node with a used ticket, an unused ticket and
// a finished caller key, and two nodes that can succeed it.
type handoverFixture struct {
	store          *fakeStore
	stopping, b, c *testNode
	used, unused   string
}

func newHandoverFixture(t *testing.T) *handoverFixture {
	f := &handoverFixture{store: newFakeStore()}
	f.stopping, f.b, f.c = startTestNode(f.store, "a", nil), startTestNode(f.store, "b", nil), startTestNode(f.store, "c", nil)
	f.used, f.unused = mint(t, f.stopping), mint(t, f.stopping)
	for _, key := range []string{f.used, "k"} {
		c := mustRun(t, f.stopping, newKeyedCall(key, "deposit"))
		assert.NilError(t, c.MarkDispatched())
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

// Nodes are replaced hundreds of times a day. Without a handover, every
// replacement would leave callers with the outcome unknown. A handover that
// gives the right to run to two nodes would let one key run twice.
func TestHandover(t *testing.T) {
	drop := func(kind RecordKind) func([]Record) []Record {
		return func(rs []Record) []Record {
			return slices.DeleteFunc(rs, func(r Record) bool { return r.Kind == kind })
		}
	}
	for name, tc := range map[string]struct {
		first      *faultySuccessor // tried before the successor that takes over
		used       Verdict
		unused     Verdict
		atStopping Verdict // verdict on the unused ticket at the stopping node
	}{
		"clean":                  {used: Replay, unused: Run, atStopping: AskHolder},
		"first rejects":          {first: &faultySuccessor{replyErr: ErrNotAdopted, changeRecords: drop(EndRecord)}, used: Replay, unused: Run, atStopping: AskHolder},
		"reply of first lost":    {first: &faultySuccessor{replyErr: errors.New("no reply")}, used: Replay, unused: Unknown, atStopping: Unknown},
		"records lost in flight": {first: &faultySuccessor{changeRecords: drop(AnswerRecord)}, used: Replay, unused: Run, atStopping: AskHolder},
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
				assert.Equal(t, begin(t, f.stopping, newKeyedCall(f.unused, "deposit")).Verdict, tc.atStopping)
				assert.Equal(t, begin(t, f.b, newKeyedCall(f.used, "deposit")).Verdict, tc.used)
				assert.Equal(t, begin(t, f.b, newKeyedCall(f.unused, "deposit")).Verdict, tc.unused)
				assert.Equal(t, begin(t, f.b, newKeyedCall("k", "deposit")).Verdict, Replay)
				for _, m := range f.b.Moves() {
					f.c.AddMove(m)
				}
				if tc.first == nil {
					assert.Equal(t, begin(t, f.c, newKeyedCall(f.unused, "deposit")).Holder, f.b.self())
					assert.Equal(t, begin(t, f.c, newKeyedCall("k", "deposit")).Holder, f.b.self())
				}
			})
		})
	}
}

// While the receipt is in flight, the successor may already run a ticket. A
// caller that retries at the stopping node at that moment must not be answered
// that the ticket was not run: it would send the order again with another key.
func TestRetryDuringHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHandoverFixture(t)
		defer f.end()
		go func() { _ = f.stopping.Handover(context.Background(), &faultySuccessor{to: f.b}) }()
		synctest.Wait()
		assert.Equal(t, begin(t, f.stopping, newKeyedCall(f.used, "deposit")).Verdict, Replay)
		assert.Equal(t, begin(t, f.stopping, newKeyedCall(f.unused, "deposit")).Verdict, AskHolder)
	})
}

// A call that still runs when the records are sent is unknown to the successor,
// which could run its ticket a second time.
func TestHandoverWaitsForCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		a, b := startTestNode(s, "a", nil), startTestNode(s, "b", nil)
		defer a.crash()
		defer b.crash()
		c := mustRun(t, a, newKeyedCall(mint(t, a), "deposit"))
		sent := mustRun(t, a, newKeyedCall("k", "deposit"))
		assert.NilError(t, sent.MarkDispatched())
		assert.ErrorIs(t, a.Handover(context.Background(), &faultySuccessor{to: b}), ErrBusy)
		a.Close()
		assert.ErrorIs(t, a.Handover(context.Background(), &faultySuccessor{to: b}), ErrBusy)
		assert.Equal(t, a.SettleAll(), 1)
		assert.ErrorIs(t, c.MarkDispatched(), ErrSettled)
		assert.NilError(t, a.Handover(context.Background(), &faultySuccessor{to: b}))
		assert.Equal(t, begin(t, b, newKeyedCall("k", "deposit")).Verdict, Unknown)
		assert.Equal(t, begin(t, a, newKeyedCall("k", "deposit")).Verdict, Unknown)
	})
}

// A process may be handed over twice to the same successor if the first receipt
// was lost. The second list must not undo what the successor has run since.
func TestAdoptTwiceKeepsWhatRan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHandoverFixture(t)
		defer f.end()
		lostReply := &faultySuccessor{to: f.b, replyErr: errors.New("no reply")}
		assert.Assert(t, f.stopping.Handover(context.Background(), lostReply) != nil)
		c := mustRun(t, f.b, newKeyedCall(f.unused, "deposit"))
		assert.NilError(t, c.MarkDispatched())
		c.MarkLost()
		assert.NilError(t, f.stopping.Handover(context.Background(), &faultySuccessor{to: f.b}))
		assert.Equal(t, begin(t, f.b, newKeyedCall(f.unused, "deposit")).Verdict, Unknown)
	})
}

// The keeper is closed while a claim is in flight to the store. The call must
// not run, since it would run after the handover.
func TestClaimWrittenAfterClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		a, b := startTestNode(s, "a", nil), startTestNode(s, "b", nil)
		defer a.crash()
		defer b.crash()
		mustRun(t, a, newKeyedCall("warm", "up")).Release()
		time.Sleep(time.Second)
		gate := a.link.freeze()
		verdict := make(chan Verdict, 1)
		go func() { verdict <- begin(t, a, newKeyedCall("k", "deposit")).Verdict }()
		synctest.Wait()
		a.Close()
		a.link.set(func(l *storeLink) { l.gates = nil })
		close(gate)
		assert.Equal(t, <-verdict, NotRun)
		assert.NilError(t, a.Flush(context.Background()))
		mustRun(t, b, newKeyedCall("k", "deposit"))
	})
}

// The connection breaks in the middle of a handover. Nothing may be taken over:
// a used ticket that is missing from the records would run again.
func TestBrokenHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHandoverFixture(t)
		defer f.end()
		rs := f.stopping.records()
		_, err := f.b.Adopt(func(yield func(Record, error) bool) {
			_ = yield(rs[0], nil) && yield(Record{}, errors.New("connection reset"))
		})
		assert.ErrorIs(t, err, ErrNotAdopted)
		assert.Equal(t, begin(t, f.b, newKeyedCall(f.unused, "deposit")).Verdict, AskHolder)
		assert.Equal(t, len(f.b.Moves()), 0)
	})
}

// A caller retries at the successor during the handover, while its claim is in
// flight to the store. The answer that is handed over must not be dropped
// because of the pending claim, or the caller is answered as unknown from then
// on.
func TestRetryAtSuccessorDuringHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHandoverFixture(t)
		defer f.end()
		gate := f.b.link.freeze()
		verdict := make(chan Verdict, 1)
		go func() { verdict <- begin(t, f.b, newKeyedCall("k", "deposit")).Verdict }()
		synctest.Wait()
		assert.NilError(t, f.stopping.Handover(context.Background(), &faultySuccessor{to: f.b}))
		f.b.link.set(func(l *storeLink) { l.gates = nil })
		close(gate)
		assert.Equal(t, <-verdict, Replay)
		assert.Equal(t, begin(t, f.b, newKeyedCall("k", "deposit")).Verdict, Replay)
		assert.Equal(t, f.b.Counts().Calls, uint64(0))
		assert.DeepEqual(t, f.stopping.Moves(), []HolderMove{{Incarnation: "a-1", To: f.b.self()}})
	})
}

// The stopping node releases a claim and hands over shortly afterwards. A
// caller waits at the successor, whose view still shows the claim. It must not
// be answered as unknown, because the call never ran.
func TestReleaseJustBeforeHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		oneSlot := func(n *testNode) { n.SlotsPerRegion = 1 }
		a, b := startTestNode(s, "a", oneSlot), startTestNode(s, "b", func(n *testNode) { n.SlotsPerRegion, n.GroupWindow = 1, time.Second })
		defer a.crash()
		defer b.crash()
		c := mustRun(t, a, newKeyedCall("k", "deposit"))
		time.Sleep(time.Second)
		// The view that b reads here holds the claim. The next group of b comes
		// after the handover.
		mustRun(t, b, newKeyedCall("other", "x"))
		verdict := make(chan Verdict, 1)
		go func() { verdict <- begin(t, b, newKeyedCall("k", "deposit")).Verdict }()
		synctest.Wait()
		b.mu.Lock()
		slotB := b.slots[slotPrefix("irbid-a", 0)]
		slotB.opCount++ // like a write that started since
		slotB.lastReadOp = slotB.opCount
		b.mu.Unlock()
		c.Release()
		a.Close()
		assert.NilError(t, a.Flush(context.Background()))
		b.mu.Lock()
		queued := len(slotB.queue)
		b.mu.Unlock()
		assert.Equal(t, queued, 1)
		assert.NilError(t, a.Handover(context.Background(), &faultySuccessor{to: b}))
		assert.Assert(t, <-verdict != Unknown)
	})
}
