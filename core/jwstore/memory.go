package jwstore

import (
	"bytes"
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"jujubewheel/core/jwclock"
)

// Calls counts the calls of a store by kind; a Wait counts once however long it blocks.
type Calls struct {
	Reads    uint64 `json:"reads"`
	Writes   uint64 `json:"writes"`
	Waits    uint64 `json:"waits"`
	Failures uint64 `json:"failures"` // calls of all kinds that returned an error
}

// Memory is a Store in memory with faults that can be injected at any time. The
// zero value is empty and healthy. It is safe for concurrent use.
type Memory struct {
	mu            sync.Mutex
	items         map[string]Item
	changed       map[string]chan struct{} // closed at the next write of the key
	index         uint64                   // number of writes so far; the version of the latest is one higher
	down          bool
	wentDown      chan struct{} // closed when the store goes down, so that blocked calls of Wait return
	delay         time.Duration
	repliesToLose int // number of upcoming writes that lose their reply
	calls         Calls
}

var _ Store = (*Memory)(nil)

// SetDown sets whether every call, including a blocked Wait, fails with
// ErrUnavailable.
func (m *Memory) SetDown(down bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down = down
	if down && m.wentDown != nil {
		close(m.wentDown)
		m.wentDown = nil
	}
}

// SetDelay delays the start of every later call. A call whose context ends during
// the delay has no effect.
func (m *Memory) SetDelay(delay time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.delay = delay
}

// LoseReplies makes the next n writes take effect and then fail with ErrUnknown.
func (m *Memory) LoseReplies(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.repliesToLose = n
}

// Calls returns the numbers of calls so far.
func (m *Memory) Calls() Calls {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls
}

// Index returns the version of the latest write of any key, 1 before the first.
func (m *Memory) Index() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.version()
}

// version returns the version of the latest write. The empty store has version 1,
// so that its index is above zero and below that of every write.
func (m *Memory) version() uint64 { return m.index + 1 }

// Get implements Reader.
func (m *Memory) Get(ctx context.Context, key string) (Item, bool, error) {
	if err := m.begin(ctx, "get "+key, &m.calls.Reads); err != nil {
		return Item{}, false, err
	}
	defer m.mu.Unlock()
	item, found := m.read(key)
	return item, found, nil
}

// List implements Reader.
func (m *Memory) List(ctx context.Context, prefix string) ([]Item, error) {
	if err := m.begin(ctx, "list "+prefix, &m.calls.Reads); err != nil {
		return nil, err
	}
	defer m.mu.Unlock()
	var items []Item
	for _, key := range slices.Sorted(maps.Keys(m.items)) {
		if !strings.HasPrefix(key, prefix) {
			continue
		}
		item, _ := m.read(key)
		items = append(items, item)
	}
	return items, nil
}

// Wait implements Reader.
func (m *Memory) Wait(ctx context.Context, key string, after uint64, maxWait time.Duration) (Item, bool, error) {
	op := "wait " + key
	if err := m.begin(ctx, op, &m.calls.Waits); err != nil {
		return Item{}, false, err
	}
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	for {
		item, found := m.read(key)
		if item.Version != after {
			m.mu.Unlock()
			return item, found, nil
		}
		changed, downed := m.watch(key), m.watchDown()
		m.mu.Unlock()
		select {
		case <-changed:
		case <-downed:
			return Item{}, false, m.fail(errors.Wrap(ErrUnavailable, op))
		case <-ctx.Done():
			return Item{}, false, m.fail(m.contextError(ctx.Err(), op))
		case <-timer.C:
			return item, found, nil
		}
		m.mu.Lock()
	}
}

// CompareAndSwap implements Writer.
func (m *Memory) CompareAndSwap(ctx context.Context, key string, value []byte, version uint64) (uint64, bool, error) {
	op := "swap " + key
	if err := m.begin(ctx, op, &m.calls.Writes); err != nil {
		return 0, false, err
	}
	defer m.mu.Unlock()
	swapped := m.items[key].Version == version
	if swapped {
		m.index++
		if m.items == nil {
			m.items = make(map[string]Item)
		}
		m.items[key] = Item{Key: key, Value: bytes.Clone(value), Version: m.version()}
		m.notify(key)
	}
	if m.loseReply() {
		return 0, false, errors.Wrap(ErrUnknown, op)
	}
	if !swapped {
		return 0, false, nil
	}
	return m.version(), true, nil
}

// Delete implements Writer.
func (m *Memory) Delete(ctx context.Context, key string, version uint64) (bool, error) {
	op := "delete " + key
	if err := m.begin(ctx, op, &m.calls.Writes); err != nil {
		return false, err
	}
	defer m.mu.Unlock()
	item, found := m.items[key]
	deleted := found && item.Version == version
	if deleted {
		m.index++
		delete(m.items, key)
		m.notify(key)
	}
	if m.loseReply() {
		return false, errors.Wrap(ErrUnknown, op)
	}
	return deleted, nil
}

// begin counts a call and waits for the delay. It returns with m.mu locked unless
// it returns an error.
func (m *Memory) begin(ctx context.Context, op string, count *uint64) error {
	m.mu.Lock()
	*count++
	delay := m.delay
	if delay > 0 {
		m.mu.Unlock()
		if err := jwclock.Sleep(ctx, delay); err != nil {
			return m.fail(m.contextError(err, op))
		}
		m.mu.Lock()
	}
	if err := ctx.Err(); err != nil {
		m.calls.Failures++
		m.mu.Unlock()
		return m.contextError(err, op)
	}
	if m.down {
		m.calls.Failures++
		m.mu.Unlock()
		return errors.Wrap(ErrUnavailable, op)
	}
	return nil
}

// contextError returns ErrUnavailable, as the call had no effect, with the text of
// the context's error.
func (m *Memory) contextError(err error, op string) error {
	return errors.Wrapf(ErrUnavailable, "%s: %v", op, err)
}

// fail counts a failed call and returns err.
func (m *Memory) fail(err error) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls.Failures++
	return err
}

// loseReply reports whether the current write loses its reply, and counts it.
func (m *Memory) loseReply() bool {
	if m.repliesToLose == 0 {
		return false
	}
	m.repliesToLose--
	m.calls.Failures++
	return true
}

// read returns a copy of the item of a key, and whether the key exists.
func (m *Memory) read(key string) (Item, bool) {
	item, found := m.items[key]
	item.Key = key
	item.Value = bytes.Clone(item.Value)
	return item, found
}

// watch returns a channel that is closed at the next write of a key.
func (m *Memory) watch(key string) chan struct{} {
	if m.changed == nil {
		m.changed = make(map[string]chan struct{})
	}
	ch, found := m.changed[key]
	if !found {
		ch = make(chan struct{})
		m.changed[key] = ch
	}
	return ch
}

// watchDown returns a channel that is closed when the store goes down.
func (m *Memory) watchDown() chan struct{} {
	if m.wentDown == nil {
		m.wentDown = make(chan struct{})
	}
	return m.wentDown
}

// notify wakes the callers that wait for a write of a key.
func (m *Memory) notify(key string) {
	if ch, found := m.changed[key]; found {
		close(ch)
		delete(m.changed, key)
	}
}
