package jwcommand

import (
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"jujubewheel/core/jwcatalogue"
)

func TestExampleCatalogues(t *testing.T) {
	tests := map[string]struct {
		services      []string
		nonIdempotent string // the entry that runs at most once
	}{
		"zaitoun": {[]string{"menu-writer", "order-desk"}, "order-confirmation"},
		"cladagh": {[]string{"sheetwriter", "quayside"}, "order-confirmation"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			items, err := readEntries(filepath.Join("..", "..", "examples", name, "catalogue.jsonc"))
			assert.NilError(t, err)
			used := map[string]bool{}
			for _, item := range items {
				e := item.Entry
				assert.NilError(t, e.Validate())
				used[e.Service] = true
				assert.Equal(t, e.Idempotent, e.Name != tc.nonIdempotent)
				assert.Equal(t, e.Class == jwcatalogue.Confirmation, e.Name == tc.nonIdempotent)
			}
			for _, s := range tc.services {
				assert.Assert(t, used[s], s)
			}
			assert.Equal(t, len(used), len(tc.services))
		})
	}
}

func TestParseEntries(t *testing.T) {
	tests := map[string]struct {
		text string
		want []uint64 // revisions of the entries
		err  string
	}{
		"bare":        {`{"name": "a"}`, []uint64{0}, ""},
		"as printed":  {`{"revision": 4, "entry": {"name": "a"}}`, []uint64{4}, ""},
		"list":        {"{\"entries\": [{\"name\": \"a\"}, {\"revision\": 2, \"entry\": {\"name\": \"b\"}},]} // two\n", []uint64{0, 2}, ""},
		"empty list":  {`{"entries": []}`, []uint64{}, ""},
		"not JSON":    {`{`, nil, "hujson"},
		"no object":   {`[]`, nil, "cannot unmarshal"},
		"no list":     {`{"entries": {}}`, nil, "entries"},
		"unknown key": {`{"name": "a", "colour": 1}`, nil, "colour"},
		"wrong item":  {`{"entries": [{"name": "a"}, 7]}`, nil, "entries[1]"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			items, err := parseEntries([]byte(tc.text))
			if tc.err != "" {
				assert.ErrorContains(t, err, tc.err)
				return
			}
			assert.NilError(t, err)
			got := []uint64{}
			for _, item := range items {
				got = append(got, item.Revision)
			}
			assert.DeepEqual(t, got, tc.want)
		})
	}
}
