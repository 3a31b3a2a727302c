package jwconsul_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"jujubewheel/core/jwstore"
	"jujubewheel/io/jwconsul"
	"jujubewheel/io/jwstand"
)

// A caller that is told that its write had no effect repeats the work. If the write did
// take effect, a deposit is taken twice. Many callers swap one key while replies are
// lost, the service goes down or pauses and connections go silent. The results that they
// get must be linearizable.
func TestLinearUnderFaults(t *testing.T) {
	const callers, enough = 6, 8
	stand := startStand(t, &jwstand.KeyValue{})
	kv := &jwconsul.KeyValue{Address: stand.Address, Timeout: 40 * time.Millisecond}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	var faults sync.WaitGroup
	faults.Go(func() { stir(ctx, stand) })
	h := &history{began: time.Now()}
	var wg sync.WaitGroup
	for caller := range callers {
		wg.Go(func() {
			for n := 0; !h.met(enough) && ctx.Err() == nil; n++ {
				h.replace(kv, caller, fmt.Sprintf("%d-%d", caller, n))
			}
		})
	}
	wg.Wait()
	cancel()
	faults.Wait()
	t.Logf("of %d calls %d were told unknown, %d unavailable", len(h.operations), h.unknown, h.unavailable)
	assert.Assert(t, h.met(enough), "the faults were met")
	result, _ := porcupine.CheckOperationsVerbose(swapModel, h.operations, time.Minute)
	assert.Equal(t, result, porcupine.Ok)
}

// stir injects one random fault after another until ctx ends.
func stir(ctx context.Context, stand *jwstand.Stand) {
	random := rand.New(rand.NewPCG(1, 1))
	faults := []jwstand.Faults{
		{LoseReply: 1},
		{LoseReply: 2},
		{Down: true},
		{Silent: true},
		{Slow: jwstand.Duration(60 * time.Millisecond)},
		{Pause: true},
	}
	defer stand.SetFaults(jwstand.Faults{})
	for ctx.Err() == nil {
		stand.SetFaults(faults[random.IntN(len(faults))])
		time.Sleep(time.Duration(random.IntN(30)) * time.Millisecond)
		stand.SetFaults(jwstand.Faults{})
		time.Sleep(time.Duration(random.IntN(30)) * time.Millisecond)
	}
}

// told is the result of a swap as its caller sees it.
type told string

const (
	swapped told = "swapped"
	refused told = "refused"
	unknown told = "unknown"
)

// step is one call: a read, or a swap that replaces expect with value. Values are unique,
// so the model uses them as versions.
type step struct {
	read   bool
	expect string
	value  string
}

// history records calls with their start and end times.
type history struct {
	began       time.Time
	mu          sync.Mutex
	operations  []porcupine.Operation
	unknown     int
	unavailable int
}

// replace reads the key and swaps in a new value.
func (h *history) replace(kv *jwconsul.KeyValue, caller int, value string) {
	ctx := context.Background()
	call := time.Since(h.began).Nanoseconds()
	item, _, err := kv.Get(ctx, "k")
	if err != nil {
		h.count(err)
		return
	}
	h.note(caller, step{read: true}, call, string(item.Value))
	call = time.Since(h.began).Nanoseconds()
	_, done, err := kv.Swap(ctx, "k", []byte(value), item.Version)
	answer := refused
	switch {
	case errors.Is(err, jwstore.ErrUnavailable):
		h.count(err)
		return // the swap had no effect, so the history leaves it out
	case err != nil:
		h.count(err)
		answer = unknown
	case done:
		answer = swapped
	}
	h.note(caller, step{expect: string(item.Value), value: value}, call, answer)
}

// met reports whether each kind of failure has occurred at least enough times.
func (h *history) met(enough int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.unknown >= enough && h.unavailable >= enough
}

func (h *history) count(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if errors.Is(err, jwstore.ErrUnknown) {
		h.unknown++
		return
	}
	h.unavailable++
}

func (h *history) note(caller int, in step, call int64, out any) {
	end := time.Since(h.began).Nanoseconds()
	if out == unknown {
		end = time.Hour.Nanoseconds() // the swap may take effect at any later time
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	id := caller
	if out == unknown {
		id = 1000 + len(h.operations) // a client of its own, because the caller sends more calls while this one is pending
	}
	h.operations = append(h.operations, porcupine.Operation{ClientId: id, Input: in, Call: call, Output: out, Return: end})
}

// swapModel is a register with compare-and-swap. A swap with an unknown outcome either
// took effect at its place in the order or had no effect.
var swapModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		in, value := input.(step), state.(string)
		if in.read {
			if output.(string) == value {
				return []any{value}
			}
			return nil
		}
		matches := in.expect == value
		switch output.(told) {
		case swapped:
			if matches {
				return []any{in.value}
			}
			return nil
		case refused:
			if matches {
				return nil
			}
			return []any{value}
		default:
			if matches {
				return []any{in.value, value}
			}
			return []any{value}
		}
	},
}).ToModel()
