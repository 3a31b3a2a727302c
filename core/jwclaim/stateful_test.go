package jwclaim

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"iter"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"jujubewheel/core/jwrequest"
)

const (
	simKeyMemory = time.Hour
	simClockSkew = 20 * time.Second
)

// oracle records which calls really ran, which no node knows.
type oracle struct {
	runs map[string][]runRecord // by key
}

// runRecord is one dispatched call of a key.
type runRecord struct {
	begunAt      time.Time // when Begin was called for it
	dispatchedAt time.Time
	body         string
}

// remembered returns the runs of a key that have happened and whose key memory
// has not ended, for a call that begins now.
func (o *oracle) remembered(key string) []runRecord {
	var rs []runRecord
	for _, r := range o.runs[key] {
		if time.Since(r.begunAt) < simKeyMemory {
			rs = append(rs, r)
		}
	}
	return rs
}

// grantedCall is a call that a node was given the right to run.
type grantedCall struct {
	node       *simNode
	call       *Call
	key        string
	body       string
	begunAt    time.Time
	dispatched bool
}

// simNode is a node of the simulation. Its generation counts the processes that
// were started under its name.
type simNode struct {
	*testNode
	name       string
	generation int
	frozen     chan struct{}
	closed     bool
	handedOver bool
	stopped    bool
}

// simulation drives several keepers on one faulty store.
type simulation struct {
	t       *rapid.T
	store   *fakeStore
	dead    []*simNode
	keys    []string
	bodies  map[string]map[string]bool // bodies sent so far, by key
	pending sync.WaitGroup             // calls of Begin in progress

	answerBytes int
	noFaults    bool // no faults, planned stops only

	mu       sync.Mutex // guards the fields below, which calls of Begin in progress use too
	oracle   oracle
	nodes    []*simNode
	calls    []*grantedCall
	verdicts map[Verdict]int
	failure  string
}

// Serving makes every node of the simulation a candidate for every slot.
func (sim *simulation) Serving(string) []string {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	var names []string
	for _, n := range sim.nodes {
		names = append(names, n.name)
	}
	return names
}

func (sim *simulation) failf(format string, args ...any) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.fail(format, args...)
}

func (sim *simulation) fail(format string, args ...any) {
	if sim.failure == "" {
		sim.failure = fmt.Sprintf(format, args...)
	}
}

func (sim *simulation) startNode(i, generation int) *simNode {
	n := &simNode{name: fmt.Sprintf("n%d", i), generation: generation}
	skew := time.Duration(i-1) * simClockSkew / 2
	n.testNode = startTestNode(sim.store, n.name, func(nd *testNode) {
		nd.Incarnation = fmt.Sprintf("%s-%d", n.name, generation)
		nd.SlotsPerRegion = 1
		nd.MaxSegmentRows = 4
		nd.GroupWindow = 50 * time.Millisecond
		nd.MaxAnswerBytes = sim.answerBytes
		nd.KeyMemory = simKeyMemory
		nd.MaxClockSkew = simClockSkew
		nd.Peers = sim
		nd.Now = func() time.Time { return time.Now().Add(skew) }
	})
	return n
}

func (sim *simulation) drawNode(t *rapid.T) (int, *simNode) {
	i := rapid.IntRange(0, len(sim.nodes)-1).Draw(t, "node")
	return i, sim.nodes[i]
}

func (sim *simulation) beginRandom(t *rapid.T) {
	_, n := sim.drawNode(t)
	key := rapid.SampledFrom(sim.keys).Draw(t, "key")
	body := rapid.SampledFrom([]string{"x", "x", "x", "x", "y"}).Draw(t, "body")
	sim.beginInBackground(n, key, body)
	if rapid.Bool().Draw(t, "wait") {
		time.Sleep(20 * time.Millisecond)
	}
	synctest.Wait()
}

func (sim *simulation) beginInBackground(n *simNode, key, body string) {
	if sim.bodies[key] == nil {
		sim.bodies[key] = map[string]bool{}
	}
	sim.bodies[key][body] = true
	begunAt := time.Now()
	sim.mu.Lock()
	ranBefore := sim.oracle.remembered(key)
	sim.mu.Unlock()
	sim.pending.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		sim.beginAtHolder(ctx, n, key, body, begunAt, ranBefore)
	})
}

// beginAtHolder calls Begin at n, and at the holder if n refers to it, and
// checks the decision that the caller gets.
func (sim *simulation) beginAtHolder(ctx context.Context, n *simNode, key, body string, begunAt time.Time, ranBefore []runRecord) {
	for range 3 {
		d, err := n.Begin(ctx, newKeyedCall(key, body))
		if err != nil {
			sim.failf("begin: %v", err)
			return
		}
		if d.Verdict != AskHolder {
			sim.checkDecision(n, d, key, body, begunAt, ranBefore)
			return
		}
		n = sim.byIncarnation(d.Holder.Incarnation)
		if n == nil {
			sim.checkDecision(nil, Decision{Verdict: Unknown, Holder: d.Holder}, key, body, begunAt, ranBefore) // the holder is gone
			return
		}
	}
}

func (sim *simulation) byIncarnation(incarnation string) *simNode {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, n := range sim.nodes {
		if n.Incarnation == incarnation && !n.stopped {
			return n
		}
	}
	return nil
}

func (sim *simulation) checkDecision(n *simNode, d Decision, key, body string, begunAt time.Time, ranBefore []runRecord) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.verdicts[d.Verdict]++
	if sim.noFaults && (d.Verdict == Unknown || d.Verdict == ClaimsUnreadable) {
		sim.fail("%s: %s without any fault, holder %s", key, d.Verdict, d.Holder.Incarnation)
	}
	switch d.Verdict {
	case Run:
		if n.stopped {
			return
		}
		sim.calls = append(sim.calls, &grantedCall{node: n, call: d.Call, key: key, body: body, begunAt: begunAt})
	case NotRun:
		// Nothing of this call ran. The answer is wrong if the key had run
		// before the call began.
		for _, r := range sim.oracle.remembered(key) {
			if slices.Contains(ranBefore, r) {
				sim.fail("%s: answered as not run, but it ran at %v", key, r.dispatchedAt)
			}
		}
	case Replay:
		if string(d.Answer.Body) != key+body {
			sim.fail("%s: replay of the wrong answer %q", key, d.Answer.Body)
		}
	case Mismatch:
		if len(sim.bodies[key]) < 2 {
			sim.fail("%s: mismatch without another body", key)
		}
	case Rejected:
		sim.fail("%s: ticket rejected", key)
	}
}

// drawCall picks a call of a node that is not frozen.
func (sim *simulation) drawCall(t *rapid.T) *grantedCall {
	var cs []*grantedCall
	for _, c := range sim.grantedCalls() {
		if c.node.frozen == nil {
			cs = append(cs, c)
		}
	}
	if len(cs) == 0 {
		t.Skip("no call")
	}
	return rapid.SampledFrom(cs).Draw(t, "call")
}

func (sim *simulation) grantedCalls() []*grantedCall {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return slices.Clone(sim.calls)
}

func (sim *simulation) dispatchRandom(t *rapid.T) {
	c := sim.drawCall(t)
	if c.dispatched {
		t.Skip("already dispatched")
	}
	sim.dispatchCall(c)
}

func (sim *simulation) dispatchCall(c *grantedCall) {
	if err := c.call.MarkDispatched(); err != nil {
		sim.remove(c)
		return
	}
	c.dispatched = true
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, r := range sim.oracle.remembered(c.key) {
		sim.fail("%s ran twice: at %v as %s and now at %s as %s", c.key, r.dispatchedAt, r.body, c.node.Incarnation, c.body)
	}
	sim.oracle.runs[c.key] = append(sim.oracle.runs[c.key], runRecord{begunAt: c.begunAt, dispatchedAt: time.Now(), body: c.body})
}

func (sim *simulation) remove(c *grantedCall) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.calls = slices.DeleteFunc(sim.calls, func(o *grantedCall) bool { return o == c })
}

func (sim *simulation) finishRandom(t *rapid.T) {
	sim.finishCall(sim.drawCall(t), rapid.SampledFrom([]jwrequest.Outcome{jwrequest.Served, jwrequest.Served, jwrequest.NotRun, jwrequest.Unknown}).Draw(t, "outcome"))
}

func (sim *simulation) finishCall(c *grantedCall, o jwrequest.Outcome) {
	sim.remove(c)
	if !c.dispatched {
		c.call.Release()
		return
	}
	if o == jwrequest.NotRun { // the target refused it
		sim.mu.Lock()
		rs := sim.oracle.runs[c.key]
		sim.oracle.runs[c.key] = rs[:len(rs)-1]
		sim.mu.Unlock()
	}
	c.call.Finish(Answer{Status: 200, Body: []byte(c.key + c.body), Outcome: o})
}

func (sim *simulation) mintRandom(t *rapid.T) {
	if len(sim.keys) > 8 {
		t.Skip("enough tickets")
	}
	_, n := sim.drawNode(t)
	if ticket, err := n.Mint(); err == nil {
		sim.keys = append(sim.keys, ticket)
	}
}

// killRandom stops a process without notice. Its writes in flight still take
// effect.
func (sim *simulation) killRandom(t *rapid.T) {
	i, n := sim.drawNode(t)
	sim.replace(i, n)
}

func (sim *simulation) replace(i int, n *simNode) {
	n.cancelRun()
	sim.dead = append(sim.dead, n)
	next := sim.startNode(i, n.generation+1)
	sim.mu.Lock()
	defer sim.mu.Unlock()
	n.stopped = true
	sim.calls = slices.DeleteFunc(sim.calls, func(c *grantedCall) bool { return c.node == n })
	sim.nodes[i] = next
}

func (sim *simulation) freezeRandom(t *rapid.T) {
	_, n := sim.drawNode(t)
	if n.frozen != nil {
		t.Skip("frozen")
	}
	n.frozen = n.link.freeze()
}

func (sim *simulation) unfreezeRandom(t *rapid.T) {
	_, n := sim.drawNode(t)
	if n.frozen == nil {
		t.Skip("not frozen")
	}
	n.unfreeze()
	synctest.Wait()
}

func (n *simNode) unfreeze() {
	if n.frozen != nil {
		n.link.set(func(l *storeLink) { l.gates = nil })
		close(n.frozen)
		n.frozen = nil
	}
}

func (sim *simulation) addRandomFault(t *rapid.T) {
	_, n := sim.drawNode(t)
	kind := rapid.SampledFrom([]string{"lose", "lose", "late", "late", "down", "up"}).Draw(t, "fault")
	by := time.Duration(rapid.IntRange(0, 2000).Draw(t, "by")) * time.Millisecond
	n.link.set(func(l *storeLink) {
		switch kind {
		case "lose":
			l.loseReplies++
		case "late":
			l.deferWrites++
			l.deferBy = by
		case "down":
			l.down = true
		case "up":
			l.down = false
		}
	})
}

func (sim *simulation) sleep(t *rapid.T) {
	time.Sleep(rapid.SampledFrom([]time.Duration{
		time.Millisecond, 10 * time.Millisecond, 60 * time.Millisecond, 3 * time.Second, 3 * time.Minute, 11 * time.Minute, 59*time.Minute + 45*time.Second, 62 * time.Minute,
	}).Draw(t, "time"))
	synctest.Wait()
}

// drainRandom is a planned stop up to the handover. The process runs on until a
// later kill, because callers still know its address.
func (sim *simulation) drainRandom(t *rapid.T) {
	i, n := sim.drawNode(t)
	if n.closed || n.frozen != nil {
		t.Skip("closed or frozen")
	}
	sim.stopNode(t, i, n)
}

// restartRandom is a planned stop, followed by the start of the next process.
func (sim *simulation) restartRandom(t *rapid.T) {
	i, n := sim.drawNode(t)
	sim.stopNode(t, i, n)
	if !n.handedOver {
		sim.failf("%s: no node took over", n.Incarnation)
	}
	time.Sleep(5 * time.Second) // a stopping process runs on until it has answered its callers
	sim.replace(i, n)
	sim.shareMoves()
}

func (sim *simulation) stopNode(t *rapid.T, i int, n *simNode) {
	n.closed = true
	n.Close()
	for _, c := range sim.grantedCalls() {
		if c.node == n {
			if !c.dispatched && rapid.Bool().Draw(t, "send") {
				sim.dispatchCall(c)
			}
			sim.finishCall(c, jwrequest.Served)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = n.Flush(ctx)
	for j, other := range sim.nodes {
		if j == i || n.handedOver {
			continue
		}
		h := &simSuccessor{to: other}
		if !sim.noFaults {
			h.fault = rapid.SampledFrom([]string{"", "", "reject", "reply lost", "truncate"}).Draw(t, "handover")
		}
		n.handedOver = n.Handover(context.Background(), h) == nil
	}
	if n.handedOver && (sim.noFaults || rapid.Bool().Draw(t, "shareMoves")) {
		sim.shareMoves()
	}
}

// shareMoves sends the moves of every node to all nodes, as the exchange
// between nodes does.
func (sim *simulation) shareMoves() {
	for _, a := range sim.nodes {
		for _, b := range sim.nodes {
			for _, m := range a.Moves() {
				b.AddMove(m)
			}
		}
	}
}

// simSuccessor hands records to a node of the simulation, with a fault.
type simSuccessor struct {
	to    *simNode
	fault string
}

func (s *simSuccessor) Holder() Holder { return s.to.self() }

func (s *simSuccessor) Handover(_ context.Context, records iter.Seq[Record]) (Receipt, error) {
	time.Sleep(5 * time.Millisecond)
	if s.fault == "reject" {
		return Receipt{}, ErrNotAdopted
	}
	r, err := s.to.Adopt(func(yield func(Record, error) bool) {
		for rec := range records {
			if s.fault == "truncate" && rec.Kind == EndRecord {
				yield(Record{}, errors.New("truncated"))
				return
			}
			if !yield(rec, nil) {
				return
			}
		}
	})
	time.Sleep(5 * time.Millisecond)
	if s.fault == "reply lost" {
		return Receipt{}, errors.New("no reply")
	}
	return r, err
}

func (sim *simulation) check(*rapid.T) {
	synctest.Wait()
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if sim.failure != "" {
		panic(simFailure(sim.failure))
	}
}

// removeFaults removes all faults and checks that the nodes take new keys
// again.
func (sim *simulation) removeFaults() {
	for _, n := range append(slices.Clone(sim.nodes), sim.dead...) {
		n.unfreeze()
		n.link.set(func(l *storeLink) { l.down, l.loseReplies, l.deferWrites = false, 0, 0 })
	}
	time.Sleep(10 * time.Second)
	for _, c := range sim.grantedCalls() {
		sim.finishCall(c, jwrequest.Served)
	}
	time.Sleep(5 * time.Second)
	for i, n := range sim.nodes {
		if n.closed {
			continue
		}
		d, err := n.Begin(context.Background(), newKeyedCall(fmt.Sprintf("fresh%d", i), "x"))
		if err != nil || d.Verdict != Run {
			sim.failf("%s does not take a new key after the faults are removed: %v %v", n.Incarnation, d.Verdict, err)
			continue
		}
		d.Call.Release()
	}
}

func (sim *simulation) end() {
	for _, n := range append(slices.Clone(sim.nodes), sim.dead...) {
		n.cancelRun()
		n.unfreeze()
	}
	for _, n := range append(slices.Clone(sim.nodes), sim.dead...) {
		n.done.Wait()
	}
	sim.pending.Wait()
}

// Nodes crash, freeze for long, lose replies, find the store down and hand over
// to each other, while callers retry the same keys at any node. No key may run
// twice within its memory, and no caller may be answered that a key did not run
// if it had run before the call.
func TestAtMostOnce(t *testing.T) {
	verdicts := map[Verdict]int{}
	rapid.Check(t, func(rt *rapid.T) {
		inBubble(t, rt, func() {
			sim := newSimulation(rt, 3*callOverhead, false)
			defer sim.end()
			rt.Repeat(sim.actions())
			sim.removeFaults()
			sim.check(rt)
			for v, n := range sim.verdicts {
				verdicts[v] += n
			}
		})
	})
	t.Logf("calls by verdict: %v", verdicts)
}

// Processes are replaced hundreds of times a day by planned stops. None of
// these stops may leave a caller with the outcome unknown, wherever it retries.
func TestPlannedStopsLeaveNoUnknown(t *testing.T) {
	verdicts := map[Verdict]int{}
	rapid.Check(t, func(rt *rapid.T) {
		inBubble(t, rt, func() {
			sim := newSimulation(rt, 0, true)
			defer sim.end()
			rt.Repeat(map[string]func(*rapid.T){
				"press":    sim.beginRandom,
				"press2":   sim.beginRandom,
				"dispatch": sim.dispatchRandom,
				"finish":   sim.finishWithoutUnknown,
				"mint":     sim.mintRandom,
				"restart":  sim.restartRandom,
				"sleep":    func(*rapid.T) { time.Sleep(200 * time.Millisecond) },
				"":         sim.check,
			})
			sim.removeFaults()
			sim.check(rt)
			for v, n := range sim.verdicts {
				verdicts[v] += n
			}
		})
	})
	t.Logf("calls by verdict: %v", verdicts)
}

func (sim *simulation) finishWithoutUnknown(t *rapid.T) {
	sim.finishCall(sim.drawCall(t), rapid.SampledFrom([]jwrequest.Outcome{jwrequest.Served, jwrequest.NotRun}).Draw(t, "outcome"))
}

func newSimulation(rt *rapid.T, answerBytes int, noFaults bool) *simulation {
	sim := &simulation{t: rt, answerBytes: answerBytes, noFaults: noFaults, store: newFakeStore(), keys: []string{"k0", "k1", "k2"}, bodies: map[string]map[string]bool{}}
	sim.oracle.runs = map[string][]runRecord{}
	sim.verdicts = map[Verdict]int{}
	for i := range 3 {
		sim.nodes = append(sim.nodes, sim.startNode(i, 1))
	}
	return sim
}

func (sim *simulation) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"press":    sim.beginRandom,
		"press2":   sim.beginRandom,
		"press3":   sim.beginRandom,
		"dispatch": sim.dispatchRandom,
		"finish":   sim.finishRandom,
		"mint":     sim.mintRandom,
		"kill":     sim.killRandom,
		"freeze":   sim.freezeRandom,
		"thaw":     sim.unfreezeRandom,
		"fault":    sim.addRandomFault,
		"sleep":    sim.sleep,
		"drain":    sim.drainRandom,
		"":         sim.check,
	}
}

// simFailure is a wrong result of a node or of all nodes together.
type simFailure string

// inBubble runs one case in a synctest bubble. A panic of rapid must be raised
// again in rapid's goroutine.
func inBubble(t *testing.T, rt *rapid.T, f func()) {
	var failure any
	synctest.Test(t, func(*testing.T) {
		defer func() { failure = recover() }()
		f()
	})
	if text, ok := failure.(simFailure); ok {
		rt.Fatal(text)
	}
	if failure != nil {
		panic(failure)
	}
}

func TestMain(m *testing.M) {
	flag.Parse()
	// Every run uses the same seed unless another one is set.
	for name, value := range map[string]string{"rapid.seed": cmp.Or(os.Getenv("JUJUBE_SEED"), "1"), "rapid.checks": "500"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}
