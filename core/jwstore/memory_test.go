package jwstore

import (
	"context"
	"errors"
	"flag"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestMain sets the seed of the random tests, from JUJUBE_SEED or else 1, so that a
// failure can be reproduced.
func TestMain(m *testing.M) {
	seed := os.Getenv("JUJUBE_SEED")
	if seed == "" {
		seed = "1"
	}
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func TestWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		m := &Memory{}
		start := time.Now()
		_, found, err := m.Wait(ctx, "k", 0, time.Minute)
		assert.NilError(t, err)
		assert.Check(t, !found && time.Since(start) == time.Minute)

		var wg sync.WaitGroup
		for range 3 {
			wg.Go(func() {
				item, found, err := m.Wait(ctx, "k", 0, time.Minute)
				assert.Check(t, err == nil && found && string(item.Value) == "one")
			})
		}
		synctest.Wait()
		_, _, err = m.CompareAndSwap(ctx, "other", nil, 0)
		assert.NilError(t, err)
		_, _, err = m.CompareAndSwap(ctx, "k", []byte("one"), 0)
		assert.NilError(t, err)
		wg.Wait()
		assert.DeepEqual(t, m.Calls(), Calls{Writes: 2, Waits: 4})
	})
}

func TestWaitTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, _, err := (&Memory{}).Wait(ctx, "k", 0, time.Minute)
		assert.Check(t, errors.Is(err, ErrUnavailable), "%v", err)
	})
}

// The service goes down while nodes are blocked in Wait. Wait must fail at once, or
// a change would reach the nodes only when their wait times out.
func TestErrorEndsWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		m := &Memory{}
		done := make(chan error, 1)
		go func() {
			_, _, err := m.Wait(ctx, "k", 0, time.Hour)
			done <- err
		}()
		synctest.Wait()
		m.SetDown(true)
		assert.Check(t, errors.Is(<-done, ErrUnavailable))
		_, _, err := m.CompareAndSwap(ctx, "k", nil, 0)
		assert.Check(t, errors.Is(err, ErrUnavailable))
		m.SetDown(false)
		_, found, err := m.Get(ctx, "k")
		assert.NilError(t, err)
		assert.Check(t, !found, "a failed write has no effect")
	})
}

// A slow service makes a caller's context end before the write. The write must not
// happen later, when the caller has already reported that it did not.
func TestTimedOutWriteHasNoEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &Memory{}
		m.SetDelay(time.Second)
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_, _, err := m.CompareAndSwap(ctx, "k", nil, 0)
		assert.Check(t, errors.Is(err, ErrUnavailable))
		start := time.Now()
		_, found, err := m.Get(context.Background(), "k")
		assert.NilError(t, err)
		assert.Check(t, !found && time.Since(start) == time.Second)
	})
}

// TestMemoryMatchesModel compares a Memory under random calls and faults with a map.
func TestMemoryMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{items: make(map[string]Item)}
		t.Repeat(map[string]func(*rapid.T){
			"get":    m.get,
			"swap":   m.swap,
			"delete": m.delete,
			"lose":   m.loseReply,
			"":       m.check,
		})
	})
}

// model is a Memory with a map of the items that it must hold.
type model struct {
	memory   Memory
	items    map[string]Item
	newest   uint64
	loseNext bool
}

func (m *model) get(t *rapid.T) {
	key := drawKey(t)
	item, found, err := m.memory.Get(context.Background(), key)
	assert.NilError(t, err)
	want, exists := m.items[key]
	assert.Equal(t, found, exists)
	assert.Equal(t, item.Version, want.Version)
	assert.Equal(t, string(item.Value), string(want.Value))
}

func (m *model) swap(t *rapid.T) {
	key, version := drawKey(t), m.drawVersion(t)
	value := []byte(rapid.String().Draw(t, "value"))
	next, swapped, err := m.memory.CompareAndSwap(context.Background(), key, value, version)
	matches := m.items[key].Version == version
	if m.loseNext {
		m.loseNext = false
		assert.Check(t, errors.Is(err, ErrUnknown))
		next = m.memory.Index()
	} else {
		assert.NilError(t, err)
		assert.Equal(t, swapped, matches)
	}
	if matches {
		assert.Check(t, next > m.newest, "versions increase")
		m.newest = next
		m.items[key] = Item{Key: key, Value: value, Version: next}
	}
}

func (m *model) delete(t *rapid.T) {
	key, version := drawKey(t), m.drawVersion(t)
	deleted, err := m.memory.Delete(context.Background(), key, version)
	item, exists := m.items[key]
	matches := exists && item.Version == version
	if m.loseNext {
		m.loseNext = false
		assert.Check(t, errors.Is(err, ErrUnknown))
	} else {
		assert.NilError(t, err)
		assert.Equal(t, deleted, matches)
	}
	if matches {
		delete(m.items, key)
		m.newest = m.memory.Index()
	}
}

func (m *model) loseReply(*rapid.T) {
	m.memory.LoseReplies(1)
	m.loseNext = true
}

func (m *model) check(t *rapid.T) {
	items, err := m.memory.List(context.Background(), "")
	assert.NilError(t, err)
	assert.Equal(t, len(items), len(m.items))
	for i, item := range items {
		assert.Equal(t, item.Version, m.items[item.Key].Version)
		assert.Check(t, i == 0 || items[i-1].Key < item.Key, "sorted")
	}
}

// drawVersion draws 0, the version of a key or one that no key has yet.
func (m *model) drawVersion(t *rapid.T) uint64 {
	versions := []uint64{0, m.newest + 1}
	for _, key := range []string{"a", "b", "a/b"} {
		versions = append(versions, m.items[key].Version)
	}
	return rapid.SampledFrom(versions).Draw(t, "version")
}

func drawKey(t *rapid.T) string {
	return rapid.SampledFrom([]string{"a", "b", "a/b"}).Draw(t, "key")
}
