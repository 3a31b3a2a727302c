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

// Calls counts what a store was asked for; a waiting read counts once.
type Calls struct {
	Reads    uint64 `json:"reads"`
	Writes   uint64 `json:"writes"`
	Waits    uint64 `json:"waits"`
	Failures uint64 `json:"failures"` // calls of all kinds that returned an error
}

// Memory is a Store in this process; the zero value is empty and healthy.
// Its faults may be set at any time and by any goroutine.
type Memory struct {
	mu            sync.Mutex
	items         map[string]Item
	changed       map[string]chan struct{} // closed at the next write of the key
	index         uint64                   // writes so far; the version of the newest is one more
	down          bool
	wentDown      chan struct{} // closed when the store goes down, so that waits end
	delay         time.Duration
	repliesToLose int // writes that are still to lose their reply
	calls         Calls
}

var _ Store = (*Memory)(nil)

// SetDown makes every call fail with ErrUnavailable, waiting ones included,
// until it is set back.
func (m *Memory) SetDown(down bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down = down
	if down && m.wentDown != nil {
		close(m.wentDown)
		m.wentDown = nil
	}
}

// SetDelay makes every later call take this long before it does its work; a
// caller that gives up in this time has had no effect.
func (m *Memory) SetDelay(delay time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.delay = delay
}

// LoseReplies lets the next n writes take effect and then fail with
// ErrUnknown.
func (m *Memory) LoseReplies(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.repliesToLose = n
}

// Calls returns the number of calls so far.
func (m *Memory) Calls() Calls {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls
}

// Index returns the version of the newest write of any key, 1 before the first.
func (m *Memory) Index() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.version()
}

// version leaves 1 to the empty store, so that an index of its state is above
// zero and below that of every write.
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

// Swap implements Writer.
func (m *Memory) Swap(ctx context.Context, key string, value []byte, version uint64) (uint64, bool, error) {
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

// begin counts a call, spends the delay and leaves the table locked unless it
// returns an error.
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

// contextError keeps the reason of the caller's context beside the certainty that
// nothing was done.
func (m *Memory) contextError(err error, op string) error {
	return errors.Wrapf(ErrUnavailable, "%s: %v", op, err)
}

func (m *Memory) fail(err error) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls.Failures++
	return err
}

func (m *Memory) loseReply() bool {
	if m.repliesToLose == 0 {
		return false
	}
	m.repliesToLose--
	m.calls.Failures++
	return true
}

func (m *Memory) read(key string) (Item, bool) {
	item, found := m.items[key]
	item.Key = key
	item.Value = bytes.Clone(item.Value)
	return item, found
}

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

func (m *Memory) watchDown() chan struct{} {
	if m.wentDown == nil {
		m.wentDown = make(chan struct{})
	}
	return m.wentDown
}

func (m *Memory) notify(key string) {
	if ch, found := m.changed[key]; found {
		close(ch)
		delete(m.changed, key)
	}
}
