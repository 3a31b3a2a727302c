package jwconsul

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"jujubewheel/core/jwclock"
	"jujubewheel/core/jwstore"
)

// MaxValueSize is the most bytes that the key-value service keeps in one key.
const MaxValueSize = 1 << 20

// waitStagger is the part of a wait by which the service may stretch it, so
// that not all waits end at one moment.
const waitStagger = 16

// waitPause lies between the calls of one wait from the third on. A service
// that ends waits early, or tells no index, would else be asked without pause.
const waitPause = 50 * time.Millisecond

// rememberedIndexes bounds the keys whose absence is remembered.
const rememberedIndexes = 64

// KeyValue is the platform's key-value service as a Store, over the Consul
// HTTP API. Writes go as transactions, since only their answer tells the new
// version: after PUT ?cas= a read could already see the write of another.
type KeyValue struct {
	Address netip.AddrPort
	Timeout time.Duration // of one call, without the time a wait may take; 0 means 2s

	client client
	mu     sync.Mutex
	absent map[string]uint64 // index at which a key was last seen not to exist

	reads, writes, waits, failures atomic.Uint64
}

var _ jwstore.Store = (*KeyValue)(nil)

// Calls returns the number of calls sent so far; each read of a wait that the
// service ended early counts as a wait of its own.
func (kv *KeyValue) Calls() jwstore.Calls {
	return jwstore.Calls{
		Reads:    kv.reads.Load(),
		Writes:   kv.writes.Load(),
		Waits:    kv.waits.Load(),
		Failures: kv.failures.Load(),
	}
}

// Traffic returns the bytes moved so far.
func (kv *KeyValue) Traffic() Traffic { return kv.client.traffic() }

// Get implements jwstore.Reader.
func (kv *KeyValue) Get(ctx context.Context, key string) (jwstore.Item, bool, error) {
	kv.reads.Add(1)
	item, found, _, err := kv.get(ctx, key, nil)
	return item, found, err
}

// List implements jwstore.Reader.
func (kv *KeyValue) List(ctx context.Context, prefix string) ([]jwstore.Item, error) {
	kv.reads.Add(1)
	answer, err := kv.call(ctx, http.MethodGet, prefix, url.Values{"recurse": {""}}, kv.Timeout)
	if err != nil {
		return nil, kv.fail(err)
	}
	if answer.status == http.StatusNotFound {
		return nil, nil
	}
	items, err := decodeItems(answer.body)
	if err != nil {
		return nil, kv.fail(kv.wrap(jwstore.ErrUnavailable, "list "+prefix+": "+err.Error()))
	}
	slices.SortFunc(items, func(a, b jwstore.Item) int { return strings.Compare(a.Key, b.Key) })
	return items, nil
}

// Wait implements jwstore.Reader.
func (kv *KeyValue) Wait(ctx context.Context, key string, after uint64, most time.Duration) (jwstore.Item, bool, error) {
	end := time.Now().Add(most)
	index := after
	if after == 0 {
		index = kv.absentAt(key)
	}
	for calls := 0; ; calls++ {
		if calls > 1 && jwclock.Sleep(ctx, waitPause) != nil {
			return jwstore.Item{}, false, kv.fail(kv.wrap(jwstore.ErrUnavailable, "wait "+key+": "+ctx.Err().Error()))
		}
		left := max(time.Until(end), 0)
		query := url.Values{}
		if index == 0 || left < time.Millisecond {
			kv.reads.Add(1)
		} else {
			kv.waits.Add(1)
			query.Set("index", strconv.FormatUint(index, 10))
			query.Set("wait", strconv.FormatInt(left.Milliseconds(), 10)+"ms")
		}
		item, found, next, err := kv.get(ctx, key, query)
		if err != nil {
			return item, found, err
		}
		if item.Version != after || time.Until(end) < time.Millisecond {
			return item, found, nil
		}
		if next < index {
			// The service was restored from an older state: an index from
			// before would make it wait for a write that came long ago.
			next = 0
		}
		index = next
	}
}

// Swap implements jwstore.Writer.
func (kv *KeyValue) Swap(ctx context.Context, key string, value []byte, version uint64) (uint64, bool, error) {
	if len(value) > MaxValueSize {
		return 0, false, errors.Errorf("swap %s: value of %d bytes exceeds %d", key, len(value), MaxValueSize)
	}
	return kv.write(ctx, operation{Verb: swapVerb, Key: key, Value: value, Index: version})
}

// Delete implements jwstore.Writer.
func (kv *KeyValue) Delete(ctx context.Context, key string, version uint64) (bool, error) {
	if version == 0 {
		return false, nil
	}
	// A lone delete of a key that is gone counts as done; the check makes it
	// a conflict, so that of two callers only one hears that it deleted.
	check := operation{Verb: checkVerb, Key: key, Index: version}
	_, deleted, err := kv.write(ctx, check, operation{Verb: deleteVerb, Key: key, Index: version})
	return deleted, err
}

// get reads one key; index is that of the newest write that may concern it.
func (kv *KeyValue) get(ctx context.Context, key string, query url.Values) (item jwstore.Item, found bool, index uint64, err error) {
	timeout := kv.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if wait, err := time.ParseDuration(query.Get("wait")); err == nil {
		timeout += wait + wait/waitStagger
	}
	answer, err := kv.call(ctx, http.MethodGet, key, query, timeout)
	if err != nil {
		return item, false, 0, kv.fail(err)
	}
	item.Key = key
	if answer.status == http.StatusNotFound {
		kv.rememberAbsent(key, answer.index)
		return item, false, answer.index, nil
	}
	items, err := decodeItems(answer.body)
	if err != nil || len(items) != 1 || items[0].Key != key {
		return item, false, 0, kv.fail(kv.wrap(jwstore.ErrUnavailable, "get "+key+": answer is not this key"))
	}
	return items[0], true, max(answer.index, items[0].Version), nil
}

func (kv *KeyValue) absentAt(key string) uint64 {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	return kv.absent[key]
}

// rememberAbsent saves the next wait for the key a read: a key that did not
// exist at an index can only come at a later one.
func (kv *KeyValue) rememberAbsent(key string, index uint64) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	if kv.absent == nil || len(kv.absent) >= rememberedIndexes {
		kv.absent = make(map[string]uint64)
	}
	kv.absent[key] = index
}

type answer struct {
	status int
	index  uint64
	body   []byte
}

// call sends a read; every failure of a read is ErrUnavailable.
func (kv *KeyValue) call(ctx context.Context, method, key string, query url.Values, timeout time.Duration) (answer, error) {
	ctx, cancel := withTimeout(ctx, timeout)
	defer cancel()
	step := "get " + key
	target := url.URL{Scheme: "http", Host: kv.Address.String(), Path: "/v1/kv/" + key, RawQuery: query.Encode()}
	r, err := http.NewRequestWithContext(ctx, method, target.String(), nil)
	if err != nil {
		return answer{}, errors.Wrap(err, step)
	}
	res, err := kv.client.do("keyValue", kv.Address, r)
	if err != nil {
		return answer{}, kv.wrap(jwstore.ErrUnavailable, step+": "+err.Error())
	}
	body, err := readAnswer(res)
	if err != nil {
		return answer{}, kv.wrap(jwstore.ErrUnavailable, step+": "+err.Error())
	}
	if res.StatusCode != http.StatusOK && res.StatusCode != http.StatusNotFound {
		return answer{}, kv.wrap(jwstore.ErrUnavailable, step+": "+res.Status)
	}
	index, err := strconv.ParseUint(res.Header.Get("X-Consul-Index"), 10, 64)
	if err != nil {
		index = 0
	}
	return answer{status: res.StatusCode, index: index, body: body}, nil
}

// write sends one transaction, whose last step is the write. A call that got no connection, or a
// refusal by a status of the 400s, had no effect; after any other failure the
// write may have been done.
func (kv *KeyValue) write(ctx context.Context, ops ...operation) (uint64, bool, error) {
	kv.writes.Add(1)
	op := ops[len(ops)-1]
	step := op.Verb + " " + op.Key
	steps := make([]transactionStep, 0, len(ops))
	for _, op := range ops {
		steps = append(steps, transactionStep{KV: op})
	}
	body, err := json.Marshal(steps)
	if err != nil {
		return 0, false, kv.fail(errors.Wrap(err, step))
	}
	ctx, cancel := withTimeout(ctx, kv.Timeout)
	defer cancel()
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	r, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+kv.Address.String()+"/v1/txn", bytes.NewReader(body))
	if err != nil {
		return 0, false, kv.fail(errors.Wrap(err, step))
	}
	r.Header.Set("Content-Type", "application/json")
	res, err := kv.client.do("keyValue", kv.Address, r)
	if err != nil {
		kind := jwstore.ErrUnavailable
		if connected.Load() {
			kind = jwstore.ErrUnknown
		}
		return 0, false, kv.fail(kv.wrap(kind, step+": "+err.Error()))
	}
	reply, err := readAnswer(res)
	switch {
	case res.StatusCode == http.StatusConflict:
		return 0, false, nil
	case res.StatusCode >= 400 && res.StatusCode < 500:
		return 0, false, kv.fail(kv.wrap(jwstore.ErrUnavailable, step+": "+res.Status))
	case err != nil:
		return 0, false, kv.fail(kv.wrap(jwstore.ErrUnknown, step+": "+err.Error()))
	case res.StatusCode != http.StatusOK:
		return 0, false, kv.fail(kv.wrap(jwstore.ErrUnknown, step+": "+res.Status))
	}
	version, err := decodeTransaction(reply, op)
	if err != nil {
		return 0, false, kv.fail(kv.wrap(jwstore.ErrUnknown, step+": "+err.Error()))
	}
	return version, true, nil
}

func (kv *KeyValue) fail(err error) error {
	kv.failures.Add(1)
	return err
}

// wrap says at which step and with which peer an error arose.
func (kv *KeyValue) wrap(kind error, step string) error {
	return errors.Wrapf(kind, "%s: %s", step, kv.Address)
}

// The verbs of a transaction's steps.
const (
	swapVerb   = "cas"
	deleteVerb = "delete-cas"
	checkVerb  = "check-index"
)

// record is one key as the service writes it.
type record struct {
	Key         string
	Value       []byte // base64 in JSON
	ModifyIndex uint64
}

type operation struct {
	Verb  string
	Key   string
	Value []byte
	Index uint64
}

type transactionStep struct {
	KV operation
}

type transactionResult struct {
	Results []struct {
		KV record
	}
}

// decodeItems reads the answer to a read of keys.
func decodeItems(body []byte) ([]jwstore.Item, error) {
	var records []record
	if err := json.Unmarshal(body, &records); err != nil {
		return nil, errors.Wrap(err, "decode keys")
	}
	items := make([]jwstore.Item, 0, len(records))
	for _, rec := range records {
		if rec.ModifyIndex == 0 {
			return nil, errors.Errorf("decode keys: %q has no ModifyIndex", rec.Key)
		}
		items = append(items, jwstore.Item{Key: rec.Key, Value: rec.Value, Version: rec.ModifyIndex})
	}
	return items, nil
}

// decodeTransaction reads the answer to a write that took effect and returns
// the new version of the key, 0 after a delete.
func decodeTransaction(body []byte, op operation) (uint64, error) {
	if op.Verb == deleteVerb {
		return 0, nil
	}
	var result transactionResult
	if err := json.Unmarshal(body, &result); err != nil {
		return 0, errors.Wrap(err, "decode transaction")
	}
	if len(result.Results) != 1 || result.Results[0].KV.Key != op.Key || result.Results[0].KV.ModifyIndex == 0 {
		return 0, errors.New("decode transaction: no version of the key")
	}
	return result.Results[0].KV.ModifyIndex, nil
}
