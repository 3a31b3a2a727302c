package jwledger

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const ms = time.Millisecond

var start = time.Unix(1_000_000, 0)

func mergeJSON(t *Table, data []byte) bool {
	var r Report
	if json.Unmarshal(data, &r) != nil {
		return false
	}
	t.Merge(start, "peer", &r)
	return true
}

// send passes a report on as nodes do.
func send(t testing.TB, r *Report) *Report {
	t.Helper()
	if r == nil {
		return nil
	}
	text, err := json.Marshal(r)
	assert.NilError(t, err)
	var got Report
	assert.NilError(t, json.Unmarshal(text, &got))
	return &got
}

func offered(t *Table, now time.Time, workspace string) float64 {
	v := t.Region(now, "s")
	total := 0.0
	for key, s := range v.Named {
		if key.Workspace == workspace {
			total += s.Offered
		}
	}
	return total
}

func total(t *Table, now time.Time) float64 {
	v := t.Region(now, "s")
	return v.Total(0).Offered + v.Total(1).Offered + v.Total(2).Offered
}

// nearly compares rates. Requests that come each 100 ms make a rate vary by 5% around its mean.
func nearly(t *testing.T, got, want float64) {
	t.Helper()
	assert.Assert(t, got > 0.94*want && got < 1.06*want, "got %v, want %v", got, want)
}

// fleet is some nodes of one region that offer two requests of a tenth of a target each 100 ms.
type fleet struct {
	t      *testing.T
	now    time.Time
	nodes  []*Table
	cut    map[int]bool // exchange nothing
	silent map[int]bool // get no requests
}

func newFleet(t *testing.T, size int) *fleet {
	f := &fleet{t: t, now: start, cut: map[int]bool{}, silent: map[int]bool{}}
	for range size {
		f.nodes = append(f.nodes, &Table{})
	}
	return f
}

// run lets time pass: requests each 100 ms, an exchange through the first node, the relay, each 500 ms.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(100 * ms) {
		for i, n := range f.nodes {
			if !f.silent[i] {
				n.Offer(f.now, "s", Key{fmt.Sprint("w", i), 0}, 0.1)
				n.Offer(f.now, "s", Key{"all", 1}, 0.1)
			}
		}
		if f.now.Sub(start)%(500*ms) == 0 {
			f.exchange()
		}
	}
}

func (f *fleet) exchange() {
	relay := f.nodes[0]
	for i, n := range f.nodes[1:] {
		if name := fmt.Sprint("n", i+1); !f.cut[i+1] {
			relay.Merge(f.now, name, send(f.t, n.Local(f.now)))
			n.Merge(f.now, "n0", send(f.t, relay.ForNode(f.now)))
		}
	}
}

// All nodes of a region come to the same totals, whether they report through a relay or not.
func TestNodesAgree(t *testing.T) {
	f := newFleet(t, 6)
	f.run(6 * time.Second)
	for _, n := range f.nodes {
		nearly(t, total(n, f.now), 12)
		nearly(t, offered(n, f.now, "all"), 6)
		assert.Equal(t, n.Region(f.now, "s").Nodes, 6)
	}
	direct := &Table{}
	for i, n := range f.nodes {
		direct.Merge(f.now, fmt.Sprint("n", i), n.Local(f.now))
	}
	nearly(t, total(direct, f.now), 12)
}

// Two relays of one region add their nodes' reports and pass on each one once.
func TestTwoRelays(t *testing.T) {
	a, b := newFleet(t, 3), newFleet(t, 4)
	for range 12 {
		a.run(500 * ms)
		b.run(500 * ms)
		fromA, fromB := send(t, a.nodes[0].ForRelay(a.now)), send(t, b.nodes[0].ForRelay(b.now))
		a.nodes[0].Merge(a.now, "b0", fromB)
		b.nodes[0].Merge(b.now, "a0", fromA)
	}
	a.exchange()
	for _, n := range a.nodes {
		nearly(t, total(n, a.now), 14)
	}
}

// The demand at a node that is lost counts no more once it has not reported for some seconds.
func TestNodeLost(t *testing.T) {
	f := newFleet(t, 4)
	f.run(4 * time.Second)
	f.cut[3], f.silent[3] = true, true
	f.run(reportExpiry + 2*time.Second)
	nearly(t, total(f.nodes[1], f.now), 6)
}

// A node that is cut off knows its own demand and goes on with the last reports, whose age it states. Once
// the link is back it agrees with the others.
func TestNodeCutOff(t *testing.T) {
	f := newFleet(t, 4)
	f.run(4 * time.Second)
	f.cut[3] = true
	f.run(10 * time.Second)
	v := f.nodes[3].Region(f.now, "s")
	nearly(t, total(f.nodes[3], f.now), 8)
	assert.Assert(t, v.Age >= 9*time.Second, "%v", v.Age)
	f.cut[3] = false
	f.run(2 * time.Second)
	nearly(t, total(f.nodes[3], f.now), 8)
	assert.Assert(t, f.nodes[3].Region(f.now, "s").Age <= time.Second)
}

// A node that restarts knows nothing, and within an exchange what the others know, with what its former
// process reported.
func TestNodeRestarted(t *testing.T) {
	f := newFleet(t, 4)
	f.run(4 * time.Second)
	f.nodes[3] = &Table{}
	assert.Equal(t, total(f.nodes[3], f.now), 0.0)
	f.exchange()
	nearly(t, total(f.nodes[3], f.now), 8)
	f.run(5 * time.Second)
	nearly(t, total(f.nodes[3], f.now), 8)
}

// The relay restarts, or another node becomes it.
func TestRelayRestarted(t *testing.T) {
	f := newFleet(t, 4)
	f.run(4 * time.Second)
	f.nodes[0] = &Table{}
	f.run(6 * time.Second)
	for _, n := range f.nodes {
		nearly(t, total(n, f.now), 8)
	}
	f.nodes[0], f.nodes[1] = f.nodes[1], f.nodes[0]
	f.run(6 * time.Second)
	for _, n := range f.nodes {
		nearly(t, total(n, f.now), 8)
	}
}

// After a pause the rates of a node have decayed, and the ledger ends in the same state.
func TestNodePaused(t *testing.T) {
	f := newFleet(t, 3)
	f.run(4 * time.Second)
	f.cut[2], f.silent[2] = true, true
	f.run(20 * time.Second)
	nearly(t, total(f.nodes[2], f.now), 4)
	f.cut[2], f.silent[2] = false, false
	f.run(5 * time.Second)
	for _, n := range f.nodes {
		nearly(t, total(n, f.now), 6)
	}
}

// The clock of all nodes is set back by an hour; what is known must not stay for that long.
func TestClockStep(t *testing.T) {
	f := newFleet(t, 3)
	f.run(4 * time.Second)
	f.now = f.now.Add(-time.Hour)
	f.cut[2], f.silent[2] = true, true
	f.run(8 * time.Second)
	for _, n := range f.nodes[:2] {
		nearly(t, total(n, f.now), 4)
	}
}

// What is in flight appears by workspace and level, and is gone at the end.
func TestFlights(t *testing.T) {
	table := &Table{}
	key := Key{"w", 1}
	table.Offer(start, "s", key, 2)
	f := table.Admit(start, "s", key, 2)
	assert.Equal(t, table.Region(start, "s").Named[key].Waiting, 2.0)
	table.Start(f)
	table.Start(f)
	v := table.Region(start, "s")
	assert.Equal(t, v.Named[key].Running, 2.0)
	assert.Equal(t, v.Named[key].Waiting, 0.0)
	table.End(start, f, Useful)
	v = table.Region(start, "s")
	assert.DeepEqual(t, *v.Named[key], Sums{Offered: 2, Admitted: 2, Useful: 2})
	assert.Equal(t, len(table.meters["s"].inFlight), 0)
}

// Requests whose expected work rounds to nothing end like others.
func TestFlightsWithoutWork(t *testing.T) {
	table := &Table{}
	key := Key{"w", 1}
	a, b := table.Admit(start, "s", key, 0), table.Admit(start, "s", key, 0)
	table.End(start, a, Useful)
	table.Start(b)
	table.End(start, b, Useful)
	assert.Equal(t, len(table.meters["s"].inFlight), 0)
}

func TestWork(t *testing.T) {
	target := Target{Slots: 16, Memory: 160_000}
	cases := map[string]struct {
		request Request
		target  Target
		want    float64
	}{
		"mostly reading":      {Request{ReadTime: 200 * ms, SlotTime: 160 * ms, Memory: 1000}, target, 0.21},
		"mostly a slot":       {Request{SlotTime: 1600 * ms, Memory: 1000}, target, 0.1},
		"mostly memory":       {Request{ReadTime: 100 * ms, SlotTime: 900 * ms, Memory: 80_000}, target, 0.5},
		"memory is not known": {Request{SlotTime: 900 * ms, Memory: 80_000}, Target{Slots: 1}, 0.9},
		"nothing is known":    {Request{SlotTime: 500 * ms}, Target{}, 0.5},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { nearly(t, c.request.Work(c.target), c.want) })
	}
}

// manyWorkspaces returns a node's table after two seconds of a node's part of a large fleet's requests.
func manyWorkspaces(services, perSecond int, random *rand.Rand) *Table {
	table := &Table{}
	zipf := rand.NewZipf(random, 1.2, 10, 38_000)
	for i := range 2 * perSecond {
		now := start.Add(time.Duration(i) * time.Second / time.Duration(perSecond))
		key := Key{fmt.Sprint("workspace-", zipf.Uint64()), random.IntN(Levels)}
		table.Offer(now, fmt.Sprint("service-", i%services), key, 0.1)
		table.Admit(now, fmt.Sprint("service-", i%services), key, 0.1)
	}
	return table
}

// largeRegion returns the table of a relay of 75 nodes in 970, for three services and 21,000 requests a
// second of 38,000 workspaces, and the last report to it.
func largeRegion() (*Table, *Report) {
	const nodes, perNode, services = 75, 22, 3
	random := rand.New(rand.NewPCG(1, 2))
	relay := manyWorkspaces(services, perNode, random)
	var r *Report
	for i := range nodes - 1 {
		r = manyWorkspaces(services, perNode, random).Local(start.Add(2 * time.Second))
		relay.Merge(start.Add(2*time.Second), fmt.Sprint("n", i), r)
	}
	return relay, r
}

// BenchmarkExchange measures a relay's reply to a node and the sizes of what a node sends and gets.
func BenchmarkExchange(b *testing.B) {
	relay, r := largeRegion()
	now := start.Add(2 * time.Second)
	up, _ := json.Marshal(r)
	var down []byte
	b.ReportAllocs()
	for b.Loop() {
		down, _ = json.Marshal(relay.ForNode(now))
	}
	b.ReportMetric(float64(len(up)), "B-up")
	b.ReportMetric(float64(len(down)), "B-down")
}

// BenchmarkSum measures how a relay adds up the reports of its region, at most once each sumInterval.
func BenchmarkSum(b *testing.B) {
	relay, _ := largeRegion()
	b.ReportAllocs()
	for b.Loop() {
		relay.others = nil
		relay.Region(start.Add(2*time.Second), "service-1")
	}
}

// BenchmarkOffer measures what a request costs in the ledger while the node names as many keys as it may.
func BenchmarkOffer(b *testing.B) {
	table := &Table{}
	keys := make([]Key, 1000)
	for i := range keys {
		keys[i] = Key{fmt.Sprint("w", i), i % Levels}
	}
	i := 0
	b.ReportAllocs()
	for b.Loop() {
		now := start.Add(time.Duration(i) * ms)
		table.Offer(now, "s", keys[i%len(keys)], 0.1)
		table.End(now, table.Admit(now, "s", keys[i%len(keys)], 0.1), Useful)
		i++
	}
}
