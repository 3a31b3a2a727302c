package jwslope

import (
	"context"
	"fmt"
	"sync"
	"time"

	"jujubewheel/core/jwclaim"
	"jujubewheel/core/jwstore"
	"jujubewheel/io/jwsettings"
)

// storeDelay is how long the service takes for a call.
const storeDelay = 3 * time.Millisecond

// claiming is what the claims of a region did to the service.
type claiming struct {
	writes, reads float64 // a second
	lost          float64 // of the writes, lost to another node
	failed        float64 // calls that got no claim, a second
	cpu           float64 // share of a core
}

// claim sends keyed calls at a rate to the keepers of one region, in turn, and
// counts what reaches the store.
func claim(ctx context.Context, keepers, rate int, d time.Duration) (claiming, error) {
	store := &jwstore.Memory{}
	store.SetDelay(storeDelay)
	ctx, cancel := context.WithCancel(ctx)
	var running, sent sync.WaitGroup
	defer func() {
		cancel()
		running.Wait()
	}()
	all := make([]*jwclaim.Keeper, keepers)
	for i := range all {
		k := &jwclaim.Keeper{
			Store: store, Node: fmt.Sprintf("node-%d", i), Region: "region", Salt: []byte("measured"),
			Incarnation: fmt.Sprintf("0190-%032d", i), GroupWindow: jwsettings.DefaultGroupWindow,
		}
		all[i] = k
		running.Go(func() { _ = k.Run(ctx) })
	}
	time.Sleep(100 * time.Millisecond) // until they run
	before, cpu, began := store.Calls(), cpuTime(), time.Now()
	var mu sync.Mutex
	var out claiming
	tick := time.NewTicker(time.Second / time.Duration(rate))
	defer tick.Stop()
	for i := 0; time.Since(began) < d; i++ {
		<-tick.C
		k := all[i%keepers]
		sent.Go(func() {
			got, err := k.Begin(ctx, jwclaim.Ask{Workspace: "w", Region: "region", Key: fmt.Sprintf("key-%d", i)})
			if err == nil && got.Verdict == jwclaim.Run && got.Call.Dispatched() == nil {
				got.Call.Finish(jwclaim.Answer{Status: 200, Outcome: "served"})
				return
			}
			mu.Lock()
			out.failed++
			mu.Unlock()
		})
	}
	sent.Wait()
	took := time.Since(began).Seconds()
	after := store.Calls()
	out.writes = float64(after.Writes-before.Writes) / took
	out.reads = float64(after.Reads-before.Reads+after.Waits-before.Waits) / took
	out.failed /= took
	out.cpu = (cpuTime() - cpu).Seconds() / took
	var lost, writes uint64
	for _, k := range all {
		lost += k.Counts().LostSwaps
		writes += k.Counts().Writes
	}
	out.lost = float64(lost) / float64(max(writes, 1))
	return out, nil
}
