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

// The reply of a write is lost, the service goes down in the middle of one, a
// connection goes silent. If a write that took effect is told as certainly
// without effect, its caller does the work a second time: a deposit is taken
// twice. Here many callers swap one key under all these faults, and what they
// were told must fit one order of writes.
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

// stir sets one fault after another.
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

// told is what a caller heard of a swap.
type told string

const (
	swapped told = "swapped"
	refused told = "refused"
	unknown told = "unknown"
)

// step is one call: a read of value, or a swap of expect for value. Values are
// unique, so they stand for the versions.
type step struct {
	read   bool
	expect string
	value  string
}

// history gathers calls with their times.
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
		return // certainly no effect: the order must do without it
	case err != nil:
		h.count(err)
		answer = unknown
	case done:
		answer = swapped
	}
	h.note(caller, step{expect: string(item.Value), value: value}, call, answer)
}

// met tells whether each kind of failure has come often enough.
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
		end = time.Hour.Nanoseconds() // it may take effect at any later time
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	id := caller
	if out == unknown {
		id = 1000 + len(h.operations) // its caller goes on while it is open
	}
	h.operations = append(h.operations, porcupine.Operation{ClientId: id, Input: in, Call: call, Output: out, Return: end})
}

// swapModel is a register with compare-and-swap; an unknown swap either took
// effect where it stands in the order or had none.
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
