package jwclaim

import (
	"context"
	"fmt"
	"math/rand"
	"runtime"
	"sort"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// startBenchKeeper returns a keeper whose goroutines end with the benchmark.
func startBenchKeeper(b *testing.B) *Keeper {
	b.Helper()
	k := &Keeper{Store: &storeLink{store: newFakeStore()}, Node: "a", Region: "irbid-a", Incarnation: "a-1", Salt: []byte("salt")}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = k.Run(ctx)
	}()
	b.Cleanup(func() {
		cancel()
		<-done
	})
	for {
		if _, err := k.Mint(); err == nil {
			return k
		}
		time.Sleep(time.Millisecond)
	}
}

func BenchmarkMint(b *testing.B) {
	k := startBenchKeeper(b)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := k.Mint(); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkTicketRun(b *testing.B) {
	k := startBenchKeeper(b)
	b.ReportAllocs()
	for b.Loop() {
		b.StopTimer()
		ticket, _ := k.Mint()
		b.StartTimer()
		d, err := k.Begin(b.Context(), newKeyedCall(ticket, "deposit"))
		if err != nil || d.Verdict != Run || d.Call.MarkDispatched() != nil {
			b.Fatal(d.Verdict, err)
		}
		d.Call.Finish(servedAnswer("paid"))
	}
}

func BenchmarkTicketReplay(b *testing.B) {
	k := startBenchKeeper(b)
	ticket, _ := k.Mint()
	d, _ := k.Begin(b.Context(), newKeyedCall(ticket, "deposit"))
	d.Call.Finish(servedAnswer("paid"))
	b.ReportAllocs()
	for b.Loop() {
		if d, _ := k.Begin(b.Context(), newKeyedCall(ticket, "deposit")); d.Verdict != Replay {
			b.Fatal(d.Verdict)
		}
	}
}

// BenchmarkViewMemory reports the memory that a view needs per remembered key.
func BenchmarkViewMemory(b *testing.B) {
	const claims = 100_000
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		v := view{live: map[keyHash]liveClaim{}}
		v.addSegment(1, document{}, 1)
		d := document{Holders: []Holder{{Node: "a", Region: "irbid-a", Incarnation: "a-1"}}}
		for i := range claims {
			r := row{ID: claimID{1, byte(i), byte(i >> 8), byte(i >> 16)}, Key: keyHash{1, byte(i), byte(i >> 8), byte(i >> 16)}}
			d.Rows = append(d.Rows, r)
			if len(d.Rows) == DefaultMaxSegmentRows {
				v.replaceTail(d, 1)
				v.addSegment(uint64(i), document{}, 0)
				d.Rows = nil
			}
		}
		d.Rows = nil
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(len(v.live)), "B/claim")
	}
}

// claimLoad is a steady stream of new caller keys.
type claimLoad struct {
	rate        int // calls per second
	nodes       int
	preferred   bool          // calls are sent to the preferred node of their slot
	oneWayDelay time.Duration // to the store, in each direction
}

// staticPeers lists the serving nodes of the only region.
type staticPeers []string

func (ns staticPeers) Serving(string) []string { return ns }

type loadResult struct {
	writes, lostSwaps, reads float64 // per second
	bytes                    float64 // written per second
	largest                  int     // size of the largest document in bytes
	rejected                 int     // calls that were not given the right to run
	p50, p99                 time.Duration
}

func (l claimLoad) String() string {
	return fmt.Sprintf("%d/s nodes=%d preferred=%v trip=%v", l.rate, l.nodes, l.preferred, l.oneWayDelay)
}

// run generates the load for some seconds of synctest time.
func (l claimLoad) run(seconds int) loadResult {
	s := newFakeStore()
	var testNodes []*testNode
	var peers staticPeers
	for i := range l.nodes {
		peers = append(peers, fmt.Sprint("n", i))
	}
	for _, name := range peers {
		testNodes = append(testNodes, startTestNode(s, name, func(n *testNode) { n.Peers = peers; n.link.oneWayDelay = l.oneWayDelay }))
	}
	var mu sync.Mutex
	var latencies []time.Duration
	var res loadResult
	var calls sync.WaitGroup
	r := rand.New(rand.NewSource(1))
	for i := range l.rate * seconds {
		a := newKeyedCall(fmt.Sprint("k", i), "x")
		n := testNodes[r.Intn(len(testNodes))]
		if want := n.Preferred(a); l.preferred {
			for _, m := range testNodes {
				if m.Node == want {
					n = m
				}
			}
		}
		calls.Go(func() {
			startedAt := time.Now()
			d, _ := n.Begin(context.Background(), a)
			mu.Lock()
			defer mu.Unlock()
			latencies = append(latencies, time.Since(startedAt))
			if d.Verdict != Run {
				res.rejected++
				return
			}
			d.Call.Finish(servedAnswer("paid"))
		})
		time.Sleep(time.Duration(r.ExpFloat64() * float64(time.Second) / float64(l.rate)))
	}
	calls.Wait()
	for _, n := range testNodes {
		res.lostSwaps += float64(n.Counts().LostSwaps) / float64(seconds)
		n.crash()
	}
	sort.Slice(latencies, func(i, j int) bool { return latencies[i] < latencies[j] })
	res.p50, res.p99 = latencies[len(latencies)/2], latencies[len(latencies)*99/100]
	res.writes = float64(s.writes) / float64(seconds)
	res.reads = float64(s.reads) / float64(seconds)
	res.bytes = float64(s.bytes) / float64(seconds)
	res.largest = s.largestWrite
	return res
}

// The store takes several hundred writes a second from all regions together.
// Without group writes, the claims of a morning's peak of confirmations would
// use up this rate, and catalogue changes would wait behind them.
func TestWriteBudget(t *testing.T) {
	seconds := 2
	for _, l := range []claimLoad{
		{100, 1, true, 5 * time.Millisecond},
		{100, 9, true, 5 * time.Millisecond},
		{100, 9, false, 5 * time.Millisecond},
		{1000, 9, true, 5 * time.Millisecond},
		{1000, 3, false, 5 * time.Millisecond},
		{1000, 9, false, 5 * time.Millisecond},
		{2000, 9, true, 5 * time.Millisecond},
		{2000, 9, false, 5 * time.Millisecond},
		{160, 75, true, 80 * time.Millisecond},
		{160, 75, false, 80 * time.Millisecond},
	} {
		t.Run(l.String(), func(t *testing.T) {
			var res loadResult
			synctest.Test(t, func(*testing.T) { res = l.run(seconds) })
			t.Logf("writes/s %.1f lost/s %.1f reads/s %.1f KB/s %.0f largest %d rejected %d p50 %v p99 %v",
				res.writes, res.lostSwaps, res.reads, res.bytes/1000, res.largest, res.rejected, res.p50, res.p99)
			assert.Assert(t, res.largest < maxDocumentSize/8)
			if l.preferred {
				bound := float64(DefaultSlotsPerRegion) * (1/DefaultGroupWindow.Seconds() + 1)
				assert.Assert(t, res.writes <= bound, "%.1f writes a second", res.writes)
				assert.Equal(t, res.rejected, 0)
			}
		})
	}
}
