package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a stored key as the platform's pages describe it.
type item struct {
	Key       string
	Value     []byte `json:",omitempty"`
	Revision  uint64
	Created   uint64 `json:",omitempty"`
	Lease     uint64
	Tombstone bool `json:",omitempty"`
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// store stands in for the platform's metadata store.
type store struct {
	addr     string
	listener net.Listener

	mu       sync.Mutex
	changed  *sync.Cond
	revision uint64
	items    map[string]item
	history  []item
	leases   map[uint64]*lease
	last     uint64
}

func newStore() *store {
	s := &store{revision: 100, items: map[string]item{}, leases: map[uint64]*lease{}, last: 7}
	s.changed = sync.NewCond(&s.mu)
	s.listener = mustListen()
	s.addr = s.listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-range", s.serveRange)
	mux.HandleFunc("GET /v1/kv-key", s.serveKey)
	mux.HandleFunc("GET /v1/kv-watch", s.serveWatch)
	mux.HandleFunc("POST /v1/kv-txn", s.serveTxn)
	mux.HandleFunc("POST /v1/kv-lease", s.serveLease)
	mux.HandleFunc("POST /v1/kv-keep/{id}", s.serveKeep)
	mux.HandleFunc("DELETE /v1/kv-lease-end/{id}", s.serveEnd)
	go http.Serve(s.listener, mux)
	go func() {
		for {
			time.Sleep(100 * time.Millisecond)
			s.mu.Lock()
			for id, l := range s.leases {
				if time.Now().After(l.end) {
					s.endLease(id)
				}
			}
			s.mu.Unlock()
		}
	}()
	return s
}

// set writes a key as the operator or a runner does; a nil value deletes it.
func (s *store) set(key string, value any) uint64 {
	var raw []byte
	if b, ok := value.([]byte); ok {
		raw = b
	} else if value != nil {
		raw, _ = json.Marshal(value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	if value == nil {
		s.remove(key)
	} else {
		s.put(key, raw, 0)
	}
	return s.revision
}

func (s *store) put(key string, value []byte, l uint64) {
	i := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: l}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.history = append(s.history, i)
	s.changed.Broadcast()
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Tombstone: true})
	s.changed.Broadcast()
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	s.revision++
	for k, i := range s.items {
		if i.Lease == id {
			s.remove(k)
		}
	}
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v)
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	const page = 50
	prefix, after := r.URL.Query().Get("Prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	keys := []string{}
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	more := len(keys) > page
	items := []item{}
	for _, k := range keys[:min(page, len(keys))] {
		items = append(items, s.items[k])
	}
	rev := s.revision
	s.mu.Unlock()
	answer(w, 200, map[string]any{"items": items, "HasMore": more, "StoreRevision": rev})
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("Key")]
	rev := s.revision
	s.mu.Unlock()
	if !ok {
		answer(w, 404, map[string]any{"StoreRevision": rev})
		return
	}
	answer(w, 200, map[string]any{"Key": i.Key, "Value": i.Value, "Revision": i.Revision, "Created": i.Created, "Lease": i.Lease, "StoreRevision": rev})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("Prefix")
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("WaitMs"))
	end := time.Now().Add(time.Duration(wait) * time.Millisecond)
	t := time.AfterFunc(time.Until(end), func() { s.mu.Lock(); s.changed.Broadcast(); s.mu.Unlock() })
	defer t.Stop()
	s.mu.Lock()
	events := []item{}
	for {
		for _, e := range s.history {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				events = append(events, e)
			}
		}
		if len(events) > 0 || !time.Now().Before(end) || r.Context().Err() != nil {
			break
		}
		s.changed.Wait()
	}
	rev := s.revision
	s.mu.Unlock()
	answer(w, 200, map[string]any{"events": events, "StoreRevision": rev})
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var b struct {
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
	json.NewDecoder(r.Body).Decode(&b)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range b.Expect {
		if s.items[e.Key].Revision != e.Revision {
			answer(w, 412, map[string]any{"items": []item{s.items[e.Key]}})
			return
		}
	}
	for _, p := range b.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			answer(w, 403, nil)
			return
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			answer(w, 404, nil)
			return
		}
	}
	s.revision++
	for _, p := range b.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, k := range b.Deletes {
		s.remove(k)
	}
	answer(w, 200, map[string]any{"Revision": s.revision})
}

func (s *store) serveLease(w http.ResponseWriter, r *http.Request) {
	var b struct {
		TTL int64 `json:"TtlMs"`
	}
	json.NewDecoder(r.Body).Decode(&b)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last++
	ttl := time.Duration(max(b.TTL, 1000)) * time.Millisecond
	s.leases[s.last] = &lease{ttl, time.Now().Add(ttl)}
	answer(w, 200, map[string]any{"Lease": s.last, "TtlMs": ttl.Milliseconds()})
}

func (s *store) serveKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		answer(w, 404, nil)
		return
	}
	l.end = time.Now().Add(l.ttl)
	answer(w, 200, map[string]any{"Lease": id, "TtlMs": l.ttl.Milliseconds()})
}

func (s *store) serveEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		answer(w, 404, nil)
		return
	}
	s.endLease(id)
	answer(w, 200, map[string]any{})
}
