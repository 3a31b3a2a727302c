package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a stored key, or in an event its removal.
type item struct {
	Key       string
	Value     []byte `json:",omitempty"`
	Revision  uint64
	Created   uint64 `json:",omitempty"`
	Lease     uint64 `json:",omitempty"`
	Tombstone bool   `json:",omitempty"`
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

// store plays the platform's metadata store as PROTOCOL.md describes it. It keeps its whole history.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	leases   map[uint64]*lease
	last     uint64        // the last lease
	changed  chan struct{} // closed at the next change
}

func newStore() *store {
	s := &store{revision: 1, items: map[string]item{}, leases: map[uint64]*lease{}, changed: make(chan struct{})}
	go func() {
		for {
			time.Sleep(50 * time.Millisecond)
			s.expire()
		}
	}()
	return s
}

func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if time.Now().After(l.ends) {
			s.end(id)
		}
	}
}

func (s *store) end(id uint64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.delete(key)
		}
	}
}

func (s *store) put(key string, value []byte, lease uint64) {
	s.revision++
	i := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.record(i)
}

func (s *store) delete(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.record(item{Key: key, Revision: s.revision, Tombstone: true})
}

func (s *store) record(i item) {
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Put writes a key as the operator or a runner does.
func (s *store) Put(key string, value any) {
	raw, err := json.Marshal(value)
	must(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, raw, 0)
}

// Delete removes a key as the operator or a runner does.
func (s *store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delete(key)
}

// Keys returns the keys that begin with a prefix, sorted.
func (s *store) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	status, v := s.answer(r)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if v != nil {
		_ = json.NewEncoder(w).Encode(v)
	}
}

func (s *store) answer(r *http.Request) (int, any) {
	q := r.URL.Query()
	switch path := r.URL.Path; {
	case path == "/v1/kv-watch":
		return s.watch(r, q.Get("Prefix"), number(q.Get("after")), time.Duration(number(q.Get("WaitMs")))*time.Millisecond)
	case path == "/v1/kv-key":
		s.mu.Lock()
		defer s.mu.Unlock()
		i, ok := s.items[q.Get("Key")]
		if !ok {
			return http.StatusNotFound, nil
		}
		return http.StatusOK, i
	case path == "/v1/kv-range":
		return http.StatusOK, s.page(q.Get("Prefix"), q.Get("after"))
	case path == "/v1/kv-txn":
		return s.txn(r)
	case path == "/v1/kv-lease":
		var body struct{ TtlMs int64 }
		if json.NewDecoder(r.Body).Decode(&body) != nil {
			return http.StatusBadRequest, nil
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.last++
		ttl := time.Duration(body.TtlMs) * time.Millisecond
		s.leases[s.last] = &lease{ttl, time.Now().Add(ttl)}
		return http.StatusOK, map[string]any{"Lease": s.last, "TtlMs": body.TtlMs}
	case strings.HasPrefix(path, "/v1/kv-keep/"):
		s.mu.Lock()
		defer s.mu.Unlock()
		l := s.leases[number(strings.TrimPrefix(path, "/v1/kv-keep/"))]
		if l == nil {
			return http.StatusNotFound, nil
		}
		l.ends = time.Now().Add(l.ttl)
		return http.StatusOK, map[string]any{}
	case strings.HasPrefix(path, "/v1/kv-lease-end/"):
		s.mu.Lock()
		defer s.mu.Unlock()
		s.end(number(strings.TrimPrefix(path, "/v1/kv-lease-end/")))
		return http.StatusOK, map[string]any{}
	}
	return http.StatusNotFound, nil
}

func (s *store) page(prefix, after string) any {
	const most = 500
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items := []item{}
	for _, key := range keys[:min(len(keys), most)] {
		items = append(items, s.items[key])
	}
	return map[string]any{"items": items, "HasMore": len(keys) > most, "StoreRevision": s.revision}
}

func (s *store) watch(r *http.Request, prefix string, after uint64, wait time.Duration) (int, any) {
	timeout := time.After(wait)
	for {
		s.mu.Lock()
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		answer := map[string]any{"events": events, "StoreRevision": revision}
		if len(events) > 0 {
			return http.StatusOK, answer
		}
		select {
		case <-timeout:
			return http.StatusOK, answer
		case <-r.Context().Done():
			return http.StatusOK, answer
		case <-changed:
		}
	}
}

func (s *store) txn(r *http.Request) (int, any) {
	var t struct {
		Expect []struct {
			Key      string
			Revision uint64
		}
		Puts []struct {
			Key   string
			Value []byte
			Lease uint64
		}
		Deletes []string
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range t.Expect {
		if s.items[e.Key].Revision != e.Revision {
			return http.StatusPreconditionFailed, map[string]any{"items": []item{}}
		}
	}
	for _, p := range t.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return http.StatusNotFound, nil
		}
	}
	for _, p := range t.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Deletes {
		s.delete(key)
	}
	return http.StatusOK, map[string]any{"Revision": s.revision}
}

func number(s string) uint64 {
	n, _ := strconv.ParseUint(s, 10, 64)
	return n
}
