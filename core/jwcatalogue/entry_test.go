package jwcatalogue

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func newEntry(name string) Entry {
	return Entry{
		Name: name, Owner: "kitchen", Class: Lookup, Service: "order-desk", Path: "/status",
		Idempotent: true, Deadline: 8 * time.Second, MaxBodySize: 1 << 20,
	}
}

func TestEntryJSON(t *testing.T) {
	e := newEntry("status")
	e.Regions = []string{"north", "south"}
	e.Limits = Limits{Rate: 2.5, Burst: 3, Concurrent: 4}
	data, err := json.Marshal(e)
	assert.NilError(t, err)
	got, err := ParseEntry(data)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, e)
}

func TestParseEntryRejects(t *testing.T) {
	tests := map[string]struct{ in, want string }{
		"unknown key":        {`{"name":"a","retries":3}`, "unknown field"},
		"unknown nested key": {`{"limits":{"rps":3}}`, "unknown field"},
		"duration as number": {`{"deadline":8}`, "not a string"},
		"duration":           {`{"deadline":"8 s"}`, "unknown unit"},
		"two values":         {`{"name":"a"} {}`, "more than one"},
		"not an object":      {`[]`, "cannot unmarshal"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := ParseEntry([]byte(tt.in))
			assert.ErrorContains(t, err, tt.want)
		})
	}
}

func TestValidate(t *testing.T) {
	tests := map[string]struct {
		edit func(e *Entry)
		want []string
	}{
		"good":               {func(*Entry) {}, nil},
		"empty":              {func(e *Entry) { *e = Entry{} }, []string{"name is empty", "owner is empty", "service is empty", "path", "class", "deadline"}},
		"long name":          {func(e *Entry) { e.Name = string(make([]byte, 64)) }, []string{"name is longer"}},
		"slash in name":      {func(e *Entry) { e.Name = "a/b" }, []string{"other characters"}},
		"deadline":           {func(e *Entry) { e.Deadline = time.Hour + 1 }, []string{"deadline"}},
		"first token":        {func(e *Entry) { e.FirstToken = time.Minute }, []string{"firstToken"}},
		"progress":           {func(e *Entry) { e.Progress = -1 }, []string{"progress"}},
		"key memory":         {func(e *Entry) { e.Idempotent, e.KeyMemory = false, 7*time.Second }, []string{"keyMemory"}},
		"negative":           {func(e *Entry) { e.Limits.Rate, e.Weights.Wait = -1, -1 }, []string{"limits.rate", "weights.tail"}},
		"no burst":           {func(e *Entry) { e.Limits.Rate = 1 }, []string{"limits.burst"}},
		"body":               {func(e *Entry) { e.MaxBodySize = 1 << 40 }, []string{"maxBodySize"}},
		"bound with regions": {func(e *Entry) { e.Bound, e.Regions = true, []string{"north"} }, []string{"bound"}},
		"any and others":     {func(e *Entry) { e.Regions = []string{"*", "north"} }, []string{"beside others"}},
		"region twice":       {func(e *Entry) { e.Regions = []string{"north", "north"} }, []string{"twice"}},
		"path":               {func(e *Entry) { e.Path = "/a b" }, []string{"path"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			e := newEntry("status")
			tt.edit(&e)
			err := e.Validate()
			if tt.want == nil {
				assert.NilError(t, err)
			}
			for _, want := range tt.want {
				assert.ErrorContains(t, err, want)
			}
		})
	}
}
