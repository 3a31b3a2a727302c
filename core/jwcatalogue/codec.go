package jwcatalogue

import (
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// ParseEntry reads the JSON form of an entry and rejects unknown keys. It does
// not validate the values.
func ParseEntry(data []byte) (Entry, error) {
	var e Entry
	if err := decodeStrict(data, &e); err != nil {
		return Entry{}, errors.Wrap(err, "catalogue entry")
	}
	return e, nil
}

// MarshalJSON encodes the entry, with durations as strings such as "8s".
func (e Entry) MarshalJSON() ([]byte, error) {
	return json.Marshal(entryJSON{
		Name: e.Name, Owner: e.Owner, Class: e.Class,
		Service: e.Service, Path: e.Path,
		Idempotent: e.Idempotent, Bound: e.Bound,
		Deadline: duration(e.Deadline), FirstToken: duration(e.FirstToken), Progress: duration(e.Progress),
		Limits: e.Limits, Weights: e.Weights, Regions: e.Regions,
		KeyMemory: duration(e.KeyMemory), MaxBodySize: e.MaxBodySize,
	})
}

// UnmarshalJSON rejects unknown keys: a node that ignored them would write a
// checkpoint without them.
func (e *Entry) UnmarshalJSON(data []byte) error {
	var j entryJSON
	if err := decodeStrict(data, &j); err != nil {
		return err
	}
	*e = Entry{
		Name: j.Name, Owner: j.Owner, Class: j.Class,
		Service: j.Service, Path: j.Path,
		Idempotent: j.Idempotent, Bound: j.Bound,
		Deadline: time.Duration(j.Deadline), FirstToken: time.Duration(j.FirstToken), Progress: time.Duration(j.Progress),
		Limits: j.Limits, Weights: j.Weights, Regions: j.Regions,
		KeyMemory: time.Duration(j.KeyMemory), MaxBodySize: j.MaxBodySize,
	}
	return nil
}

type entryJSON struct {
	Name        string   `json:"name"`
	Owner       string   `json:"owner"`
	Class       Class    `json:"class"`
	Service     string   `json:"service"`
	Path        string   `json:"path"`
	Idempotent  bool     `json:"idempotent"`
	Bound       bool     `json:"bound"`
	Deadline    duration `json:"deadline"`
	FirstToken  duration `json:"firstToken"`
	Progress    duration `json:"progress"`
	Limits      Limits   `json:"limits"`
	Weights     Weights  `json:"weights"`
	Regions     []string `json:"regions,omitempty"`
	KeyMemory   duration `json:"keyMemory"`
	MaxBodySize int64    `json:"maxBodySize"`
}

type duration time.Duration

func (d duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

func (d *duration) UnmarshalJSON(data []byte) error {
	var s string
	if err := json.Unmarshal(data, &s); err != nil {
		return errors.Errorf("duration %s is not a string such as \"8s\"", data)
	}
	parsed, err := time.ParseDuration(s)
	if err != nil {
		return err
	}
	*d = duration(parsed)
	return nil
}

// decodeStrict decodes exactly one JSON value and rejects unknown keys.
func decodeStrict(data []byte, v any) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return err
	}
	if _, err := dec.Token(); err != io.EOF {
		return errors.New("more than one JSON value")
	}
	return nil
}

// decodeRecord decodes a record that nodes write for each other. It ignores
// unknown keys, so that adjacent versions can run together.
func decodeRecord(data []byte, v any) error { return json.Unmarshal(data, v) }

// equal reports whether two entries have the same JSON form.
func (e Entry) equal(other Entry) bool {
	a, errA := json.Marshal(e)
	b, errB := json.Marshal(other)
	return errA == nil && errB == nil && bytes.Equal(a, b)
}

// size returns the bytes that an entry takes in a checkpoint, including its name
// as the key of two maps and its revision.
func (e Entry) size() int {
	data, err := json.Marshal(e)
	if err != nil {
		return MaxCatalogueSize
	}
	return len(data) + 2*len(e.Name) + entryOverhead
}

// entryOverhead covers the JSON punctuation and the digits of the revision.
const entryOverhead = 32

// clone returns a deep copy, so that the applied catalogue doesn't change when
// the sender of the entry writes to its own later.
func (e *Entry) clone() *Entry {
	if e == nil {
		return nil
	}
	c := *e
	c.Regions = slices.Clone(e.Regions)
	return &c
}
