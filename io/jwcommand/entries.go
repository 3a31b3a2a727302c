package jwcommand

import (
	"bytes"
	"encoding/json"
	"os"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"

	"jujubewheel/core/jwcatalogue"
	"jujubewheel/io/jwoperate"
)

// readEntries reads a file of entries: JSON with comments.
func readEntries(file string) ([]jwoperate.Entry, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read entries")
	}
	items, err := parseEntries(data)
	return items, errors.Wrapf(err, "read entries: %s", file)
}

// parseEntries parses a bare entry, an entry with the revision it is based on,
// or an object with a list of these.
func parseEntries(data []byte) ([]jwoperate.Entry, error) {
	data, err := hujson.Standardize(data)
	if err != nil {
		return nil, err
	}
	var keys map[string]json.RawMessage
	if err := json.Unmarshal(data, &keys); err != nil {
		return nil, err
	}
	list, ok := keys["entries"]
	if !ok {
		item, err := parseEntry(data)
		return []jwoperate.Entry{item}, err
	}
	var raw []json.RawMessage
	if err := json.Unmarshal(list, &raw); err != nil {
		return nil, errors.Wrap(err, "entries")
	}
	items := make([]jwoperate.Entry, 0, len(raw))
	for i, text := range raw {
		item, err := parseEntry(text)
		if err != nil {
			return nil, errors.Wrapf(err, "entries[%d]", i)
		}
		items = append(items, item)
	}
	return items, nil
}

func parseEntry(data []byte) (jwoperate.Entry, error) {
	var keys map[string]json.RawMessage
	if err := json.Unmarshal(data, &keys); err != nil {
		return jwoperate.Entry{}, err
	}
	if _, bare := keys["name"]; bare {
		e, err := jwcatalogue.ParseEntry(data)
		return jwoperate.Entry{Entry: e}, err
	}
	var item jwoperate.Entry
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&item); err != nil {
		return jwoperate.Entry{}, err
	}
	return item, nil
}

// sameEntry reports whether two entries are the same JSON.
func sameEntry(a, b jwcatalogue.Entry) bool {
	x, errX := json.Marshal(a)
	y, errY := json.Marshal(b)
	return errX == nil && errY == nil && bytes.Equal(x, y)
}

func asResponseError(err error, into **responseError) bool { return errors.As(err, into) }
