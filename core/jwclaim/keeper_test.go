package jwclaim

import (
	"context"
	"crypto/sha256"
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
		assert.Equal(t, press(t, a, own(ticket+"A", "deposit")).Verdict, Refused)
		assert.Equal(t, s.writes, 0)
	})
}
