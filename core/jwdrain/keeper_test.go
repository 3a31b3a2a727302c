package jwdrain

import (
	"context"
	"crypto/sha256"
	"iter"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"jujubewheel/core/jwclaim"
	"jujubewheel/core/jwrequest"
	"jujubewheel/core/jwstore"
)

// unavailableStore is a store that is unavailable.
type unavailableStore struct{}

func (unavailableStore) Get(context.Context, string) (jwstore.Item, bool, error) {
	return jwstore.Item{}, false, jwstore.ErrUnavailable
}

func (unavailableStore) List(context.Context, string) ([]jwstore.Item, error) {
	return nil, jwstore.ErrUnavailable
}

func (unavailableStore) Wait(context.Context, string, uint64, time.Duration) (jwstore.Item, bool, error) {
	return jwstore.Item{}, false, jwstore.ErrUnavailable
}

func (unavailableStore) CompareAndSwap(context.Context, string, []byte, uint64) (uint64, bool, error) {
	return 0, false, jwstore.ErrUnavailable
}

func (unavailableStore) Delete(context.Context, string, uint64) (bool, error) {
	return false, jwstore.ErrUnavailable
}

// localSuccessor is a successor in the same process: it hands records to another
// keeper.
type localSuccessor struct{ k *jwclaim.Keeper }

func (b localSuccessor) Holder() jwclaim.Holder {
	return jwclaim.Holder{Node: b.k.Node, Region: b.k.Region, Incarnation: b.k.Incarnation}
}

func (b localSuccessor) Handover(_ context.Context, records iter.Seq[jwclaim.Record]) (jwclaim.Receipt, error) {
	return b.k.Adopt(func(yield func(jwclaim.Record, error) bool) {
		for r := range records {
			if !yield(r, nil) {
				return
			}
		}
	})
}

// A node stops while the store is down and a confirmation still runs. A caller
// that got no answer retries the request at the successor. It must get the
// answer of the first run: the outcome must not be unknown, and the request must
// not run twice.
func TestStopWithStoreDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var keepers [2]*jwclaim.Keeper
		for i, name := range []string{"a", "b"} {
			k := &jwclaim.Keeper{Store: unavailableStore{}, Node: name, Region: "irbid-a", Incarnation: name + "-1", Salt: []byte("salt")}
			go func() { _ = k.Run(ctx) }()
			keepers[i] = k
		}
		synctest.Wait()
		ticket, err := keepers[0].Mint()
		assert.NilError(t, err)
		keyedCall := jwclaim.KeyedCall{Workspace: "hall", Region: "irbid-a", Key: ticket, Body: sha256.Sum256([]byte("deposit"))}
		d := &Drain{Keys: keepers[0], Successors: func() []jwclaim.Successor { return []jwclaim.Successor{localSuccessor{keepers[1]}} }}

		done, ok := d.Enter()
		assert.Assert(t, ok)
		first, err := keepers[0].Begin(ctx, keyedCall)
		assert.NilError(t, err)
		assert.NilError(t, first.Call.MarkDispatched())
		time.AfterFunc(time.Minute, func() {
			first.Call.Finish(jwclaim.Answer{Status: 200, Body: []byte("paid"), Outcome: jwrequest.Served})
			done()
		})
		assert.NilError(t, d.Run(ctx))
		replayed, err := keepers[1].Begin(ctx, keyedCall)
		assert.NilError(t, err)
		assert.Equal(t, replayed.Verdict, jwclaim.Replay)
		assert.Equal(t, string(replayed.Answer.Body), "paid")
		cancel()
		synctest.Wait()
	})
}
