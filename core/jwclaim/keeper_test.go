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

// testNode is a running keeper with its connection to the store.
type testNode struct {
	*Keeper
	link      *storeLink
	cancelRun context.CancelFunc
	done      sync.WaitGroup
}

func startTestNode(s *fakeStore, name string, configure func(n *testNode)) *testNode {
	n := &testNode{link: &storeLink{store: s, oneWayDelay: time.Millisecond}}
	n.Keeper = &Keeper{
		Store:       n.link,
		Node:        name,
		Region:      "irbid-a",
		Incarnation: name + "-1",
		Salt:        []byte("salt"),
	}
	if configure != nil {
		configure(n)
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.cancelRun = cancel
	n.done.Go(func() { _ = n.Run(ctx) })
	synctest.Wait()
	return n
}

// crash stops the node without writing or handing over anything.
func (n *testNode) crash() {
	n.cancelRun()
	n.done.Wait()
}

func newKeyedCall(key, body string) KeyedCall {
	return KeyedCall{Workspace: "hall", Region: "irbid-a", Key: key, Body: sha256.Sum256([]byte(body))}
}

func begin(t *testing.T, n *testNode, a KeyedCall) Decision {
	t.Helper()
	d, err := n.Begin(context.Background(), a)
	assert.NilError(t, err)
	return d
}

func mustRun(t *testing.T, n *testNode, a KeyedCall) *Call {
	t.Helper()
	d := begin(t, n, a)
	assert.Equal(t, d.Verdict, Run)
	return d.Call
}

func servedAnswer(text string) Answer {
	return Answer{Status: 200, ContentType: "application/json", Body: []byte(text), Outcome: jwrequest.Served, Region: "irbid-a"}
}

func TestCallerKeyRunsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		a, b := startTestNode(s, "a", nil), startTestNode(s, "b", nil)
		defer a.crash()
		defer b.crash()
		c := mustRun(t, a, newKeyedCall("k", "deposit"))
		assert.Equal(t, begin(t, a, newKeyedCall("k", "deposit")).Call, c)
		assert.Equal(t, begin(t, a, newKeyedCall("k", "other")).Verdict, Mismatch)
		assert.Equal(t, begin(t, b, newKeyedCall("k", "other")).Verdict, Mismatch)
		d := begin(t, b, newKeyedCall("k", "deposit"))
		assert.Equal(t, d.Verdict, AskHolder)
		assert.Equal(t, d.Holder, a.self())
		assert.NilError(t, c.MarkDispatched())
		c.Finish(servedAnswer("paid"))
		d = begin(t, a, newKeyedCall("k", "deposit"))
		assert.Equal(t, d.Verdict, Replay)
		assert.DeepEqual(t, d.Answer, servedAnswer("paid"))
	})
}

func TestReleaseFreesTheKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		a, b := startTestNode(s, "a", nil), startTestNode(s, "b", nil)
		defer a.crash()
		defer b.crash()
		c := mustRun(t, a, newKeyedCall("k", "deposit"))
		c.Release()
		time.Sleep(time.Second)
		mustRun(t, b, newKeyedCall("k", "deposit"))
		assert.Equal(t, begin(t, a, newKeyedCall("k", "deposit")).Verdict, AskHolder)
		assert.ErrorIs(t, c.MarkDispatched(), ErrSettled)
	})
}

func TestTicketRunsOnlyAtItsNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		a, b := startTestNode(s, "a", nil), startTestNode(s, "b", nil)
		defer a.crash()
		defer b.crash()
		ticket, err := a.Mint()
		assert.NilError(t, err)
		d := begin(t, b, newKeyedCall(ticket, "deposit"))
		assert.Equal(t, d.Verdict, AskHolder)
		assert.Equal(t, d.Holder, a.self())
		c := mustRun(t, a, newKeyedCall(ticket, "deposit"))
		assert.Equal(t, begin(t, a, newKeyedCall(ticket, "deposit")).Verdict, Join)
		c.Finish(servedAnswer("paid"))
		assert.Equal(t, begin(t, a, newKeyedCall(ticket, "deposit")).Verdict, Replay)
		assert.Equal(t, s.writes, 0)
	})
}

// A caller makes up a ticket or changes the serial of one, to run a call under
// a key that was never minted. No such call may run.
func TestForgedTickets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := startTestNode(newFakeStore(), "a", nil)
		defer a.crash()
		ticket := mint(t, a)
		for name, forged := range map[string]string{
			"longer":         ticket + "A",
			"shorter":        ticket[:len(ticket)-1],
			"empty":          ticketPrefix,
			"too long":       ticketPrefix + strings.Repeat("A", maxTicketLength),
			"other secret":   signTicket([]byte("guess"), Ticket{Holder: a.self(), Serial: 1}),
			"not handed out": signTicket(a.ticketSecret, Ticket{Holder: a.self(), Serial: 2}),
			"no serial":      signTicket(a.ticketSecret, Ticket{Holder: a.self()}),
		} {
			assert.Equal(t, begin(t, a, newKeyedCall(forged, "deposit")).Verdict, Rejected, name)
		}
		other := newKeyedCall(ticket, "deposit")
		other.Workspace = "other"
		mustRun(t, a, newKeyedCall(ticket, "deposit")).Finish(servedAnswer("paid"))
		assert.Equal(t, begin(t, a, other).Verdict, Mismatch)
	})
}

// An invalid KeyedCall is rejected with the matching error before anything is
// written.
func TestKeyedCallErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := startTestNode(newFakeStore(), "a", nil)
		defer a.crash()
		for name, tc := range map[string]struct {
			keyedCall KeyedCall
			err       error
		}{
			"no key":    {KeyedCall{Region: "irbid-a"}, ErrKey},
			"long key":  {KeyedCall{Region: "irbid-a", Key: strings.Repeat("k", maxKeyLength+1)}, ErrKey},
			"no region": {KeyedCall{Key: "k"}, ErrRegion},
		} {
			_, err := a.Begin(t.Context(), tc.keyedCall)
			assert.ErrorIs(t, err, tc.err, name)
		}
	})
}

// Removing a node moves only the slots for which it was preferred. If most
// slots moved with every change of the nodes, many nodes would write the same
// slots for a while.
func TestPreferredIsStableWhenNodesLeave(t *testing.T) {
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

// The listener may be up shortly before the keeper runs. Calls of that time
// must not run, and must not be answered as not run.
func TestBeforeRun(t *testing.T) {
	k := &Keeper{Store: &storeLink{store: newFakeStore()}, Node: "a", Region: "irbid-a", Incarnation: "a-1", Salt: []byte("salt")}
	d, err := k.Begin(t.Context(), newKeyedCall("k", "deposit"))
	assert.NilError(t, err)
	assert.Equal(t, d.Verdict, ClaimsUnreadable)
	d, err = k.Begin(t.Context(), newKeyedCall(signTicket(k.ticketSecret, Ticket{Holder: k.self(), Serial: 1}), "deposit"))
	assert.NilError(t, err)
	assert.Equal(t, d.Verdict, Unknown)
	_, err = k.Mint()
	assert.ErrorContains(t, err, "does not take new calls")
	assert.ErrorContains(t, (&Keeper{}).Run(t.Context()), "must be set")
}
