package jwclaim

import (
	"context"
	"crypto/sha256"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"jujubewheel/core/jwrequest"
)

// node is one keeper with its way to the store, running in a test.
type node struct {
	*Keeper
	link *link
	stop context.CancelFunc
	done sync.WaitGroup
}

func start(s *fakeStore, name string, change func(n *node)) *node {
	n := &node{link: &link{s: s, trip: time.Millisecond}}
	n.Keeper = &Keeper{
		Store:       n.link,
		Node:        name,
		Region:      "irbid-a",
		Incarnation: name + "-1",
		Salt:        []byte("salt"),
	}
	if change != nil {
		change(n)
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	n.done.Go(func() { _ = n.Run(ctx) })
	synctest.Wait()
	return n
}

// end stops the node as a crash would: nothing is flushed.
func (n *node) end() {
	n.stop()
	n.done.Wait()
}

func own(key, body string) Ask {
	return Ask{Workspace: "hall", Region: "irbid-a", Key: key, Body: sha256.Sum256([]byte(body))}
}

func press(t *testing.T, n *node, a Ask) Decision {
	t.Helper()
	d, err := n.Begin(context.Background(), a)
	assert.NilError(t, err)
	return d
}

func run(t *testing.T, n *node, a Ask) *Call {
	t.Helper()
	d := press(t, n, a)
	assert.Equal(t, d.Verdict, Run)
	return d.Call
}

func served(text string) Answer {
	return Answer{Status: 200, ContentType: "application/json", Body: []byte(text), Outcome: jwrequest.Served, Region: "irbid-a"}
}

func TestOwnKeyRunsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		a, b := start(s, "a", nil), start(s, "b", nil)
		defer a.end()
		defer b.end()
		c := run(t, a, own("k", "deposit"))
		assert.Equal(t, press(t, a, own("k", "deposit")).Call, c)
		assert.Equal(t, press(t, a, own("k", "other")).Verdict, Mismatch)
		assert.Equal(t, press(t, b, own("k", "other")).Verdict, Mismatch)
		d := press(t, b, own("k", "deposit"))
		assert.Equal(t, d.Verdict, Elsewhere)
		assert.Equal(t, d.Holder, a.self())
		assert.NilError(t, c.Dispatched())
		c.Finish(served("paid"))
		d = press(t, a, own("k", "deposit"))
		assert.Equal(t, d.Verdict, Replay)
		assert.DeepEqual(t, d.Answer, served("paid"))
	})
}

func TestReleaseFreesTheKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		a, b := start(s, "a", nil), start(s, "b", nil)
		defer a.end()
		defer b.end()
		c := run(t, a, own("k", "deposit"))
		c.Release()
		time.Sleep(time.Second)
		run(t, b, own("k", "deposit"))
		assert.Equal(t, press(t, a, own("k", "deposit")).Verdict, Elsewhere)
		assert.ErrorIs(t, c.Dispatched(), ErrSettled)
	})
}

func TestTicketRunsAtItsNodeAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		a, b := start(s, "a", nil), start(s, "b", nil)
		defer a.end()
		defer b.end()
		ticket, err := a.Mint()
		assert.NilError(t, err)
		d := press(t, b, own(ticket, "deposit"))
		assert.Equal(t, d.Verdict, Elsewhere)
		assert.Equal(t, d.Holder, a.self())
		c := run(t, a, own(ticket, "deposit"))
		assert.Equal(t, press(t, a, own(ticket, "deposit")).Verdict, Join)
		c.Finish(served("paid"))
		assert.Equal(t, press(t, a, own(ticket, "deposit")).Verdict, Replay)
		assert.Equal(t, s.writes, 0)
	})
}

// Someone makes up a ticket, or alters the serial of one, to have a call run
// under a key that was never handed out. Nothing may run for it.
func TestForgedTickets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := start(newFakeStore(), "a", nil)
		defer a.end()
		ticket := mint(t, a)
		for name, forged := range map[string]string{
			"longer":         ticket + "A",
			"shorter":        ticket[:len(ticket)-1],
			"empty":          ticketPrefix,
			"too long":       ticketPrefix + strings.Repeat("A", ticketMax),
			"other secret":   sealTicket([]byte("guess"), Ticket{Holder: a.self(), Serial: 1}),
			"not handed out": sealTicket(a.ticketSecret, Ticket{Holder: a.self(), Serial: 2}),
			"no serial":      sealTicket(a.ticketSecret, Ticket{Holder: a.self()}),
		} {
			assert.Equal(t, press(t, a, own(forged, "deposit")).Verdict, Refused, name)
		}
		other := own(ticket, "deposit")
		other.Workspace = "other"
		run(t, a, own(ticket, "deposit")).Finish(served("paid"))
		assert.Equal(t, press(t, a, other).Verdict, Mismatch)
	})
}

// A caller's mistake is told as such, before anything is written.
func TestAskErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := start(newFakeStore(), "a", nil)
		defer a.end()
		for name, tc := range map[string]struct {
			ask Ask
			err error
		}{
			"no key":    {Ask{Region: "irbid-a"}, ErrKey},
			"long key":  {Ask{Region: "irbid-a", Key: strings.Repeat("k", keyMax+1)}, ErrKey},
			"no region": {Ask{Key: "k"}, ErrRegion},
		} {
			_, err := a.Begin(t.Context(), tc.ask)
			assert.ErrorIs(t, err, tc.err, name)
		}
	})
}

// If most keys changed their node whenever one came or went, every change of
// the fleet would set many nodes writing the same slots.
func TestPreferredStaysPut(t *testing.T) {
	nodes := []string{"a", "b", "c", "d", "e"}
	moved := 0
	for i := range 1000 {
		prefix := slotPrefix("irbid-a", i)
		before := preferred(prefix, nodes)
		after := preferred(prefix, nodes[:4])
		if before != "e" && before != after {
			moved++
		}
	}
	assert.Equal(t, moved, 0)
	assert.Equal(t, preferred("x", nil), "")
}

// The listener may be up a moment before the keeper. A caller of that moment
// must be told nothing that is not known, and nothing may run.
func TestBeforeRun(t *testing.T) {
	k := &Keeper{Store: &link{s: newFakeStore()}, Node: "a", Region: "irbid-a", Incarnation: "a-1", Salt: []byte("salt")}
	d, err := k.Begin(t.Context(), own("k", "deposit"))
	assert.NilError(t, err)
	assert.Equal(t, d.Verdict, Unread)
	d, err = k.Begin(t.Context(), own(sealTicket(k.ticketSecret, Ticket{Holder: k.self(), Serial: 1}), "deposit"))
	assert.NilError(t, err)
	assert.Equal(t, d.Verdict, Unknown)
	_, err = k.Mint()
	assert.ErrorContains(t, err, "does not take new calls")
	assert.ErrorContains(t, (&Keeper{}).Run(t.Context()), "must be set")
}
