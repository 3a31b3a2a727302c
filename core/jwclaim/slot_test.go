package jwclaim

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// A write can take effect though its reply is lost, or after it was given up.
// Its caller waits a moment longer; one that waits no more must not leave the
// key claimed by a call that never ran, for every later press of it would be
// told unknown.
func TestWriteInDoubt(t *testing.T) {
	for name, fault := range map[string]func(l *storeLink){
		"reply lost":          func(l *storeLink) { l.loseReplies = 1 },
		"two replies lost":    func(l *storeLink) { l.loseReplies = 2 },
		"lands at once":       func(l *storeLink) { l.deferWrites = 1 },
		"lands after a while": func(l *storeLink) { l.deferWrites, l.deferBy = 1, 30*time.Millisecond },
		"lands much later":    func(l *storeLink) { l.deferWrites, l.deferBy = 1, 5*time.Second },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newFakeStore()
				oneSlot := func(n *testNode) { n.SlotsPerRegion = 1 }
				a, b := startNode(s, "a", oneSlot), startNode(s, "b", oneSlot)
				defer a.crash()
				defer b.crash()
				a.link.set(fault)
				c := mustRun(t, a, newAsk("k", "deposit"))
				assert.Equal(t, begin(t, b, newAsk("k", "deposit")).Verdict, Elsewhere)
				c.Release()
				time.Sleep(10 * time.Second)
				c = mustRun(t, b, newAsk("k", "deposit"))
				c.Release()
				time.Sleep(10 * time.Second)

				mustRun(t, a, newAsk("warm", "up")).Release()
				time.Sleep(time.Second)
				a.link.set(fault)
				ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
				defer cancel()
				d, err := a.Begin(ctx, newAsk("gone", "deposit"))
				assert.NilError(t, err)
				assert.Equal(t, d.Verdict, Unread)
				time.Sleep(10 * time.Second)
				mustRun(t, b, newAsk("gone", "deposit"))
			})
		})
	}
}

// With the store down or silent, a caller who waits for a claim would see the
// page hang. It is told at once that this call was not run, and nobody is told
// so of the key as such, which may have run before.
func TestStoreDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		a := startNode(s, "a", nil)
		defer a.crash()
		a.link.set(func(l *storeLink) { l.down = true })
		begun := time.Now()
		for range 50 {
			d := begin(t, a, newAsk("k", "deposit"))
			assert.Equal(t, d.Verdict, Unread)
			assert.Assert(t, d.RetryAfter > 0)
		}
		assert.Assert(t, time.Since(begun) < 500*time.Millisecond, "%v", time.Since(begun))
		c := mustRun(t, a, newAsk(mint(t, a), "deposit"))
		c.Finish(servedAnswer("paid"))
		a.link.set(func(l *storeLink) { l.down = false })
		time.Sleep(5 * time.Second)
		mustRun(t, a, newAsk("k", "deposit"))

		gate := a.link.freeze()
		begun = time.Now()
		assert.Equal(t, begin(t, a, newAsk("slow", "deposit")).Verdict, Unread)
		assert.Equal(t, time.Since(begun), a.ClaimTimeout)
		a.link.set(func(l *storeLink) { l.gates = nil })
		close(gate)
	})
}

// A process is paused between its view of the log and its write, for longer
// than the log lives: the segment it creates is one that the others used up
// and deleted. It takes its claim for written where nobody will look, and the
// key runs a second time at another node.
func TestWriteAfterPauseBeyondRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		smallSlot := func(n *testNode) { n.SlotsPerRegion, n.MaxSegmentRows, n.Memory = 1, 1, time.Minute }
		a, b := startNode(s, "a", smallSlot), startNode(s, "b", smallSlot)
		// A paused process finds its timer and the reply together when it wakes.
		a.ClaimTimeout = 2 * time.Hour
		defer a.crash()
		defer b.crash()
		mustRun(t, b, newAsk("warm", "up"))
		assert.Equal(t, begin(t, a, newAsk("warm", "up")).Verdict, Elsewhere)
		gate := a.link.freeze()
		got := make(chan Decision, 1)
		go func() {
			long := newAsk("k", "deposit")
			long.Memory = 5 * time.Hour
			d, _ := a.Begin(context.Background(), long)
			got <- d
		}()
		synctest.Wait()
		for i := range 30 {
			mustRun(t, b, newAsk(fmt.Sprint("k", i), "x"))
			time.Sleep(time.Minute)
		}
		mustRun(t, b, newAsk("k", "deposit"))
		a.link.set(func(l *storeLink) { l.gates = nil })
		close(gate)
		assert.Assert(t, (<-got).Verdict != Run)
		time.Sleep(10 * time.Second)
		assert.Equal(t, begin(t, a, newAsk("k", "deposit")).Verdict, Elsewhere)
		c := startNode(s, "c", smallSlot)
		defer c.crash()
		assert.Equal(t, begin(t, c, newAsk("k", "deposit")).Verdict, Elsewhere)
	})
}

// Documents of a slot have to stay small and go away, or the store fills up
// and refuses every claim.
func TestSegmentsAreDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		a := startNode(s, "a", func(n *testNode) { n.SlotsPerRegion, n.MaxSegmentRows, n.Memory = 1, 2, time.Minute })
		defer a.crash()
		for i := range 40 {
			mustRun(t, a, newAsk(fmt.Sprint("k", i), "x")).Finish(servedAnswer("paid"))
			time.Sleep(time.Second)
		}
		assert.Assert(t, len(s.list(slotsPrefix)) >= 20)
		time.Sleep(time.Hour)
		assert.Assert(t, len(s.list(slotsPrefix)) <= 2)
		mustRun(t, a, newAsk("k0", "x"))
	})
}

// A document that can't be read may hold the claim of the key that is asked
// for. Whoever skips it runs the key again.
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
				a := startNode(s, "a", func(n *testNode) { n.SlotsPerRegion = 1 })
				defer a.crash()
				s.swap(segmentKey(slotPrefix("irbid-a", 0), 1), []byte(value), 0)
				s.swap(segmentKey(slotPrefix("irbid-a", 0), 3), []byte(later), 0)
				assert.Equal(t, begin(t, a, newAsk("k", "deposit")).Verdict, Unread)
			})
		})
	}
}

// An answer that no longer fits in memory is forgotten; a press for it must
// not run the call again.
func TestEvictedAnswerIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		a, b := startNode(s, "a", func(n *testNode) { n.MaxAnswerBytes = 2 * callOverhead }), startNode(s, "b", nil)
		defer a.crash()
		defer b.crash()
		first := []string{"k", mint(t, a)}
		for _, key := range append(first, "k2", "k3", "k4") {
			c := mustRun(t, a, newAsk(key, "deposit"))
			assert.NilError(t, c.Dispatched())
			c.Finish(servedAnswer("paid"))
		}
		for _, key := range first {
			assert.Equal(t, begin(t, a, newAsk(key, "deposit")).Verdict, Unknown)
			assert.Equal(t, begin(t, b, newAsk(key, "deposit")).Verdict, Elsewhere)
		}
		assert.Assert(t, a.Counts().AnswerBytes <= 2*callOverhead)
	})
}

// A process sleeps with the right to run in its hand until the key is
// forgotten and runs elsewhere. When it wakes, the deposit would be charged a
// second time.
func TestDispatchAfterClaimExpired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		shortMemory := func(n *testNode) { n.Memory = time.Minute }
		a, b := startNode(s, "a", shortMemory), startNode(s, "b", shortMemory)
		defer a.crash()
		defer b.crash()
		c := mustRun(t, a, newAsk("k", "deposit"))
		time.Sleep(time.Hour)
		mustRun(t, b, newAsk("k", "deposit"))
		assert.ErrorIs(t, c.Dispatched(), ErrStale)
	})
}

// A release that is written late must free its own claim only, and not the one
// that another node has made since: that call may be running.
func TestLateRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		shortMemory := func(n *testNode) { n.Memory, n.SlotsPerRegion = time.Minute, 1 }
		a, b := startNode(s, "a", shortMemory), startNode(s, "b", shortMemory)
		defer a.crash()
		defer b.crash()
		c := mustRun(t, a, newAsk("k", "deposit"))
		time.Sleep(2 * time.Minute)
		mustRun(t, b, newAsk("k", "deposit"))
		c.Release()
		time.Sleep(time.Second)
		assert.Equal(t, begin(t, a, newAsk("k", "deposit")).Verdict, Elsewhere)

		// So must one that a successor writes for a node that is gone.
		successor := startNode(s, "c", shortMemory)
		defer successor.crash()
		_, err := successor.Adopt(func(yield func(Record, error) bool) {
			_ = yield(Record{Kind: ReleaseRecord, Key: &c.ref.key, Claim: &c.claim, Slot: c.slot.prefix}, nil) &&
				yield(Record{Kind: EndRecord, Count: 1}, nil)
		})
		assert.NilError(t, err)
		time.Sleep(time.Second)
		assert.Equal(t, begin(t, successor, newAsk("k", "deposit")).Verdict, Elsewhere)
	})
}

// Nodes that tend a quiet slot look at it every few minutes. If each look read
// the whole log, a night's idling would cost more than the day's work.
func TestIdleSlotIsNotListedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		a := startNode(s, "a", func(n *testNode) { n.SlotsPerRegion, n.MaxSegmentRows = 1, 2 })
		defer a.crash()
		for i := range 5 {
			mustRun(t, a, newAsk(fmt.Sprint("k", i), "x")).Finish(servedAnswer("paid"))
			time.Sleep(20 * time.Minute)
		}
		assert.Equal(t, s.lists, 1)
		assert.Equal(t, begin(t, a, newAsk("k4", "x")).Verdict, Replay)
	})
}

// A node that has not looked at a slot for hours finds something in the place
// of the segment it knew last, or before it: the leftover of a node that was
// paused. If it went on from there, it would miss all claims made since, and
// run one of their keys again.
func TestOldViewRejectsStraySegment(t *testing.T) {
	for name, rows := range map[string]int{
		"last segment was open":      2,
		"last segment was not there": 1,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newFakeStore()
				smallSlot := func(n *testNode) { n.SlotsPerRegion, n.MaxSegmentRows, n.Memory = 1, rows, time.Minute }
				a, b := startNode(s, "a", func(n *testNode) { smallSlot(n); n.SweepInterval = 100 * time.Hour }), startNode(s, "b", smallSlot)
				defer a.crash()
				defer b.crash()
				mustRun(t, a, newAsk("warm", "up"))
				at := a.slots[slotPrefix("irbid-a", 0)].view.lastNumber()
				for i := range 30 {
					mustRun(t, b, newAsk(fmt.Sprint("k", i), "x"))
					time.Sleep(time.Minute)
				}
				mustRun(t, b, newAsk("k", "deposit"))
				stray := document{Until: time.Now().Unix() - 1000}
				stray.Rows = []row{{ID: claimID{9}, Key: keyHash{9}, Holder: stray.holderIndex(Holder{Node: "z"}), Until: stray.Until}}
				value, err := encodeDocument(stray)
				assert.NilError(t, err)
				_, swapped := s.swap(segmentKey(slotPrefix("irbid-a", 0), at), value, 0)
				assert.Assert(t, swapped)
				assert.Equal(t, begin(t, a, newAsk("k", "deposit")).Verdict, Elsewhere)
			})
		})
	}
}

// A write hangs for most of a key's memory and then takes effect. A caller who
// presses just then would have its key forgotten within moments of the call, and
// the next press would run it again.
func TestDelayedClaimIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		oneSlot := func(n *testNode) { n.SlotsPerRegion = 1 }
		a, b := startNode(s, "a", oneSlot), startNode(s, "b", oneSlot)
		defer a.crash()
		defer b.crash()
		mustRun(t, a, newAsk("warm", "up")).Finish(servedAnswer("paid"))
		gate := a.link.freeze()
		assert.Equal(t, begin(t, a, newAsk("k", "deposit")).Verdict, Unread)
		time.Sleep(59 * time.Minute)
		got := make(chan Decision, 1)
		go func() { got <- begin(t, a, newAsk("k", "deposit")) }()
		synctest.Wait()
		a.link.set(func(l *storeLink) { l.gates = nil })
		close(gate)
		assert.Equal(t, (<-got).Verdict, NotRun)
		time.Sleep(time.Second)
		mustRun(t, a, newAsk("k", "deposit")).Finish(servedAnswer("paid"))
		time.Sleep(59 * time.Minute)
		assert.Equal(t, begin(t, b, newAsk("k", "deposit")).Verdict, Elsewhere)
	})
}
