package jwcatalogue

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"jujubewheel/core/jwstore"
)

// fakeStore is an in-memory key-value store with faults that tests set.
type fakeStore struct {
	Delay time.Duration // round-trip delay of each call

	// beforeCall is called before each call takes effect, so that a test can
	// run something in between.
	beforeCall func()
	// afterList is called after a list was read, before it is returned.
	afterList func()
	// onCreate is called for every key that is created.
	onCreate func(key string, value []byte)

	mu            sync.Mutex
	items         map[string]jwstore.Item
	version       uint64
	down          bool
	loseReplies   int           // writes that take effect and report ErrUnknown
	dropWrites    int           // writes that report ErrUnknown without effect
	holdWrite     chan struct{} // the next write waits for it before it takes effect
	writeHeld     chan struct{} // closed when that write waits
	changed       chan struct{}
	reads, writes int
	waits         int
}

func (s *fakeStore) beginCall(ctx context.Context) error {
	if s.beforeCall != nil {
		s.beforeCall()
	}
	if s.Delay > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(s.Delay):
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return jwstore.ErrUnavailable
	}
	return ctx.Err()
}

func (s *fakeStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.notify()
}

func (s *fakeStore) notify() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

func (s *fakeStore) Get(ctx context.Context, key string) (jwstore.Item, bool, error) {
	if err := s.beginCall(ctx); err != nil {
		return jwstore.Item{}, false, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	item, ok := s.items[key]
	return item, ok, nil
}

func (s *fakeStore) List(ctx context.Context, prefix string) ([]jwstore.Item, error) {
	if err := s.beginCall(ctx); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	var items []jwstore.Item
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) {
			items = append(items, item)
		}
	}
	slices.SortFunc(items, func(a, b jwstore.Item) int { return strings.Compare(a.Key, b.Key) })
	if s.afterList != nil {
		s.mu.Unlock()
		s.afterList()
		s.mu.Lock()
	}
	return items, nil
}

func (s *fakeStore) Wait(ctx context.Context, key string, after uint64, maxWait time.Duration) (jwstore.Item, bool, error) {
	if err := s.beginCall(ctx); err != nil {
		return jwstore.Item{}, false, err
	}
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	s.mu.Lock()
	s.reads++
	s.waits++
	defer func() {
		s.waits--
		s.mu.Unlock()
	}()
	for {
		item, ok := s.items[key]
		if s.down {
			return jwstore.Item{}, false, jwstore.ErrUnavailable
		}
		if item.Version != after {
			return item, ok, nil
		}
		if s.changed == nil {
			s.changed = make(chan struct{})
		}
		changed := s.changed
		s.mu.Unlock()
		var err error
		timedOut := false
		select {
		case <-changed:
		case <-timer.C:
			timedOut = true
		case <-ctx.Done():
			err = ctx.Err()
		}
		s.mu.Lock()
		if err != nil || timedOut {
			return item, ok, err
		}
	}
}

func (s *fakeStore) CompareAndSwap(ctx context.Context, key string, value []byte, version uint64) (uint64, bool, error) {
	if err := s.beginCall(ctx); err != nil {
		return 0, false, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if release := s.holdWrite; release != nil {
		s.holdWrite = nil
		close(s.writeHeld)
		s.mu.Unlock()
		<-release
		s.mu.Lock()
	}
	s.writes++
	if s.dropWrites > 0 {
		s.dropWrites--
		return 0, false, jwstore.ErrUnknown
	}
	swapped := s.items[key].Version == version
	if swapped {
		if s.items == nil {
			s.items = make(map[string]jwstore.Item)
		}
		s.version++
		if s.onCreate != nil && version == 0 {
			s.onCreate(key, value)
		}
		s.items[key] = jwstore.Item{Key: key, Value: slices.Clone(value), Version: s.version}
		s.notify()
	}
	if s.loseReplies > 0 {
		s.loseReplies--
		return 0, false, jwstore.ErrUnknown
	}
	if !swapped {
		return 0, false, nil
	}
	return s.version, true, nil
}

func (s *fakeStore) Delete(ctx context.Context, key string, version uint64) (bool, error) {
	if err := s.beginCall(ctx); err != nil {
		return false, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	item, ok := s.items[key]
	if !ok || item.Version != version {
		return false, nil
	}
	delete(s.items, key)
	s.notify()
	return true, nil
}

func (s *fakeStore) keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

func (s *fakeStore) calls() (reads, writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads, s.writes
}

func (s *fakeStore) waiting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.waits
}
