package jwcatalogue

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
)

type historyInput struct {
	id         string
	ifRevision uint64
}

type historyOutput struct {
	revision uint64 // of the entry after the edit
	id       string // the edit that made the revision
	done     bool
	unknown  bool
}

type historyState struct {
	revision uint64
	id       string
}

// historyModel is a register with compare-and-swap: a write takes effect only if
// the writer saw the current value. Otherwise it returns the current value.
var historyModel = porcupine.Model{
	Init: func() any { return historyState{} },
	Step: func(state, input, output any) (bool, any) {
		s, in, out := state.(historyState), input.(historyInput), output.(historyOutput)
		reported := historyState{out.revision, out.id}
		if s.revision != in.ifRevision {
			return !out.done && s == reported, s
		}
		return out.done && out.id == in.id && out.revision > s.revision, reported
	},
}

const historyEdits = 40

func TestEditHistory(t *testing.T) {
	// Four operators edit one entry through four nodes at once while replies are
	// lost. Each edit reported as done must have followed the revision that its
	// operator saw, and each rejected one must report the change that came first.
	for seed := range uint64(20) {
		s := new(fakeStore)
		rnd := rand.New(rand.NewPCG(seed, 1))
		var mu sync.Mutex
		s.beforeCall = func() {
			mu.Lock()
			defer mu.Unlock()
			loseReply, dropWrite := rnd.IntN(6) == 0, rnd.IntN(8) == 0
			s.mu.Lock()
			defer s.mu.Unlock()
			if loseReply && s.loseReplies == 0 {
				s.loseReplies = 1
			}
			if dropWrite && s.dropWrites == 0 {
				s.dropWrites = rnd.IntN(7)
			}
		}
		var events []porcupine.Operation
		var wg sync.WaitGroup
		begin := time.Now()
		for operator := range 4 {
			wg.Go(func() {
				d := newEditor(s)
				seen := uint64(0)
				for i := range historyEdits / 4 {
					in := historyInput{id: fmt.Sprintf("e%d-%d", operator, i), ifRevision: seen}
					call := time.Since(begin)
					out := putOutcome(d, in)
					if !out.unknown {
						seen = out.revision
					}
					end := int64(time.Since(begin))
					mu.Lock()
					events = append(events, porcupine.Operation{ClientId: operator, Input: in, Call: int64(call), Output: out, Return: end})
					mu.Unlock()
				}
			})
		}
		wg.Wait()
		s.beforeCall = nil
		events = resolveUnknown(t, s, events)
		result := porcupine.CheckOperationsTimeout(historyModel, events, 20*time.Second)
		assert.Equal(t, result, porcupine.Ok, "seed %d", seed)
	}
}

// resolveUnknown looks up edits of unknown outcome in the log. Those found
// there took effect at some time after they were sent.
func resolveUnknown(t *testing.T, s *fakeStore, events []porcupine.Operation) []porcupine.Operation {
	t.Helper()
	table := new(Table)
	assert.NilError(t, changeLog{store: s}.catchUp(t.Context(), table))
	var resolved []porcupine.Operation
	for _, e := range events {
		if !e.Output.(historyOutput).unknown {
			resolved = append(resolved, e)
			continue
		}
		if c, ok := table.changeByEditID(e.Input.(historyInput).id); ok {
			e.Output = historyOutput{revision: c.N, id: c.EditID, done: true}
			e.Return = int64(time.Hour)
			resolved = append(resolved, e)
		}
	}
	return resolved
}

func putOutcome(d *Editor, in historyInput) historyOutput {
	res, err := d.Put(context.Background(), newEdit(in.id, "status", in.ifRevision))
	var conflict *ConflictError
	switch {
	case err == nil:
		return historyOutput{revision: res.Revision, id: in.id, done: true}
	case errors.As(err, &conflict) && conflict.ConflictingChange != nil:
		return historyOutput{revision: conflict.Revision, id: conflict.ConflictingChange.EditID}
	case errors.As(err, &conflict):
		return historyOutput{revision: conflict.Revision}
	}
	return historyOutput{unknown: true}
}
