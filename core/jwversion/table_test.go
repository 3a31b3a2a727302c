package jwversion_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubewheel/core/jwversion"
)

func record(request, service, version string) jwversion.Record {
	return jwversion.Record{Request: request, Service: service, Origin: jwversion.Origin{Version: version}}
}

func TestTable(t *testing.T) {
	var x jwversion.Table
	now := time.Unix(1000, 0)
	x.Add(now, record("r1", "s", "v1"), true)
	x.Add(now, record("r2", "s", "v2"), false)
	x.Add(now, record("r3", "other", "v1"), true)
	x.Add(now, record("r1", "s", "v9"), true) // only the first one counts
	o, ok := x.Find(now, "r1")
	assert.Assert(t, ok)
	assert.Equal(t, o.Version, "v1")
	_, ok = x.Find(now, "r4")
	assert.Assert(t, !ok)
	x.Add(now.Add(5*time.Second), record("r5", "s", "v1"), true)
	now = now.Add(6 * time.Second)
	own := x.TakeUnreported(now, "s", 2*time.Second)
	assert.Equal(t, len(own), 1)
	assert.Equal(t, own[0].Request, "r5")
	assert.Equal(t, len(x.TakeUnreported(now, "s", time.Hour)), 0)
	x.Add(now, record("r6", "s", "v1"), true)
	assert.Equal(t, len(x.TakeUnreported(now, "s", time.Hour)), 1)
	now = now.Add(jwversion.MaxAge + time.Second)
	_, ok = x.Find(now, "r1")
	assert.Assert(t, !ok)
	assert.Equal(t, len(x.TakeUnreported(now, "other", jwversion.MaxAge)), 0)
}

// Streams begin all the time: the table must not grow without bound.
func TestTableIsBounded(t *testing.T) {
	x := jwversion.Table{MaxRecords: 100}
	now := time.Unix(1000, 0)
	for i := range 1000 {
		x.Add(now.Add(time.Duration(i)*time.Millisecond), record(fmt.Sprint("r", i), "s", "v1"), true)
		assert.Assert(t, x.Len() <= 100)
	}
	_, ok := x.Find(now.Add(time.Second), "r999")
	assert.Assert(t, ok)
	_, ok = x.Find(now.Add(time.Second), "r800")
	assert.Assert(t, !ok)
	x.Add(now.Add(2*jwversion.MaxAge), record("last", "s", "v1"), true)
	assert.Equal(t, x.Len(), 1)
}

func BenchmarkAdd(b *testing.B) {
	var x jwversion.Table
	now := time.Unix(1000, 0)
	r := record("", "s", "v1")
	for i := range b.N {
		r.Request = fmt.Sprint(i)
		x.Add(now.Add(time.Duration(i)*time.Millisecond), r, true)
	}
}

func TestRecordEncoding(t *testing.T) {
	r := record("9c41d07be2a35f68", "", "v1.2")
	r.Origin.Target, r.Origin.StartedAt, r.Origin.BegunAt = "i-7f3a91c2", 1700, time.UnixMilli(2500)
	raw, err := json.Marshal(r)
	assert.NilError(t, err)
	assert.Equal(t, string(raw), `["9c41d07be2a35f68","v1.2","i-7f3a91c2",1700,2500]`)
	var got jwversion.Record
	assert.NilError(t, json.Unmarshal(raw, &got))
	assert.Equal(t, got, r)
	for _, text := range []string{`[]`, `["a","b"]`, `["a","b","c",1,2,3]`, `{}`, `["a","b","c","d",2]`} {
		assert.Assert(t, json.Unmarshal([]byte(text), &got) != nil, text)
	}
}
