package jwconsul_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/zeromicro/go-zero/core/logx"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"jujubewheel/core/jwstore"
	"jujubewheel/io/jwconsul"
	"jujubewheel/io/jwstand"
)

func TestMain(m *testing.M) {
	logx.Disable()
	os.Exit(m.Run())
}

// startStand serves a stand-in for a platform service until the test ends.
func startStand(t *testing.T, program jwstand.Program) *jwstand.StandIn {
	t.Helper()
	stand := &jwstand.StandIn{Program: program}
	stop, err := stand.Start()
	assert.NilError(t, err)
	t.Cleanup(func() { assert.Check(t, stop()) })
	return stand
}

// stores returns both implementations of Store, so that each runs the same test cases.
func stores(t *testing.T) map[string]jwstore.Store {
	stand := startStand(t, &jwstand.KeyValue{})
	return map[string]jwstore.Store{
		"memory":   &jwstore.Memory{},
		"keyValue": &jwconsul.KeyValue{Address: stand.Address},
	}
}

func TestConformance(t *testing.T) {
	tests := map[string]func(t *testing.T, ctx context.Context, s jwstore.Store){
		"a missing key is not found": func(t *testing.T, ctx context.Context, s jwstore.Store) {
			item, found, err := s.Get(ctx, "none")
			assert.NilError(t, err)
			assert.Check(t, !found && item.Version == 0)
		},
		"create, read, replace": func(t *testing.T, ctx context.Context, s jwstore.Store) {
			first, swapped, err := s.CompareAndSwap(ctx, "a/b c", []byte("one"), 0)
			assert.NilError(t, err)
			assert.Check(t, swapped && first > 0)
			item, found, err := s.Get(ctx, "a/b c")
			assert.NilError(t, err)
			assert.Check(t, found)
			assert.DeepEqual(t, item, jwstore.Item{Key: "a/b c", Value: []byte("one"), Version: first})
			second, swapped, err := s.CompareAndSwap(ctx, "a/b c", []byte("two"), first)
			assert.NilError(t, err)
			assert.Check(t, swapped && second > first)
		},
		"a stale version does not swap": func(t *testing.T, ctx context.Context, s jwstore.Store) {
			first := mustSwap(t, s, "k", "one", 0)
			mustSwap(t, s, "k", "two", first)
			for _, version := range []uint64{0, first, first + 100} {
				_, swapped, err := s.CompareAndSwap(ctx, "k", []byte("three"), version)
				assert.NilError(t, err)
				assert.Check(t, !swapped, "version %d", version)
			}
			item, _, err := s.Get(ctx, "k")
			assert.NilError(t, err)
			assert.Equal(t, string(item.Value), "two")
		},
		"delete requires the current version": func(t *testing.T, ctx context.Context, s jwstore.Store) {
			first := mustSwap(t, s, "k", "one", 0)
			for _, version := range []uint64{0, first + 1} {
				deleted, err := s.Delete(ctx, "k", version)
				assert.NilError(t, err)
				assert.Check(t, !deleted, "version %d", version)
			}
			deleted, err := s.Delete(ctx, "k", first)
			assert.NilError(t, err)
			assert.Check(t, deleted)
			deleted, err = s.Delete(ctx, "k", first)
			assert.NilError(t, err)
			assert.Check(t, !deleted, "only one caller may delete the key")
			_, found, err := s.Get(ctx, "k")
			assert.NilError(t, err)
			assert.Check(t, !found)
			second := mustSwap(t, s, "k", "two", 0)
			assert.Check(t, second > first, "versions must increase across a delete")
		},
		"list is sorted and limited to the prefix": func(t *testing.T, ctx context.Context, s jwstore.Store) {
			for _, key := range []string{"p/2", "p/10", "q/1", "p"} {
				mustSwap(t, s, key, key, 0)
			}
			items, err := s.List(ctx, "p/")
			assert.NilError(t, err)
			var keys []string
			for _, item := range items {
				keys = append(keys, item.Key)
				assert.Equal(t, string(item.Value), item.Key)
			}
			assert.DeepEqual(t, keys, []string{"p/10", "p/2"})
			items, err = s.List(ctx, "none/")
			assert.NilError(t, err)
			assert.Equal(t, len(items), 0)
		},
		"an empty value is stored": func(t *testing.T, ctx context.Context, s jwstore.Store) {
			mustSwap(t, s, "k", "", 0)
			item, found, err := s.Get(ctx, "k")
			assert.NilError(t, err)
			assert.Check(t, found && len(item.Value) == 0)
		},
		"wait returns at once if the key has another version": func(t *testing.T, ctx context.Context, s jwstore.Store) {
			first := mustSwap(t, s, "k", "one", 0)
			for _, after := range []uint64{0, first - 1} {
				item, found, err := s.Wait(ctx, "k", after, time.Minute)
				assert.NilError(t, err)
				assert.Check(t, found && item.Version == first)
			}
			deleted, err := s.Delete(ctx, "k", first)
			assert.NilError(t, err)
			assert.Check(t, deleted)
			_, found, err := s.Wait(ctx, "k", first, time.Minute)
			assert.NilError(t, err)
			assert.Check(t, !found)
		},
		"wait ends after its maximum time": func(t *testing.T, ctx context.Context, s jwstore.Store) {
			first := mustSwap(t, s, "k", "one", 0)
			item, found, err := s.Wait(ctx, "k", first, 20*time.Millisecond)
			assert.NilError(t, err)
			assert.Check(t, found && item.Version == first)
			_, found, err = s.Wait(ctx, "none", 0, 20*time.Millisecond)
			assert.NilError(t, err)
			assert.Check(t, !found)
		},
		"wait returns when the key is written": func(t *testing.T, ctx context.Context, s jwstore.Store) {
			var wg sync.WaitGroup
			for i := range 4 {
				wg.Go(func() {
					item, found, err := s.Wait(ctx, "k", 0, time.Minute)
					assert.Check(t, err == nil && found && string(item.Value) == "one", "waiter %d: %v", i, err)
				})
			}
			mustSwap(t, s, "other", "x", 0)
			mustSwap(t, s, "k", "one", 0)
			wg.Wait()
		},
		"only one of several concurrent writers swaps": func(t *testing.T, ctx context.Context, s jwstore.Store) {
			var won atomic.Int32
			var wg sync.WaitGroup
			for range 8 {
				wg.Go(func() {
					_, swapped, err := s.CompareAndSwap(ctx, "k", []byte("mine"), 0)
					assert.Check(t, err)
					if swapped {
						won.Add(1)
					}
				})
			}
			wg.Wait()
			assert.Equal(t, won.Load(), int32(1))
		},
	}
	for name, test := range tests {
		for implementation, s := range stores(t) {
			t.Run(name+"/"+implementation, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
				defer cancel()
				test(t, ctx, s)
			})
		}
	}
}

func mustSwap(t *testing.T, s jwstore.Store, key, value string, version uint64) uint64 {
	t.Helper()
	next, swapped, err := s.CompareAndSwap(context.Background(), key, []byte(value), version)
	assert.NilError(t, err)
	assert.Assert(t, swapped)
	return next
}

// A writer that gets no reply does not know whether its write took effect. An operator
// who gets a plain failure would make the same change twice. So the error must be
// ErrUnknown, and a later read must show the outcome.
func TestLostReply(t *testing.T) {
	ctx := context.Background()
	memory := &jwstore.Memory{}
	memory.LoseReplies(1)
	stand := startStand(t, &jwstand.KeyValue{})
	stand.SetFaults(jwstand.Faults{LoseReply: 1})
	tests := map[string]jwstore.Store{
		"memory":   memory,
		"keyValue": &jwconsul.KeyValue{Address: stand.Address},
	}
	for name, s := range tests {
		t.Run(name, func(t *testing.T) {
			_, swapped, err := s.CompareAndSwap(ctx, "k", []byte("one"), 0)
			assert.Check(t, errors.Is(err, jwstore.ErrUnknown) && !swapped, "%v", err)
			item, found, err := s.Get(ctx, "k")
			assert.NilError(t, err)
			assert.Check(t, found && string(item.Value) == "one")
			mustSwap(t, s, "k", "two", item.Version)
		})
	}
}

// While the service is down, its port refuses connections. A write that was never sent
// must be distinguished from one whose reply was lost. Otherwise the outcome of every
// confirmation during an outage would be unknown.
func TestOutage(t *testing.T) {
	ctx := context.Background()
	stand := startStand(t, &jwstand.KeyValue{})
	kv := &jwconsul.KeyValue{Address: stand.Address}
	first := mustSwap(t, kv, "k", "one", 0)
	stand.SetFaults(jwstand.Faults{Down: true})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		conn, err := net.Dial("tcp", stand.Address.String())
		if err != nil {
			return poll.Success()
		}
		_ = conn.Close()
		return poll.Continue("the port still accepts connections")
	})
	_, _, err := kv.Get(ctx, "k")
	assert.Check(t, errors.Is(err, jwstore.ErrUnavailable), "%v", err)
	_, err = kv.List(ctx, "k")
	assert.Check(t, errors.Is(err, jwstore.ErrUnavailable), "%v", err)
	_, _, err = kv.Wait(ctx, "k", first, time.Second)
	assert.Check(t, errors.Is(err, jwstore.ErrUnavailable), "%v", err)
	_, _, err = kv.CompareAndSwap(ctx, "k", []byte("two"), first)
	assert.Check(t, errors.Is(err, jwstore.ErrUnavailable), "%v", err)
	stand.SetFaults(jwstand.Faults{})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		item, _, err := kv.Get(ctx, "k")
		if err != nil {
			return poll.Continue("%v", err)
		}
		if string(item.Value) != "one" {
			return poll.Error(errors.New("the outage changed the value"))
		}
		return poll.Success()
	})
	assert.Check(t, kv.Calls().Failures >= 4)
}

// A silent connection accepts bytes and never returns any. Without a timeout the writer
// would hang. The outcome of the write is unknown because the request was sent, while a
// read has simply failed.
func TestSilentConnection(t *testing.T) {
	ctx := context.Background()
	stand := startStand(t, &jwstand.KeyValue{})
	kv := &jwconsul.KeyValue{Address: stand.Address, Timeout: 100 * time.Millisecond}
	first := mustSwap(t, kv, "k", "one", 0)
	stand.SetFaults(jwstand.Faults{Silent: true})
	_, _, err := kv.CompareAndSwap(ctx, "k", []byte("two"), first)
	assert.Check(t, errors.Is(err, jwstore.ErrUnknown), "%v", err)
	item, found, err := kv.Get(ctx, "k")
	assert.NilError(t, err, "a new connection must work")
	assert.Check(t, found && string(item.Value) == "one", "the swap on the silent connection must have no effect")
}

// A value that is too large is rejected before it is sent. Otherwise an operator who
// adds a very long entry could produce a value that the service rejects in the middle of
// a change.
func TestValueTooLarge(t *testing.T) {
	stand := startStand(t, &jwstand.KeyValue{})
	kv := &jwconsul.KeyValue{Address: stand.Address}
	_, _, err := kv.CompareAndSwap(context.Background(), "k", make([]byte, jwconsul.MaxValueSize+1), 0)
	assert.ErrorContains(t, err, "exceeds")
	mustSwap(t, kv, "k", string(make([]byte, jwconsul.MaxValueSize)), 0)
}

// Most nodes wait most of the time for a key that does not exist yet. Such a wait must
// not send a request for each write of another key: one read and one blocking read
// suffice.
func TestWaitCost(t *testing.T) {
	program := &jwstand.KeyValue{}
	stand := startStand(t, program)
	kv := &jwconsul.KeyValue{Address: stand.Address}
	done := make(chan error, 1)
	go func() {
		_, _, err := kv.Wait(context.Background(), "changes/1", 0, time.Minute)
		done <- err
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if program.Store.Calls().Waits == 0 {
			return poll.Continue("no blocking read yet")
		}
		return poll.Success()
	})
	for _, key := range []string{"a", "b", "c"} {
		mustSwap(t, kv, key, key, 0)
	}
	mustSwap(t, kv, "changes/1", "one", 0)
	assert.NilError(t, <-done)
	assert.DeepEqual(t, program.Calls(), jwstore.Calls{Reads: 1, Writes: 4, Waits: 1})
}

// If the service returns no index, every read of a Wait returns at once. Without a pause
// between them, one node would use up the read capacity that all nodes share.
func TestWaitWithoutIndex(t *testing.T) {
	var calls atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		w.WriteHeader(http.StatusNotFound)
	}))
	defer server.Close()
	kv := &jwconsul.KeyValue{Address: netip.MustParseAddrPort(server.Listener.Addr().String())}
	_, found, err := kv.Wait(context.Background(), "k", 0, 200*time.Millisecond)
	assert.NilError(t, err)
	assert.Check(t, !found && calls.Load() <= 8, "%d calls", calls.Load())
}
