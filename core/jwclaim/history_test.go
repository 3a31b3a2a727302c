package jwclaim

import (
	"context"
	"fmt"
	"math/rand"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"
)

// claimInput is an operation on one key: a call of Begin, or the release of a
// call.
type claimInput struct {
	key     string
	release bool
	node    string
}

// claimModel models a key that at most one node holds at a time.
var claimModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(claimInput).key
			byKey[key] = append(byKey[key], op)
		}
		var parts [][]porcupine.Operation
		for _, ops := range byKey {
			parts = append(parts, ops)
		}
		return parts
	},
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		holder, in := state.(string), input.(claimInput)
		if in.release {
			return holder == in.node, ""
		}
		switch output.(Verdict) {
		case Run:
			return holder == "", in.node
		case NotRun:
			// The call may be released here while other nodes still read its claim.
			return holder == "" || holder == in.node, holder
		case ClaimsUnreadable:
			// No caller of this test gives up waiting, so its claim was never sent.
			return true, holder
		case Join:
			return holder == in.node, holder
		case AskHolder:
			return holder != "" && holder != in.node, holder
		}
		return false, holder
	},
	DescribeOperation: func(input, output any) string {
		return fmt.Sprintf("%+v %v", input, output)
	},
}

// historyRecorder records what several callers at several nodes observed.
type historyRecorder struct {
	mu    sync.Mutex
	clock atomic.Int64
	ops   []porcupine.Operation
}

func (h *historyRecorder) record(client int, in claimInput, out any, from int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: in, Output: out, Call: from, Return: h.clock.Add(1)})
}

// runCaller calls Begin with random keys at one node and releases the calls
// that it may run.
func (h *historyRecorder) runCaller(client int, n *testNode, r *rand.Rand) {
	for range 30 {
		in := claimInput{key: fmt.Sprint("k", r.Intn(3)), node: n.Node}
		from := h.clock.Add(1)
		d, err := n.Begin(context.Background(), newKeyedCall(in.key, "x"))
		if err != nil {
			return
		}
		h.record(client, in, d.Verdict, from)
		time.Sleep(time.Duration(r.Intn(50)) * time.Millisecond)
		if d.Verdict != Run {
			continue
		}
		in.release = true
		from = h.clock.Add(1)
		d.Call.Release()
		for n.releaseQueued(d.Call.claim) {
			time.Sleep(time.Millisecond)
		}
		h.record(client, in, nil, from)
	}
}

func (n *testNode) releaseQueued(id claimID) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, s := range n.slots {
		if slices.ContainsFunc(s.queue, func(it *item) bool { return it.id == id }) {
			return true
		}
	}
	return false
}

// Callers use the same keys at several nodes at the same time, while writes are
// late and replies are lost. Their answers must fit an order in which at most
// one of them holds a key at a time; otherwise two calls of one key could run.
func TestClaimHistoriesLinearizable(t *testing.T) {
	for seed := range int64(30) {
		synctest.Test(t, func(t *testing.T) {
			s, h := newFakeStore(), &historyRecorder{}
			var callers sync.WaitGroup
			var nodes []*testNode
			// One caller per node: two callers at one node would share a claim,
			// and the one that came second may get to run it.
			for i := range 6 {
				n := startTestNode(s, fmt.Sprint("n", i), func(n *testNode) {
					n.SlotsPerRegion, n.MaxSegmentRows = 1, 8
					n.GroupWindow = 5 * time.Millisecond
					n.ClaimTimeout = time.Hour
				})
				nodes = append(nodes, n)
				defer n.crash()
				r := rand.New(rand.NewSource(seed*10 + int64(i)))
				callers.Go(func() { h.runCaller(i, n, r) })
			}
			r := rand.New(rand.NewSource(seed))
			for range 40 {
				time.Sleep(time.Duration(r.Intn(60)) * time.Millisecond)
				nodes[r.Intn(len(nodes))].link.set(func(l *storeLink) {
					l.loseReplies, l.deferWrites = r.Intn(2), r.Intn(3)
					l.deferBy = time.Duration(r.Intn(100)) * time.Millisecond
				})
			}
			callers.Wait()
			result := porcupine.CheckOperations(claimModel, h.ops)
			assert.Assert(t, result, "seed %d, %d operations", seed, len(h.ops))
		})
	}
}
