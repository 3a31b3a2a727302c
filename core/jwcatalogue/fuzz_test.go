package jwcatalogue

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"
)

// Data from the store or from a peer may be truncated or from another version.
// The parsers must reject it, or it must mean the same after it is encoded again.

func FuzzParseEntry(f *testing.F) {
	complete, err := json.Marshal(newEntry("status"))
	assert.NilError(f, err)
	f.Add(complete)
	f.Add(complete[:len(complete)/2])
	f.Add([]byte(`{"name":"a","deadline":"1h0.5s","regions":["*"],"limits":{"rate":1e-9}}`))
	f.Add([]byte(`{"name":"a","deadline":-1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		e, err := ParseEntry(data)
		if err != nil {
			return
		}
		_ = e.Validate()
		encoded, err := json.Marshal(e)
		assert.NilError(t, err)
		back, err := ParseEntry(encoded)
		assert.NilError(t, err)
		assert.Assert(t, back.equal(e))
	})
}

func FuzzParseChange(f *testing.F) {
	complete, err := newChange(1, "a").Encode()
	assert.NilError(f, err)
	f.Add(complete)
	f.Add(complete[:len(complete)-1])
	f.Add([]byte(`{"n":18446744073709551615,"editId":"a","entry":"a","before":{"name":"a"},"time":"2026-01-01T00:00:00Z"}`))
	f.Add([]byte(`{"n":1,"editId":"a","entry":"a","after":{"name":"b"}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := ParseChange(data)
		if err != nil {
			return
		}
		encoded, err := c.Encode()
		assert.NilError(t, err)
		back, err := ParseChange(encoded)
		assert.NilError(t, err)
		assert.Equal(t, back.EditID, c.EditID)
		assert.Assert(t, back.Time.Equal(c.Time) && equalEntries(back.Before, c.Before) && equalEntries(back.After, c.After))
		table := new(Table)
		if err := table.Apply(c); (err == nil) != (c.N == 1) {
			t.Fatalf("change %d at revision 0: %v", c.N, err)
		}
	})
}

func FuzzParseCheckpoint(f *testing.F) {
	table := new(Table)
	assert.NilError(f, table.Apply(newChange(1, "a")))
	complete, err := table.Current().checkpoint().Encode()
	assert.NilError(f, err)
	f.Add(complete)
	f.Add(complete[:len(complete)-2])
	f.Add([]byte(`{"revision":3,"entries":{"a":{"name":"a"}},"revisions":{"a":4}}`))
	f.Add([]byte(`{"revision":3,"entries":{"a":{"name":"a"}},"revisions":{"b":2}}`))
	f.Add([]byte(`{"revision":3,"entries":null,"revisions":null}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := ParseCheckpoint(data)
		if err != nil {
			return
		}
		table := new(Table)
		assert.NilError(t, table.Restore(c))
		assert.Equal(t, table.Revision(), c.Revision)
		encoded, err := table.Current().checkpoint().Encode()
		assert.NilError(t, err)
		assert.Assert(t, len(encoded) <= table.Current().size+checkpointOverhead, "%d bytes, expected at most %d and the overhead", len(encoded), table.Current().size)
		_, err = ParseCheckpoint(encoded)
		assert.NilError(t, err)
	})
}

// checkpointOverhead is the size of a checkpoint in bytes without its entries.
const checkpointOverhead = 80

func FuzzParseRecords(f *testing.F) {
	f.Add([]byte(`{"name":"n0","region":"north","incarnation":"a"}`))
	f.Add([]byte(`{"name":"n/0","region":"north","incarnation":"a"}`))
	f.Add([]byte(`{"region":"north","revision":3,"seen":4,"laggards":["n0"]}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = ParseMember(data)
		_, _ = ParseRegionConfirmation(data)
	})
}
