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

// started returns a keeper whose goroutines end with the benchmark.
func started(b *testing.B) *Keeper {
	b.Helper()
	k := &Keeper{Store: &link{s: newFakeStore()}, Node: "a", Region: "irbid-a", Incarnation: "a-1", Salt: []byte("salt")}
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
	k := started(b)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := k.Mint(); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkTicketRun(b *testing.B) {
	k := started(b)
	b.ReportAllocs()
	for b.Loop() {
		b.StopTimer()
		ticket, _ := k.Mint()
		b.StartTimer()
		d, err := k.Begin(b.Context(), own(ticket, "deposit"))
		if err != nil || d.Verdict != Run || d.Call.Dispatched() != nil {
			b.Fatal(d.Verdict, err)
		}
		d.Call.Finish(served("paid"))
	}
}

func BenchmarkTicketReplay(b *testing.B) {
	k := started(b)
	ticket, _ := k.Mint()
	d, _ := k.Begin(b.Context(), own(ticket, "deposit"))
	d.Call.Finish(served("paid"))
	b.ReportAllocs()
	for b.Loop() {
		if d, _ := k.Begin(b.Context(), own(ticket, "deposit")); d.Verdict != Replay {
			b.Fatal(d.Verdict)
		}
	}
}

// BenchmarkViewMemory tells what a node that tends a slot spends on each key
// that is remembered.
func BenchmarkViewMemory(b *testing.B) {
	const claims = 100_000
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		v := view{live: map[keyHash]claimed{}}
		v.addSegment(1, document{}, 1)
		d := document{Holders: []Holder{{Node: "a", Region: "irbid-a", Incarnation: "a-1"}}}
		for i := range claims {
			r := row{ID: claimID{1, byte(i), byte(i >> 8), byte(i >> 16)}, Key: keyHash{1, byte(i), byte(i >> 8), byte(i >> 16)}}
			d.Rows = append(d.Rows, r)
			if len(d.Rows) == DefaultSegmentRows {
				v.replaceHead(d, 1)
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

// load is a steady stream of fresh own keys.
type load struct {
	rate      int // confirmations a second
	nodes     int
	preferred bool          // sent to the preferred node of the slot
	trip      time.Duration // one way to the store
}

// names are the serving nodes of the only region.
type names []string

func (ns names) Serving(string) []string { return ns }

type loadResult struct {
	writes, lost, reads float64 // a second
	bytes               float64 // written a second
	largest             int     // bytes of a document
	turned              int     // calls that got no claim
	p50, p99            time.Duration
}

func (l load) String() string {
	return fmt.Sprintf("%d/s nodes=%d preferred=%v trip=%v", l.rate, l.nodes, l.preferred, l.trip)
}

// run drives the load for some seconds of a bubble's time.
func (l load) run(seconds int) loadResult {
	s := newFakeStore()
	var all []*node
	var peers names
	for i := range l.nodes {
		peers = append(peers, fmt.Sprint("n", i))
	}
	for _, name := range peers {
		all = append(all, start(s, name, func(n *node) { n.Peers = peers; n.link.trip = l.trip }))
	}
	var mu sync.Mutex
	var waits []time.Duration
	var res loadResult
	var calls sync.WaitGroup
	r := rand.New(rand.NewSource(1))
	for i := range l.rate * seconds {
		a := own(fmt.Sprint("k", i), "x")
		n := all[r.Intn(len(all))]
		if want := n.Preferred(a); l.preferred {
			for _, m := range all {
				if m.Node == want {
					n = m
				}
			}
		}
		calls.Go(func() {
			began := time.Now()
			d, _ := n.Begin(context.Background(), a)
			mu.Lock()
			defer mu.Unlock()
			waits = append(waits, time.Since(began))
			if d.Verdict != Run {
				res.turned++
				return
			}
			d.Call.Finish(served("paid"))
		})
		time.Sleep(time.Duration(r.ExpFloat64() * float64(time.Second) / float64(l.rate)))
	}
	calls.Wait()
	for _, n := range all {
		res.lost += float64(n.Counts().LostSwaps) / float64(seconds)
		n.end()
	}
	sort.Slice(waits, func(i, j int) bool { return waits[i] < waits[j] })
	res.p50, res.p99 = waits[len(waits)/2], waits[len(waits)*99/100]
	res.writes = float64(s.writes) / float64(seconds)
	res.reads = float64(s.reads) / float64(seconds)
	res.bytes = float64(s.bytes) / float64(seconds)
	res.largest = s.largest
	return res
}

// The store takes several hundred writes a second from all regions together.
// Without groups, a morning's peak of confirmations would use it up, and
// catalogue changes would wait behind them.
func TestWriteBudget(t *testing.T) {
	seconds := 2
	for _, l := range []load{
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
			t.Logf("writes/s %.1f lost/s %.1f reads/s %.1f KB/s %.0f largest %d turned %d p50 %v p99 %v",
				res.writes, res.lost, res.reads, res.bytes/1000, res.largest, res.turned, res.p50, res.p99)
			assert.Assert(t, res.largest < documentMax/8)
			if l.preferred {
				bound := float64(DefaultSlots) * (1/DefaultGroupWindow.Seconds() + 1)
				assert.Assert(t, res.writes <= bound, "%.1f writes a second", res.writes)
				assert.Equal(t, res.turned, 0)
			}
		})
	}
}
