package jwstand

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"jujubewheel/core/jwstore"
)

const (
	maxValue    = 1 << 20          // bytes of a value
	defaultWait = 5 * time.Minute  // of a blocking read without a wait parameter
	maxWait     = 10 * time.Minute // of a blocking read
)

// KeyValue stands in for the key-value service. It implements the part of the
// Consul HTTP API that reads and lists keys, waits for changes, and writes and
// deletes by check-and-set, over a store in memory.
type KeyValue struct {
	Store jwstore.Memory // holds the keys

	reads, writes, waits atomic.Uint64
}

// Calls returns the number of calls received. A call that waits counts once.
func (kv *KeyValue) Calls() jwstore.Calls {
	return jwstore.Calls{Reads: kv.reads.Load(), Writes: kv.writes.Load(), Waits: kv.waits.Load()}
}

// Handler implements Program.
func (kv *KeyValue) Handler(func() Faults) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv/{key...}", kv.get)
	mux.HandleFunc("PUT /v1/kv/{key...}", kv.put)
	mux.HandleFunc("DELETE /v1/kv/{key...}", kv.delete)
	mux.HandleFunc("PUT /v1/txn", kv.transaction)
	return mux
}

// Register implements Program.
func (kv *KeyValue) Register(control *http.ServeMux) {
	control.HandleFunc("GET /calls", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, kv.Calls())
	})
}

// keyRecord is the JSON form of one key, with the field names of Consul.
type keyRecord struct {
	Key         string
	Value       []byte
	Flags       uint64
	LockIndex   uint64
	CreateIndex uint64
	ModifyIndex uint64
}

func (kv *KeyValue) get(w http.ResponseWriter, r *http.Request) {
	key, query := r.PathValue("key"), r.URL.Query()
	if query.Has("recurse") {
		kv.list(w, r, key)
		return
	}
	after, err := strconv.ParseUint(query.Get("index"), 10, 64)
	if err != nil {
		after = 0
	}
	if after > 0 {
		kv.waits.Add(1)
	} else {
		kv.reads.Add(1)
	}
	item, found, index, err := kv.read(r.Context(), key, after, parseWait(query.Get("wait")))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if !found {
		writeRecords(w, index, nil)
		return
	}
	writeRecords(w, item.Version, []jwstore.Item{item})
}

// read returns the key. If after is above 0, it waits, at most for timeout,
// until the index of the key is above it. A key that does not exist has the
// index of the newest write in the store. That index is read before the key;
// otherwise a write between the two reads would never be reported to a waiting
// caller.
func (kv *KeyValue) read(ctx context.Context, key string, after uint64, timeout time.Duration) (jwstore.Item, bool, uint64, error) {
	index := kv.Store.Index()
	item, found, err := kv.Store.Get(ctx, key)
	if err != nil || after == 0 || item.Version > after || !found && index > after {
		return item, found, index, err
	}
	if _, _, err := kv.Store.Wait(ctx, key, item.Version, timeout); err != nil {
		return item, found, index, err
	}
	index = kv.Store.Index()
	item, found, err = kv.Store.Get(ctx, key)
	return item, found, index, err
}

// parseWait parses the wait parameter of a blocking read.
func parseWait(text string) time.Duration {
	wait, err := time.ParseDuration(text)
	if err != nil || wait <= 0 {
		return defaultWait
	}
	return min(wait, maxWait)
}

func (kv *KeyValue) list(w http.ResponseWriter, r *http.Request, prefix string) {
	kv.reads.Add(1)
	index := kv.Store.Index()
	items, err := kv.Store.List(r.Context(), prefix)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	writeRecords(w, index, items)
}

// writeRecords writes the keys with their index, or 404 if there are none.
func writeRecords(w http.ResponseWriter, index uint64, items []jwstore.Item) {
	w.Header().Set("X-Consul-Index", strconv.FormatUint(index, 10))
	if len(items) == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	records := make([]keyRecord, 0, len(items))
	for _, item := range items {
		records = append(records, keyRecord{Key: item.Key, Value: item.Value, ModifyIndex: item.Version})
	}
	writeJSON(w, http.StatusOK, records)
}

func (kv *KeyValue) put(w http.ResponseWriter, r *http.Request) {
	version, err := strconv.ParseUint(r.URL.Query().Get("cas"), 10, 64)
	if err != nil {
		http.Error(w, "only writes with the parameter cas are supported", http.StatusBadRequest)
		return
	}
	value, err := io.ReadAll(io.LimitReader(r.Body, maxValue+1))
	if err != nil {
		return
	}
	if len(value) > maxValue {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	kv.writes.Add(1)
	_, swapped, err := kv.Store.CompareAndSwap(r.Context(), r.PathValue("key"), value, version)
	writeResult(w, swapped, err)
}

func (kv *KeyValue) delete(w http.ResponseWriter, r *http.Request) {
	version, err := strconv.ParseUint(r.URL.Query().Get("cas"), 10, 64)
	if err != nil {
		http.Error(w, "only deletes with the parameter cas are supported", http.StatusBadRequest)
		return
	}
	kv.writes.Add(1)
	deleted, err := kv.deleteKey(r.Context(), r.PathValue("key"), version, false)
	writeResult(w, deleted, err)
}

// deleteKey deletes a key at a version. As in the Consul API, a missing key
// counts as deleted, unless the version was also checked by a step before.
func (kv *KeyValue) deleteKey(ctx context.Context, key string, version uint64, checked bool) (bool, error) {
	deleted, err := kv.Store.Delete(ctx, key, version)
	if err != nil || deleted || checked {
		return deleted, err
	}
	_, found, err := kv.Store.Get(ctx, key)
	return !found, err
}

// writeResult writes the answer to a write: whether it was done, or the error.
func writeResult(w http.ResponseWriter, done bool, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	writeJSON(w, http.StatusOK, done)
}

type transactionStep struct {
	KV struct {
		Verb  string
		Key   string
		Value []byte
		Index uint64
	}
}

type transactionResult struct {
	KV keyRecord
}

type transactionError struct {
	OpIndex int
	What    string
}

type transactionAnswer struct {
	Results []transactionResult
	Errors  []transactionError
}

// transaction runs one step, a "cas" or a "delete-cas". A "check-index" step of
// the same key and version may precede it.
func (kv *KeyValue) transaction(w http.ResponseWriter, r *http.Request) {
	var steps []transactionStep
	body := http.MaxBytesReader(w, r.Body, 2*maxValue)
	if err := json.NewDecoder(body).Decode(&steps); err != nil || len(steps) == 0 {
		http.Error(w, "body is not a list of steps, or the list is empty", http.StatusBadRequest)
		return
	}
	step := steps[len(steps)-1].KV
	checked := len(steps) == 2 && steps[0].KV.Verb == "check-index" &&
		steps[0].KV.Key == step.Key && steps[0].KV.Index == step.Index
	if len(steps) > 1 && !checked {
		http.Error(w, "only one step is supported, with or without a check-index step of the same key before it", http.StatusBadRequest)
		return
	}
	if len(step.Value) > maxValue {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	kv.writes.Add(1)
	answer := transactionAnswer{Results: []transactionResult{}}
	var done bool
	var err error
	switch strings.ToLower(step.Verb) {
	case "cas":
		var version uint64
		version, done, err = kv.Store.CompareAndSwap(r.Context(), step.Key, step.Value, step.Index)
		answer.Results = append(answer.Results, transactionResult{KV: keyRecord{Key: step.Key, ModifyIndex: version}})
	case "delete-cas":
		done, err = kv.deleteKey(r.Context(), step.Key, step.Index, checked)
	default:
		http.Error(w, "unknown verb", http.StatusBadRequest)
		return
	}
	switch {
	case err != nil:
		http.Error(w, err.Error(), http.StatusInternalServerError)
	case !done:
		conflict := transactionAnswer{Errors: []transactionError{{What: "failed to set key: index is stale"}}}
		writeJSON(w, http.StatusConflict, conflict)
	default:
		writeJSON(w, http.StatusOK, answer)
	}
}
