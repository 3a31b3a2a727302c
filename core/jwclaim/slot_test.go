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
	for name, fault := range map[string]func(l *link){
		"reply lost":          func(l *link) { l.lose = 1 },
		"two replies lost":    func(l *link) { l.lose = 2 },
		"lands at once":       func(l *link) { l.late = 1 },
		"lands after a while": func(l *link) { l.late, l.by = 1, 30*time.Millisecond },
		"lands much later":    func(l *link) { l.late, l.by = 1, 5*time.Second },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newFakeStore()
				one := func(n *node) { n.Slots = 1 }
				a, b := start(s, "a", one), start(s, "b", one)
				defer a.end()
				defer b.end()
				a.link.set(fault)
				c := run(t, a, own("k", "deposit"))
				assert.Equal(t, press(t, b, own("k", "deposit")).Verdict, Elsewhere)
				c.Release()
				time.Sleep(10 * time.Second)
				c = run(t, b, own("k", "deposit"))
				c.Release()
				time.Sleep(10 * time.Second)

				run(t, a, own("warm", "up")).Release()
				time.Sleep(time.Second)
				a.link.set(fault)
				ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
				defer cancel()
				d, err := a.Begin(ctx, own("gone", "deposit"))
				assert.NilError(t, err)
				assert.Equal(t, d.Verdict, Unread)
				time.Sleep(10 * time.Second)
				run(t, b, own("gone", "deposit"))
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
		a := start(s, "a", nil)
		defer a.end()
		a.link.set(func(l *link) { l.down = true })
		began := time.Now()
		for range 50 {
			d := press(t, a, own("k", "deposit"))
			assert.Equal(t, d.Verdict, Unread)
			assert.Assert(t, d.RetryAfter > 0)
		}
		assert.Assert(t, time.Since(began) < 500*time.Millisecond, "%v", time.Since(began))
		c := run(t, a, own(mint(t, a), "deposit"))
		c.Finish(served("paid"))
		a.link.set(func(l *link) { l.down = false })
		time.Sleep(5 * time.Second)
		run(t, a, own("k", "deposit"))

		gate := a.link.freeze()
		began = time.Now()
		assert.Equal(t, press(t, a, own("slow", "deposit")).Verdict, Unread)
		assert.Equal(t, time.Since(began), a.ClaimWait)
		a.link.set(func(l *link) { l.gates = nil })
		close(gate)
	})
}

// A process is paused between its view of the log and its write, for longer
// than the log lives: the segment it creates is one that the others used up
// and deleted. It takes its claim for written where nobody will look, and the
// key runs a second time at another node.
func TestPausedPastTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		few := func(n *node) { n.Slots, n.SegmentRows, n.Memory = 1, 1, time.Minute }
		a, b := start(s, "a", few), start(s, "b", few)
		// A paused process finds its timer and the reply together when it wakes.
		a.ClaimWait = 2 * time.Hour
		defer a.end()
		defer b.end()
		run(t, b, own("warm", "up"))
		assert.Equal(t, press(t, a, own("warm", "up")).Verdict, Elsewhere)
		gate := a.link.freeze()
		got := make(chan Decision, 1)
		go func() {
			long := own("k", "deposit")
			long.Memory = 5 * time.Hour
			d, _ := a.Begin(context.Background(), long)
			got <- d
		}()
		synctest.Wait()
		for i := range 30 {
			run(t, b, own(fmt.Sprint("k", i), "x"))
			time.Sleep(time.Minute)
		}
		run(t, b, own("k", "deposit"))
		a.link.set(func(l *link) { l.gates = nil })
		close(gate)
		assert.Assert(t, (<-got).Verdict != Run)
		time.Sleep(10 * time.Second)
		assert.Equal(t, press(t, a, own("k", "deposit")).Verdict, Elsewhere)
		c := start(s, "c", few)
		defer c.end()
		assert.Equal(t, press(t, c, own("k", "deposit")).Verdict, Elsewhere)
	})
}

// Documents of a slot have to stay small and go away, or the store fills up
// and refuses every claim.
func TestSegmentsAreDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		a := start(s, "a", func(n *node) { n.Slots, n.SegmentRows, n.Memory = 1, 2, time.Minute })
		defer a.end()
		for i := range 40 {
			run(t, a, own(fmt.Sprint("k", i), "x")).Finish(served("paid"))
			time.Sleep(time.Second)
		}
		assert.Assert(t, len(s.list(slotsPrefix)) >= 20)
		time.Sleep(time.Hour)
		assert.Assert(t, len(s.list(slotsPrefix)) <= 2)
		run(t, a, own("k0", "x"))
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
				a := start(s, "a", func(n *node) { n.Slots = 1 })
				defer a.end()
				s.swap(segmentKey(slotPrefix("irbid-a", 0), 1), []byte(value), 0)
				s.swap(segmentKey(slotPrefix("irbid-a", 0), 3), []byte(later), 0)
				assert.Equal(t, press(t, a, own("k", "deposit")).Verdict, Unread)
			})
		})
	}
}

// An answer that no longer fits in memory is forgotten; a press for it must
// not run the call again.
func TestEvictedAnswerIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		a, b := start(s, "a", func(n *node) { n.AnswerBytes = 2 * callOverhead }), start(s, "b", nil)
		defer a.end()
		defer b.end()
		first := []string{"k", mint(t, a)}
		for _, key := range append(first, "k2", "k3", "k4") {
			c := run(t, a, own(key, "deposit"))
			assert.NilError(t, c.Dispatched())
			c.Finish(served("paid"))
		}
		for _, key := range first {
			assert.Equal(t, press(t, a, own(key, "deposit")).Verdict, Unknown)
			assert.Equal(t, press(t, b, own(key, "deposit")).Verdict, Elsewhere)
		}
		assert.Assert(t, a.Counts().AnswerBytes <= 2*callOverhead)
	})
}

// A process sleeps with the right to run in its hand until the key is
// forgotten and runs elsewhere. When it wakes, the deposit would be charged a
// second time.
func TestStaleRightToRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		short := func(n *node) { n.Memory = time.Minute }
		a, b := start(s, "a", short), start(s, "b", short)
		defer a.end()
		defer b.end()
		c := run(t, a, own("k", "deposit"))
		time.Sleep(time.Hour)
		run(t, b, own("k", "deposit"))
		assert.ErrorIs(t, c.Dispatched(), ErrStale)
	})
}

// A release that is written late must free its own claim only, and not the one
// that another node has made since: that call may be running.
func TestLateRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		short := func(n *node) { n.Memory, n.Slots = time.Minute, 1 }
		a, b := start(s, "a", short), start(s, "b", short)
		defer a.end()
		defer b.end()
		c := run(t, a, own("k", "deposit"))
		time.Sleep(2 * time.Minute)
		run(t, b, own("k", "deposit"))
		c.Release()
		time.Sleep(time.Second)
		assert.Equal(t, press(t, a, own("k", "deposit")).Verdict, Elsewhere)

		// So must one that a successor writes for a node that is gone.
		heir := start(s, "c", short)
		defer heir.end()
		_, err := heir.Adopt(func(yield func(Record, error) bool) {
			_ = yield(Record{Kind: ReleaseRecord, Key: &c.ref.key, Claim: &c.claim, Slot: c.slot.prefix}, nil) &&
				yield(Record{Kind: EndRecord, Count: 1}, nil)
		})
		assert.NilError(t, err)
		time.Sleep(time.Second)
		assert.Equal(t, press(t, heir, own("k", "deposit")).Verdict, Elsewhere)
	})
}

// Nodes that tend a quiet slot look at it every few minutes. If each look read
// the whole log, a night's idling would cost more than the day's work.
func TestIdleSlotIsNotReadWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		a := start(s, "a", func(n *node) { n.Slots, n.SegmentRows = 1, 2 })
		defer a.end()
		for i := range 5 {
			run(t, a, own(fmt.Sprint("k", i), "x")).Finish(served("paid"))
			time.Sleep(20 * time.Minute)
		}
		assert.Equal(t, s.lists, 1)
		assert.Equal(t, press(t, a, own("k4", "x")).Verdict, Replay)
	})
}

// A node that has not looked at a slot for hours finds something in the place
// of the segment it knew last, or before it: the leftover of a node that was
// paused. If it went on from there, it would miss all claims made since, and
// run one of their keys again.
func TestOldViewMeetsStray(t *testing.T) {
	for name, rows := range map[string]int{
		"last segment was open":      2,
		"last segment was not there": 1,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newFakeStore()
				few := func(n *node) { n.Slots, n.SegmentRows, n.Memory = 1, rows, time.Minute }
				a, b := start(s, "a", func(n *node) { few(n); n.Sweep = 100 * time.Hour }), start(s, "b", few)
				defer a.end()
				defer b.end()
				run(t, a, own("warm", "up"))
				at := a.slots[slotPrefix("irbid-a", 0)].view.last()
				for i := range 30 {
					run(t, b, own(fmt.Sprint("k", i), "x"))
					time.Sleep(time.Minute)
				}
				run(t, b, own("k", "deposit"))
				stray := document{Until: time.Now().Unix() - 1000}
				stray.Rows = []row{{ID: claimID{9}, Key: keyHash{9}, Holder: stray.holder(Holder{Node: "z"}), Until: stray.Until}}
				value, err := encodeDocument(stray)
				assert.NilError(t, err)
				_, swapped := s.swap(segmentKey(slotPrefix("irbid-a", 0), at), value, 0)
				assert.Assert(t, swapped)
				assert.Equal(t, press(t, a, own("k", "deposit")).Verdict, Elsewhere)
			})
		})
	}
}

// A write hangs for most of a key's memory and then takes effect. A caller who
// presses just then would have its key forgotten within moments of the call, and
// the next press would run it again.
func TestClaimThatHungIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		one := func(n *node) { n.Slots = 1 }
		a, b := start(s, "a", one), start(s, "b", one)
		defer a.end()
		defer b.end()
		run(t, a, own("warm", "up")).Finish(served("paid"))
		gate := a.link.freeze()
		assert.Equal(t, press(t, a, own("k", "deposit")).Verdict, Unread)
		time.Sleep(59 * time.Minute)
		got := make(chan Decision, 1)
		go func() { got <- press(t, a, own("k", "deposit")) }()
		synctest.Wait()
		a.link.set(func(l *link) { l.gates = nil })
		close(gate)
		assert.Equal(t, (<-got).Verdict, NotRun)
		time.Sleep(time.Second)
		run(t, a, own("k", "deposit")).Finish(served("paid"))
		time.Sleep(59 * time.Minute)
		assert.Equal(t, press(t, b, own("k", "deposit")).Verdict, Elsewhere)
	})
}
