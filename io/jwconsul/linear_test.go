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

// A caller retries a write that is reported to have had no effect. If the write did
// take effect, a deposit is taken twice. Many callers swap one key while replies are
// lost, the service goes down or pauses and connections go silent. The results that they
// get must be linearizable.
func TestLinearizableUnderFaults(t *testing.T) {
	const callers, minFailures = 6, 8
	stand := startStand(t, &jwstand.KeyValue{})
	kv := &jwconsul.KeyValue{Address: stand.Address, Timeout: 40 * time.Millisecond}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	var faults sync.WaitGroup
	faults.Go(func() { injectFaults(ctx, stand) })
	h := &history{started: time.Now()}
	var wg sync.WaitGroup
	for caller := range callers {
		wg.Go(func() {
			for n := 0; !h.sawFailures(minFailures) && ctx.Err() == nil; n++ {
				h.replace(kv, caller, fmt.Sprintf("%d-%d", caller, n))
			}
		})
	}
	wg.Wait()
	cancel()
	faults.Wait()
	t.Logf("%d calls in the history, %d failed with ErrUnknown, %d with ErrUnavailable", len(h.operations), h.unknown, h.unavailable)
	assert.Assert(t, h.sawFailures(minFailures), "both kinds of failure must occur")
	result, _ := porcupine.CheckOperationsVerbose(swapModel, h.operations, time.Minute)
	assert.Equal(t, result, porcupine.Ok)
}

// injectFaults injects one random fault after another until ctx ends.
func injectFaults(ctx context.Context, stand *jwstand.StandIn) {
	rng := rand.New(rand.NewPCG(1, 1))
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
		stand.SetFaults(faults[rng.IntN(len(faults))])
		time.Sleep(time.Duration(rng.IntN(30)) * time.Millisecond)
		stand.SetFaults(jwstand.Faults{})
		time.Sleep(time.Duration(rng.IntN(30)) * time.Millisecond)
	}
}

// outcome is the result of a swap as its caller sees it.
type outcome string

const (
	swapped outcome = "swapped"
	refused outcome = "refused"
	unknown outcome = "unknown"
)

// registerInput is one call: a read, or a swap that replaces expect with value. Values are
// unique, so the model uses them as versions.
type registerInput struct {
	read   bool
	expect string
	value  string
}

// history records calls with their start and end times.
type history struct {
	started     time.Time
	mu          sync.Mutex
	operations  []porcupine.Operation
	unknown     int
	unavailable int
}

// replace reads the key and swaps in a new value.
func (h *history) replace(kv *jwconsul.KeyValue, caller int, value string) {
	ctx := context.Background()
	call := time.Since(h.started).Nanoseconds()
	item, _, err := kv.Get(ctx, "k")
	if err != nil {
		h.countFailure(err)
		return
	}
	h.record(caller, registerInput{read: true}, call, string(item.Value))
	call = time.Since(h.started).Nanoseconds()
	_, ok, err := kv.CompareAndSwap(ctx, "k", []byte(value), item.Version)
	result := refused
	switch {
	case errors.Is(err, jwstore.ErrUnavailable):
		h.countFailure(err)
		return // the swap had no effect, so the history leaves it out
	case err != nil:
		h.countFailure(err)
		result = unknown
	case ok:
		result = swapped
	}
	h.record(caller, registerInput{expect: string(item.Value), value: value}, call, result)
}

// sawFailures reports whether each kind of failure has occurred at least minFailures times.
func (h *history) sawFailures(minFailures int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.unknown >= minFailures && h.unavailable >= minFailures
}

func (h *history) countFailure(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if errors.Is(err, jwstore.ErrUnknown) {
		h.unknown++
		return
	}
	h.unavailable++
}

func (h *history) record(caller int, in registerInput, call int64, out any) {
	end := time.Since(h.started).Nanoseconds()
	if out == unknown {
		end = time.Hour.Nanoseconds() // the swap may take effect at any later time
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	id := caller
	if out == unknown {
		// A separate client, because the caller sends more calls while this one is
		// pending.
		id = 1000 + len(h.operations)
	}
	h.operations = append(h.operations, porcupine.Operation{ClientId: id, Input: in, Call: call, Output: out, Return: end})
}

// swapModel is a register with compare-and-swap. A swap with an unknown outcome either
// took effect at its place in the order or had no effect.
var swapModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		in, value := input.(registerInput), state.(string)
		if in.read {
			if output.(string) == value {
				return []any{value}
			}
			return nil
		}
		matches := in.expect == value
		switch output.(outcome) {
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
