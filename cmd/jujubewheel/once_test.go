package main

import (
	"fmt"
	"sync"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"jujubewheel/core/jwclaim"
	"jujubewheel/io/jwsettings"
	"jujubewheel/io/jwstand"
)

// eastNodes lists the nodes of the region east as peers of a jwclaim.Keeper.
type eastNodes struct{}

func (eastNodes) Serving(string) []string { return []string{"e1", "e2", "e3"} }

// claimWriter returns the node of the region east that writes the claim of a
// key, and so runs its request whichever node receives it.
func claimWriter(key string) string {
	k := &jwclaim.Keeper{Salt: []byte(jwsettings.DefaultSalt), Peers: eastNodes{}}
	return k.Preferred(jwclaim.KeyedCall{Workspace: "free-east", Region: "east", Key: key})
}

// keyOfOtherNode returns a key whose claim is written by another node than the
// given one.
func keyOfOtherNode(t *testing.T, node, name string) string {
	t.Helper()
	for i := range 1000 {
		if key := fmt.Sprintf("%s-%d", name, i); claimWriter(key) != node {
			return key
		}
	}
	t.Fatalf("all keys belong to %s", node)
	return ""
}

// A confirmation is retried with the same key at the same host, at another one
// and in another region: while the first request still runs, after its node was
// killed, while that node is paused and after it resumes, after the key-value
// service has written the claim but its reply was lost, and while the key-value
// service is down. The confirmation must run once for each key, and all answers
// of a key must be the same.
func TestConfirmationRunsOncePerKey(t *testing.T) {
	f := newFleet(t, "east", "west")
	desk := f.startTarget("service", "desk", "east", "--work", "400ms")
	e1, e2, e3, w1 := f.startNode("e1", "east"), f.startNode("e2", "east"), f.startNode("e3", "east"), f.startNode("w1", "west")
	f.loadCatalogue()
	confirm := func(n *nodeProcess, key string, more ...string) reply {
		return send(n.Callers, "confirm", "free-east", `{"deposit":1}`, append([]string{"Idempotency-Key", key}, more...)...)
	}
	f.waitFor("confirmations", func() bool {
		return confirm(e1, "warm-1").complete() && confirm(e2, "warm-2").complete() && confirm(e3, "warm-3").complete() && confirm(w1, "warm-4").complete()
	})
	runs := func(key string) (n int) {
		for _, run := range f.readJournal(desk) {
			if run.Key == key {
				n++
			}
		}
		return n
	}
	waitRunning := func(key string) {
		f.waitFor(key+" runs", func() bool { return runs(key) > 0 })
	}

	// Four hosts receive the same key at the same time.
	var wg sync.WaitGroup
	answers := make([]reply, 4)
	for i, n := range []*nodeProcess{e1, e2, e3, w1} {
		wg.Go(func() { answers[i] = confirm(n, "at-once") })
	}
	wg.Wait()
	for _, r := range answers {
		assert.Assert(t, r.complete(), "%+v", r)
		assert.Equal(t, r.body, answers[0].body)
	}
	assert.Equal(t, runs("at-once"), 1)
	other := send(e3.Callers, "confirm", "free-east", `{"deposit":2}`, "Idempotency-Key", "at-once")
	assert.Equal(t, other.status, 409, "%+v", other)

	// The reply to the claim is lost.
	f.putControl(f.kv.Control, "/faults", jwstand.Faults{LoseReply: 2})
	f.waitFor("served in the end", func() bool { return confirm(e2, "lost-reply").complete() })
	assert.Equal(t, runs("lost-reply"), 1)

	// The node that runs the request is paused, then resumes.
	byName := map[string]*nodeProcess{"e1": e1, "e2": e2, "e3": e3}
	othersThan := func(excluded *nodeProcess) (remaining []*nodeProcess) {
		for _, n := range []*nodeProcess{e1, e2, e3, w1} {
			if n != excluded {
				remaining = append(remaining, n)
			}
		}
		return remaining
	}
	const pausedKey = "paused"
	pausedNode := byName[claimWriter(pausedKey)]
	paused := make(chan reply, 1)
	go func() { paused <- confirm(pausedNode, pausedKey) }()
	waitRunning(pausedKey)
	pausedNode.signal(syscall.SIGSTOP)
	for _, n := range othersThan(pausedNode) {
		r := confirm(n, pausedKey, "Jujube-Timeout", "700ms")
		assert.Equal(t, r.outcome, "unknown", "%+v", r)
	}
	pausedNode.signal(syscall.SIGCONT)
	first := <-paused
	assert.Assert(t, first.complete(), "%+v", first)
	for _, n := range othersThan(pausedNode) {
		f.waitFor("others get the answer", func() bool { return confirm(n, pausedKey).body == first.body })
	}
	assert.Equal(t, runs(pausedKey), 1)

	// The node that runs the request is killed.
	killedKey := keyOfOtherNode(t, pausedNode.name, "killed")
	killed := byName[claimWriter(killedKey)]
	go confirm(killed, killedKey)
	waitRunning(killedKey)
	killed.kill()
	remaining := othersThan(killed)
	for _, n := range append(remaining, remaining...) {
		r := confirm(n, killedKey)
		assert.Equal(t, r.outcome, "unknown", "%+v", r)
	}
	assert.Equal(t, runs(killedKey), 1)

	// The key-value service is down: keys chosen by callers are not run, keys
	// minted as tickets are.
	f.putControl(f.kv.Control, "/faults", jwstand.Faults{Down: true})
	one, two := remaining[0], remaining[1]
	r := confirm(one, "down")
	assert.Assert(t, r.outcome == "unknown" || r.outcome == "notRun", "%+v", r)
	assert.Equal(t, runs("down"), 0)
	ticket, err := mintTicket(two.Callers)
	assert.NilError(t, err)
	withTicket := confirm(two, ticket)
	assert.Assert(t, withTicket.complete(), "%+v", withTicket)
	assert.Equal(t, confirm(one, ticket).body, withTicket.body)
	assert.Equal(t, runs(ticket), 1)
	f.putControl(f.kv.Control, "/faults", map[string]bool{"down": false})
	f.waitFor("keys chosen by callers run again", func() bool { return confirm(two, "down").complete() })
	assert.Equal(t, runs("down"), 1)
	for _, run := range f.readJournal(desk) {
		assert.Equal(t, runs(run.Key), 1, run.Key)
	}
}
