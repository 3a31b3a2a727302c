package jwclaim

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"jujubewheel/core/jwstore"
)

// fakeStore is a small key-value service whose faults a test sets.
type fakeStore struct {
	mu      sync.Mutex
	items   map[string]jwstore.Item
	version uint64
	writes  int
	bytes   int // written
	largest int
	reads   int
	lists   int // of these, whole logs
}

func newFakeStore() *fakeStore {
	return &fakeStore{items: map[string]jwstore.Item{}}
}

func (s *fakeStore) swap(key string, value []byte, version uint64) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	s.bytes += len(value)
	if s.items[key].Version != version {
		return 0, false
	}
	s.largest = max(s.largest, len(value))
	s.version++
	s.items[key] = jwstore.Item{Key: key, Value: append([]byte(nil), value...), Version: s.version}
	return s.version, true
}

func (s *fakeStore) get(key string) (jwstore.Item, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	item, ok := s.items[key]
	return item, ok
}

func (s *fakeStore) list(prefix string) []jwstore.Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	s.lists++
	var items []jwstore.Item
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) {
			items = append(items, item)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	return items
}

func (s *fakeStore) remove(key string, version uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.items[key].Version != version || version == 0 {
		return false
	}
	delete(s.items, key)
	return true
}

// link is one node's way to the store.
type link struct {
	s     *fakeStore
	trip  time.Duration // one way
	mu    sync.Mutex
	down  bool
	lose  int           // next writes take effect, and their replies are lost
	late  int           // next writes are given up and take effect lateBy afterwards
	by    time.Duration // for late
	gates []chan struct{}
}

func (l *link) set(f func(l *link)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(l)
}

// freeze holds the node at its next step at the store until the gate closes.
func (l *link) freeze() chan struct{} {
	gate := make(chan struct{})
	l.set(func(l *link) { l.gates = append(l.gates, gate) })
	return gate
}

// step is one way of a call; a frozen node stands here, whatever its ctx says.
func (l *link) step() {
	if l.trip > 0 {
		time.Sleep(l.trip)
	}
	l.mu.Lock()
	gates := l.gates
	l.mu.Unlock()
	for _, g := range gates {
		<-g
	}
}

func (l *link) isDown() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.down
}

func (l *link) Get(_ context.Context, key string) (jwstore.Item, bool, error) {
	l.step()
	if l.isDown() {
		return jwstore.Item{}, false, jwstore.ErrUnavailable
	}
	item, ok := l.s.get(key)
	l.step()
	return item, ok, nil
}

func (l *link) List(_ context.Context, prefix string) ([]jwstore.Item, error) {
	l.step()
	if l.isDown() {
		return nil, jwstore.ErrUnavailable
	}
	items := l.s.list(prefix)
	l.step()
	return items, nil
}

func (l *link) Wait(ctx context.Context, key string, _ uint64, _ time.Duration) (jwstore.Item, bool, error) {
	return l.Get(ctx, key)
}

func (l *link) Swap(_ context.Context, key string, value []byte, version uint64) (uint64, bool, error) {
	l.step()
	l.mu.Lock()
	down, lose, late, by := l.down, l.lose > 0, l.late > 0, l.by
	if !down && lose {
		l.lose--
	} else if !down && late {
		l.late--
	}
	l.mu.Unlock()
	if down {
		return 0, false, jwstore.ErrUnavailable
	}
	if !lose && late {
		time.AfterFunc(by, func() { l.s.swap(key, value, version) })
		return 0, false, jwstore.ErrUnknown
	}
	next, swapped := l.s.swap(key, value, version)
	l.step()
	if lose {
		return 0, false, jwstore.ErrUnknown
	}
	return next, swapped, nil
}

func (l *link) Delete(_ context.Context, key string, version uint64) (bool, error) {
	l.step()
	if l.isDown() {
		return false, jwstore.ErrUnavailable
	}
	return l.s.remove(key, version), nil
}
