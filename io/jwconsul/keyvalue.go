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

// MaxValueSize is the maximum size in bytes of a value in the key-value service.
const MaxValueSize = 1 << 20

// waitJitterDivisor bounds the jitter that the service adds to a blocking read so that
// not all of them end at the same moment: 1/waitJitterDivisor of the wait.
const waitJitterDivisor = 16

// waitPause is the pause before the third and each later request of one Wait.
// Without it, a service that ends blocking reads early or returns no index would be
// polled in a busy loop.
const waitPause = 50 * time.Millisecond

// maxAbsentKeys is the maximum number of keys in KeyValue.absent.
const maxAbsentKeys = 64

// KeyValue is a Store that calls the platform's key-value service through the Consul
// HTTP API. Writes are sent as transactions, since only the response to a transaction
// contains the new version: a read after PUT ?cas= could already return the write of
// another client.
type KeyValue struct {
	Address netip.AddrPort
	Timeout time.Duration // of one request, in addition to the wait of a blocking read; 0 means 2s

	client client
	mu     sync.Mutex
	absent map[string]uint64 // index at which each key was last seen not to exist

	reads, writes, waits, failures atomic.Uint64
}

var _ jwstore.Store = (*KeyValue)(nil)

// Calls returns the number of requests sent so far. If the service ends a blocking
// read early, each further blocking read of the same Wait counts as another wait.
func (kv *KeyValue) Calls() jwstore.Calls {
	return jwstore.Calls{
		Reads:    kv.reads.Load(),
		Writes:   kv.writes.Load(),
		Waits:    kv.waits.Load(),
		Failures: kv.failures.Load(),
	}
}

// Traffic returns the number of bytes sent and received so far.
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
	res, err := kv.read(ctx, http.MethodGet, prefix, url.Values{"recurse": {""}}, kv.Timeout)
	if err != nil {
		return nil, kv.countFailure(err)
	}
	if res.status == http.StatusNotFound {
		return nil, nil
	}
	items, err := decodeItems(res.body)
	if err != nil {
		return nil, kv.countFailure(kv.wrap(jwstore.ErrUnavailable, "list "+prefix+": "+err.Error()))
	}
	slices.SortFunc(items, func(a, b jwstore.Item) int { return strings.Compare(a.Key, b.Key) })
	return items, nil
}

// Wait implements jwstore.Reader.
func (kv *KeyValue) Wait(ctx context.Context, key string, after uint64, maxWait time.Duration) (jwstore.Item, bool, error) {
	end := time.Now().Add(maxWait)
	index := after
	if after == 0 {
		index = kv.absentIndex(key)
	}
	for calls := 0; ; calls++ {
		if calls > 1 && jwclock.Sleep(ctx, waitPause) != nil {
			return jwstore.Item{}, false, kv.countFailure(kv.wrap(jwstore.ErrUnavailable, "wait "+key+": "+ctx.Err().Error()))
		}
		remaining := max(time.Until(end), 0)
		query := url.Values{}
		if index == 0 || remaining < time.Millisecond {
			kv.reads.Add(1)
		} else {
			kv.waits.Add(1)
			query.Set("index", strconv.FormatUint(index, 10))
			query.Set("wait", strconv.FormatInt(remaining.Milliseconds(), 10)+"ms")
		}
		item, found, nextIndex, err := kv.get(ctx, key, query)
		if err != nil {
			return item, found, err
		}
		if item.Version != after || time.Until(end) < time.Millisecond {
			return item, found, nil
		}
		if nextIndex < index {
			// The index went back because the service was restored from an older
			// copy. With the old index it would block until the index passes
			// that value again and miss the writes before that.
			nextIndex = 0
		}
		index = nextIndex
	}
}

// CompareAndSwap implements jwstore.Writer. A value longer than MaxValueSize is an error.
func (kv *KeyValue) CompareAndSwap(ctx context.Context, key string, value []byte, version uint64) (uint64, bool, error) {
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
	// The service reports success when delete-cas finds no key. The check makes
	// that a conflict, so that only one of two callers gets the result that it
	// deleted the key.
	check := operation{Verb: checkVerb, Key: key, Index: version}
	_, deleted, err := kv.write(ctx, check, operation{Verb: deleteVerb, Key: key, Index: version})
	return deleted, err
}

// get reads one key. The index that it returns is that of the latest write that may
// have changed the key.
func (kv *KeyValue) get(ctx context.Context, key string, query url.Values) (item jwstore.Item, found bool, index uint64, err error) {
	timeout := kv.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if wait, err := time.ParseDuration(query.Get("wait")); err == nil {
		timeout += wait + wait/waitJitterDivisor
	}
	res, err := kv.read(ctx, http.MethodGet, key, query, timeout)
	if err != nil {
		return item, false, 0, kv.countFailure(err)
	}
	item.Key = key
	if res.status == http.StatusNotFound {
		kv.rememberAbsent(key, res.index)
		return item, false, res.index, nil
	}
	items, err := decodeItems(res.body)
	if err != nil || len(items) != 1 || items[0].Key != key {
		return item, false, 0, kv.countFailure(kv.wrap(jwstore.ErrUnavailable, "get "+key+": answer is not this key"))
	}
	return items[0], true, max(res.index, items[0].Version), nil
}

// absentIndex returns the index at which the key was last seen not to exist, or 0.
func (kv *KeyValue) absentIndex(key string) uint64 {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	return kv.absent[key]
}

// rememberAbsent records that a key did not exist at index. The next Wait for the key
// can then start with a blocking read, because the key can only be created at a later
// index.
func (kv *KeyValue) rememberAbsent(key string, index uint64) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	if kv.absent == nil || len(kv.absent) >= maxAbsentKeys {
		kv.absent = make(map[string]uint64)
	}
	kv.absent[key] = index
}

// response is a response to a read; index is 0 if the service returned none.
type response struct {
	status int
	index  uint64
	body   []byte
}

// read sends a read. A read that fails for any reason returns ErrUnavailable.
func (kv *KeyValue) read(ctx context.Context, method, key string, query url.Values, timeout time.Duration) (response, error) {
	ctx, cancel := withTimeout(ctx, timeout)
	defer cancel()
	opName := "get " + key
	target := url.URL{Scheme: "http", Host: kv.Address.String(), Path: "/v1/kv/" + key, RawQuery: query.Encode()}
	r, err := http.NewRequestWithContext(ctx, method, target.String(), nil)
	if err != nil {
		return response{}, errors.Wrap(err, opName)
	}
	res, err := kv.client.do("keyValue", kv.Address, r)
	if err != nil {
		return response{}, kv.wrap(jwstore.ErrUnavailable, opName+": "+err.Error())
	}
	body, err := readBody(res)
	if err != nil {
		return response{}, kv.wrap(jwstore.ErrUnavailable, opName+": "+err.Error())
	}
	if res.StatusCode != http.StatusOK && res.StatusCode != http.StatusNotFound {
		return response{}, kv.wrap(jwstore.ErrUnavailable, opName+": "+res.Status)
	}
	index, err := strconv.ParseUint(res.Header.Get("X-Consul-Index"), 10, 64)
	if err != nil {
		index = 0
	}
	return response{status: res.StatusCode, index: index, body: body}, nil
}

// write sends one transaction, whose last operation is the write. It returns the new
// version of the key, and false if the transaction was rejected by a conflict. A
// request that got no connection or a 4xx status had no effect (ErrUnavailable). After
// any other failure the write may have taken effect (ErrUnknown).
func (kv *KeyValue) write(ctx context.Context, ops ...operation) (uint64, bool, error) {
	kv.writes.Add(1)
	op := ops[len(ops)-1]
	opName := op.Verb + " " + op.Key
	transaction := make([]transactionOperation, 0, len(ops))
	for _, op := range ops {
		transaction = append(transaction, transactionOperation{KV: op})
	}
	body, err := json.Marshal(transaction)
	if err != nil {
		return 0, false, kv.countFailure(errors.Wrap(err, opName))
	}
	ctx, cancel := withTimeout(ctx, kv.Timeout)
	defer cancel()
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	r, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+kv.Address.String()+"/v1/txn", bytes.NewReader(body))
	if err != nil {
		return 0, false, kv.countFailure(errors.Wrap(err, opName))
	}
	r.Header.Set("Content-Type", "application/json")
	res, err := kv.client.do("keyValue", kv.Address, r)
	if err != nil {
		kind := jwstore.ErrUnavailable
		if connected.Load() {
			kind = jwstore.ErrUnknown
		}
		return 0, false, kv.countFailure(kv.wrap(kind, opName+": "+err.Error()))
	}
	reply, err := readBody(res)
	switch {
	case res.StatusCode == http.StatusConflict:
		return 0, false, nil
	case res.StatusCode >= 400 && res.StatusCode < 500:
		return 0, false, kv.countFailure(kv.wrap(jwstore.ErrUnavailable, opName+": "+res.Status))
	case err != nil:
		return 0, false, kv.countFailure(kv.wrap(jwstore.ErrUnknown, opName+": "+err.Error()))
	case res.StatusCode != http.StatusOK:
		return 0, false, kv.countFailure(kv.wrap(jwstore.ErrUnknown, opName+": "+res.Status))
	}
	version, err := decodeTransaction(reply, op)
	if err != nil {
		return 0, false, kv.countFailure(kv.wrap(jwstore.ErrUnknown, opName+": "+err.Error()))
	}
	return version, true, nil
}

// countFailure counts a failed call and returns its error.
func (kv *KeyValue) countFailure(err error) error {
	kv.failures.Add(1)
	return err
}

// wrap adds the operation that failed and the address of the service to an error.
func (kv *KeyValue) wrap(kind error, opName string) error {
	return errors.Wrapf(kind, "%s: %s", opName, kv.Address)
}

// The verbs of the operations in a transaction.
const (
	swapVerb   = "cas"
	deleteVerb = "delete-cas"
	checkVerb  = "check-index"
)

// record is one key in a response of the service.
type record struct {
	Key         string
	Value       []byte // base64 in JSON
	ModifyIndex uint64
}

// operation is one operation of a transaction; Index is the version that the key must
// have, 0 for a key that must not exist.
type operation struct {
	Verb  string
	Key   string
	Value []byte
	Index uint64
}

type transactionOperation struct {
	KV operation
}

type transactionResult struct {
	Results []struct {
		KV record
	}
}

// decodeItems decodes the response to a read of one key or of a prefix.
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

// decodeTransaction decodes the response to a transaction that took effect. It returns
// the new version of the key, or 0 after a delete.
func decodeTransaction(body []byte, op operation) (uint64, error) {
	if op.Verb == deleteVerb {
		return 0, nil
	}
	var result transactionResult
	if err := json.Unmarshal(body, &result); err != nil {
		return 0, errors.Wrap(err, "decode transaction")
	}
	if len(result.Results) != 1 || result.Results[0].KV.Key != op.Key || result.Results[0].KV.ModifyIndex == 0 {
		return 0, errors.New("decode transaction: response has no ModifyIndex of the key")
	}
	return result.Results[0].KV.ModifyIndex, nil
}
