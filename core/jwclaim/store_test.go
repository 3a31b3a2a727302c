package jwclaim

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"jujubewheel/core/jwstore"
)

// fakeStore is an in-memory key-value service. Faults are set on the links to
// it.
type fakeStore struct {
	mu           sync.Mutex
	items        map[string]jwstore.Item
	version      uint64
	writes       int
	bytes        int // bytes written
	largestWrite int
	reads        int
	lists        int // those reads that list a whole log
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
	s.largestWrite = max(s.largestWrite, len(value))
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

// storeLink is the connection of one node to the store.
type storeLink struct {
	store       *fakeStore
	oneWayDelay time.Duration // in each direction
	mu          sync.Mutex
	down        bool
	loseReplies int           // the next writes take effect, but their replies are lost
	deferWrites int           // the next writes fail as unknown and take effect deferBy later
	deferBy     time.Duration // for deferWrites
	gates       []chan struct{}
}

func (l *storeLink) set(f func(l *storeLink)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(l)
}

// freeze blocks the node at its next step until the returned gate is closed.
func (l *storeLink) freeze() chan struct{} {
	gate := make(chan struct{})
	l.set(func(l *storeLink) { l.gates = append(l.gates, gate) })
	return gate
}

// step passes one direction of a store operation. A frozen node blocks here,
// whatever its context says.
func (l *storeLink) step() {
	if l.oneWayDelay > 0 {
		time.Sleep(l.oneWayDelay)
	}
	l.mu.Lock()
	gates := l.gates
	l.mu.Unlock()
	for _, g := range gates {
		<-g
	}
}

func (l *storeLink) isDown() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.down
}

func (l *storeLink) Get(_ context.Context, key string) (jwstore.Item, bool, error) {
	l.step()
	if l.isDown() {
		return jwstore.Item{}, false, jwstore.ErrUnavailable
	}
	item, ok := l.store.get(key)
	l.step()
	return item, ok, nil
}

func (l *storeLink) List(_ context.Context, prefix string) ([]jwstore.Item, error) {
	l.step()
	if l.isDown() {
		return nil, jwstore.ErrUnavailable
	}
	items := l.store.list(prefix)
	l.step()
	return items, nil
}

func (l *storeLink) Wait(ctx context.Context, key string, _ uint64, _ time.Duration) (jwstore.Item, bool, error) {
	return l.Get(ctx, key)
}

func (l *storeLink) CompareAndSwap(_ context.Context, key string, value []byte, version uint64) (uint64, bool, error) {
	l.step()
	l.mu.Lock()
	down, loseReply, deferred, by := l.down, l.loseReplies > 0, l.deferWrites > 0, l.deferBy
	if !down && loseReply {
		l.loseReplies--
	} else if !down && deferred {
		l.deferWrites--
	}
	l.mu.Unlock()
	if down {
		return 0, false, jwstore.ErrUnavailable
	}
	if !loseReply && deferred {
		time.AfterFunc(by, func() { l.store.swap(key, value, version) })
		return 0, false, jwstore.ErrUnknown
	}
	next, swapped := l.store.swap(key, value, version)
	l.step()
	if loseReply {
		return 0, false, jwstore.ErrUnknown
	}
	return next, swapped, nil
}

func (l *storeLink) Delete(_ context.Context, key string, version uint64) (bool, error) {
	l.step()
	if l.isDown() {
		return false, jwstore.ErrUnavailable
	}
	return l.store.remove(key, version), nil
}
