package jwclaim

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// A write can take effect although its reply is lost or the node gave up on it.
// A caller that still waits gets the right to run a moment later. If no caller
// waits any more, the key must not stay claimed by a call that never ran, or
// every retry would be answered as unknown.
func TestUncertainWrite(t *testing.T) {
	for name, fault := range map[string]func(l *storeLink){
		"reply lost":                 func(l *storeLink) { l.loseReplies = 1 },
		"two replies lost":           func(l *storeLink) { l.loseReplies = 2 },
		"takes effect at once":       func(l *storeLink) { l.deferWrites = 1 },
		"takes effect after a while": func(l *storeLink) { l.deferWrites, l.deferBy = 1, 30*time.Millisecond },
		"takes effect much later":    func(l *storeLink) { l.deferWrites, l.deferBy = 1, 5*time.Second },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newFakeStore()
				oneSlot := func(n *testNode) { n.SlotsPerRegion = 1 }
				a, b := startTestNode(s, "a", oneSlot), startTestNode(s, "b", oneSlot)
				defer a.crash()
				defer b.crash()
				a.link.set(fault)
				c := mustRun(t, a, newKeyedCall("k", "deposit"))
				assert.Equal(t, begin(t, b, newKeyedCall("k", "deposit")).Verdict, AskHolder)
				c.Release()
				time.Sleep(10 * time.Second)
				c = mustRun(t, b, newKeyedCall("k", "deposit"))
				c.Release()
				time.Sleep(10 * time.Second)

				mustRun(t, a, newKeyedCall("warm", "up")).Release()
				time.Sleep(time.Second)
				a.link.set(fault)
				ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
				defer cancel()
				d, err := a.Begin(ctx, newKeyedCall("gone", "deposit"))
				assert.NilError(t, err)
				assert.Equal(t, d.Verdict, ClaimsUnreadable)
				time.Sleep(10 * time.Second)
				mustRun(t, b, newKeyedCall("gone", "deposit"))
			})
		})
	}
}

// While the store is down or does not reply, callers must not wait for long.
// They are answered that this call did not run, which says nothing about
// earlier calls with the key.
func TestStoreDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		a := startTestNode(s, "a", nil)
		defer a.crash()
		a.link.set(func(l *storeLink) { l.down = true })
		begun := time.Now()
		for range 50 {
			d := begin(t, a, newKeyedCall("k", "deposit"))
			assert.Equal(t, d.Verdict, ClaimsUnreadable)
			assert.Assert(t, d.RetryAfter > 0)
		}
		assert.Assert(t, time.Since(begun) < 500*time.Millisecond, "%v", time.Since(begun))
		c := mustRun(t, a, newKeyedCall(mint(t, a), "deposit"))
		c.Finish(servedAnswer("paid"))
		a.link.set(func(l *storeLink) { l.down = false })
		time.Sleep(5 * time.Second)
		mustRun(t, a, newKeyedCall("k", "deposit"))

		gate := a.link.freeze()
		begun = time.Now()
		assert.Equal(t, begin(t, a, newKeyedCall("slow", "deposit")).Verdict, ClaimsUnreadable)
		assert.Equal(t, time.Since(begun), a.ClaimTimeout)
		a.link.set(func(l *storeLink) { l.gates = nil })
		close(gate)
	})
}

// A process is paused between reading the log and writing to it, for longer
// than segments are kept. The segment that it creates is one that the other
// nodes filled and deleted, so that no node looks for its claim there. The
// claim must not count, or the key runs a second time on another node.
func TestWriteAfterPauseBeyondRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		smallSlot := func(n *testNode) { n.SlotsPerRegion, n.MaxSegmentRows, n.KeyMemory = 1, 1, time.Minute }
		a, b := startTestNode(s, "a", smallSlot), startTestNode(s, "b", smallSlot)
		// A paused process finds its timer and the reply together when it
		// resumes.
		a.ClaimTimeout = 2 * time.Hour
		defer a.crash()
		defer b.crash()
		mustRun(t, b, newKeyedCall("warm", "up"))
		assert.Equal(t, begin(t, a, newKeyedCall("warm", "up")).Verdict, AskHolder)
		gate := a.link.freeze()
		got := make(chan Decision, 1)
		go func() {
			long := newKeyedCall("k", "deposit")
			long.KeyMemory = 5 * time.Hour
			d, _ := a.Begin(context.Background(), long)
			got <- d
		}()
		synctest.Wait()
		for i := range 30 {
			mustRun(t, b, newKeyedCall(fmt.Sprint("k", i), "x"))
			time.Sleep(time.Minute)
		}
		mustRun(t, b, newKeyedCall("k", "deposit"))
		a.link.set(func(l *storeLink) { l.gates = nil })
		close(gate)
		assert.Assert(t, (<-got).Verdict != Run)
		time.Sleep(10 * time.Second)
		assert.Equal(t, begin(t, a, newKeyedCall("k", "deposit")).Verdict, AskHolder)
		c := startTestNode(s, "c", smallSlot)
		defer c.crash()
		assert.Equal(t, begin(t, c, newKeyedCall("k", "deposit")).Verdict, AskHolder)
	})
}

// Segments must be deleted after their claims have expired, or the store fills
// up and every claim fails.
func TestSegmentsAreDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		a := startTestNode(s, "a", func(n *testNode) { n.SlotsPerRegion, n.MaxSegmentRows, n.KeyMemory = 1, 2, time.Minute })
		defer a.crash()
		for i := range 40 {
			mustRun(t, a, newKeyedCall(fmt.Sprint("k", i), "x")).Finish(servedAnswer("paid"))
			time.Sleep(time.Second)
		}
		assert.Assert(t, len(s.list(slotsPrefix)) >= 20)
		time.Sleep(time.Hour)
		assert.Assert(t, len(s.list(slotsPrefix)) <= 2)
		mustRun(t, a, newKeyedCall("k0", "x"))
	})
}

// A document that can't be read may hold the claim of the requested key.
// Skipping it would run the key again.
func TestUnreadableDocument(t *testing.T) {
	const later = `{"format":1,"until":4000000000,"sealed":true}`
	for name, value := range map[string]string{
		"hole after it":  later,
		"not JSON":       `{`,
		"short id":       `{"format":1,"until":0,"rows":[{"id":"AAAAAAAAAAAAAA\\nB","release":true}]}`,
		"newer format":   `{"format":2,"until":0}`,
		"unknown holder": `{"format":1,"until":0,"rows":[{"id":"AAAAAAAAAAAAAAAB","key":"AAAAAAAAAAAAAAAAAAAAAA","body":"AAAAAAAAAAAAAAAA","holder":3}]}`,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newFakeStore()
				a := startTestNode(s, "a", func(n *testNode) { n.SlotsPerRegion = 1 })
				defer a.crash()
				s.swap(segmentKey(slotPrefix("irbid-a", 0), 1), []byte(value), 0)
				s.swap(segmentKey(slotPrefix("irbid-a", 0), 3), []byte(later), 0)
				assert.Equal(t, begin(t, a, newKeyedCall("k", "deposit")).Verdict, ClaimsUnreadable)
			})
		})
	}
}

// An answer that exceeds MaxAnswerBytes is evicted. A retry must not run the
// call again.
func TestEvictedAnswerIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		a, b := startTestNode(s, "a", func(n *testNode) { n.MaxAnswerBytes = 2 * callOverhead }), startTestNode(s, "b", nil)
		defer a.crash()
		defer b.crash()
		first := []string{"k", mint(t, a)}
		for _, key := range append(first, "k2", "k3", "k4") {
			c := mustRun(t, a, newKeyedCall(key, "deposit"))
			assert.NilError(t, c.MarkDispatched())
			c.Finish(servedAnswer("paid"))
		}
		for _, key := range first {
			assert.Equal(t, begin(t, a, newKeyedCall(key, "deposit")).Verdict, Unknown)
			assert.Equal(t, begin(t, b, newKeyedCall(key, "deposit")).Verdict, AskHolder)
		}
		assert.Assert(t, a.Counts().AnswerBytes <= 2*callOverhead)
	})
}

// A process is paused between its claim and the dispatch until the claim has
// expired and the key has run on another node. When it resumes, it must not run
// the key a second time.
func TestDispatchAfterClaimExpired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		shortMemory := func(n *testNode) { n.KeyMemory = time.Minute }
		a, b := startTestNode(s, "a", shortMemory), startTestNode(s, "b", shortMemory)
		defer a.crash()
		defer b.crash()
		c := mustRun(t, a, newKeyedCall("k", "deposit"))
		time.Sleep(time.Hour)
		mustRun(t, b, newKeyedCall("k", "deposit"))
		assert.ErrorIs(t, c.MarkDispatched(), ErrStale)
	})
}

// A release that is written late must remove only its own claim, not a later
// one by another node, whose call may be running.
func TestLateRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		shortMemory := func(n *testNode) { n.KeyMemory, n.SlotsPerRegion = time.Minute, 1 }
		a, b := startTestNode(s, "a", shortMemory), startTestNode(s, "b", shortMemory)
		defer a.crash()
		defer b.crash()
		c := mustRun(t, a, newKeyedCall("k", "deposit"))
		time.Sleep(2 * time.Minute)
		mustRun(t, b, newKeyedCall("k", "deposit"))
		c.Release()
		time.Sleep(time.Second)
		assert.Equal(t, begin(t, a, newKeyedCall("k", "deposit")).Verdict, AskHolder)

		// The same holds for a release that a successor writes for a process
		// that is gone.
		successor := startTestNode(s, "c", shortMemory)
		defer successor.crash()
		_, err := successor.Adopt(func(yield func(Record, error) bool) {
			_ = yield(Record{Kind: ReleaseRecord, Key: &c.ref.key, Claim: &c.claim, Slot: c.slot.prefix}, nil) &&
				yield(Record{Kind: EndRecord, Count: 1}, nil)
		})
		assert.NilError(t, err)
		time.Sleep(time.Second)
		assert.Equal(t, begin(t, successor, newKeyedCall("k", "deposit")).Verdict, AskHolder)
	})
}

// Nodes look at their preferred slots every few minutes. Listing the whole log
// each time would cost more on idle slots than the claims themselves.
func TestIdleSlotIsNotListedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		a := startTestNode(s, "a", func(n *testNode) { n.SlotsPerRegion, n.MaxSegmentRows = 1, 2 })
		defer a.crash()
		for i := range 5 {
			mustRun(t, a, newKeyedCall(fmt.Sprint("k", i), "x")).Finish(servedAnswer("paid"))
			time.Sleep(20 * time.Minute)
		}
		assert.Equal(t, s.lists, 1)
		assert.Equal(t, begin(t, a, newKeyedCall("k4", "x")).Verdict, Replay)
	})
}

// A node that has not read a slot for hours finds a stray segment, created by a
// paused node, under the number of the last segment that it knows or of the one
// after it. If it continued from there, it would miss all claims made since and
// run one of their keys again.
func TestOldViewRejectsStraySegment(t *testing.T) {
	for name, rows := range map[string]int{
		"last segment was open":      2,
		"last segment was not there": 1,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newFakeStore()
				smallSlot := func(n *testNode) { n.SlotsPerRegion, n.MaxSegmentRows, n.KeyMemory = 1, rows, time.Minute }
				a, b := startTestNode(s, "a", func(n *testNode) { smallSlot(n); n.SweepInterval = 100 * time.Hour }), startTestNode(s, "b", smallSlot)
				defer a.crash()
				defer b.crash()
				mustRun(t, a, newKeyedCall("warm", "up"))
				at := a.slots[slotPrefix("irbid-a", 0)].view.lastNumber()
				for i := range 30 {
					mustRun(t, b, newKeyedCall(fmt.Sprint("k", i), "x"))
					time.Sleep(time.Minute)
				}
				mustRun(t, b, newKeyedCall("k", "deposit"))
				stray := document{Until: time.Now().Unix() - 1000}
				stray.Rows = []row{{ID: claimID{9}, Key: keyHash{9}, Holder: stray.holderIndex(Holder{Node: "z"}), Until: stray.Until}}
				value, err := encodeDocument(stray)
				assert.NilError(t, err)
				_, swapped := s.swap(segmentKey(slotPrefix("irbid-a", 0), at), value, 0)
				assert.Assert(t, swapped)
				assert.Equal(t, begin(t, a, newKeyedCall("k", "deposit")).Verdict, AskHolder)
			})
		})
	}
}

// A write is delayed for most of a key's memory and then takes effect. A caller
// that comes at that moment must not use this claim: the key would expire soon
// after the call, and the next retry would run it again.
func TestDelayedClaimIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		oneSlot := func(n *testNode) { n.SlotsPerRegion = 1 }
		a, b := startTestNode(s, "a", oneSlot), startTestNode(s, "b", oneSlot)
		defer a.crash()
		defer b.crash()
		mustRun(t, a, newKeyedCall("warm", "up")).Finish(servedAnswer("paid"))
		gate := a.link.freeze()
		assert.Equal(t, begin(t, a, newKeyedCall("k", "deposit")).Verdict, ClaimsUnreadable)
		time.Sleep(59 * time.Minute)
		got := make(chan Decision, 1)
		go func() { got <- begin(t, a, newKeyedCall("k", "deposit")) }()
		synctest.Wait()
		a.link.set(func(l *storeLink) { l.gates = nil })
		close(gate)
		assert.Equal(t, (<-got).Verdict, NotRun)
		time.Sleep(time.Second)
		mustRun(t, a, newKeyedCall("k", "deposit")).Finish(servedAnswer("paid"))
		time.Sleep(59 * time.Minute)
		assert.Equal(t, begin(t, b, newKeyedCall("k", "deposit")).Verdict, AskHolder)
	})
}
