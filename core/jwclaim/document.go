package jwclaim

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

const (
	documentFormat  = 1
	maxDocumentSize = 1 << 20 // bytes, the largest value the store takes
	keyHashSize     = 16      // bytes
	bodyHashSize    = 12      // bytes
	claimIDSize     = 12      // bytes
	segmentDigits   = 12
	slotsPrefix     = "claims/"
)

// ErrDocument says that a slot document can't be read.
var ErrDocument = errors.New("unreadable slot document")

type (
	keyHash  [keyHashSize]byte  // salted hash of workspace and key
	bodyHash [bodyHashSize]byte // salted hash of workspace, key and body
	claimID  [claimIDSize]byte  // random, identifies one claim by one node
)

// Holder identifies the process that holds a key.
type Holder struct {
	Node        string `json:"node"`
	Region      string `json:"region"`
	Incarnation string `json:"incarnation"`
}

// document is one segment of a slot's log as it is stored. A sealed segment
// never changes again, and only then may the next one be created.
type document struct {
	Format  int      `json:"format"`
	Holders []Holder `json:"holders,omitempty"`
	Rows    []row    `json:"rows,omitempty"`
	Until   int64    `json:"until"` // Unix seconds after which no row is needed
	Sealed  bool     `json:"sealed,omitempty"`
}

// row is a claim or, if Release is set, the release of a claim. A release sets
// only ID and Key.
type row struct {
	ID      claimID  `json:"id"`
	Release bool     `json:"release,omitempty"`
	Key     keyHash  `json:"key"`
	Body    bodyHash `json:"body,omitzero"`
	Holder  int      `json:"holder,omitempty"` // index in Holders
	Until   int64    `json:"until,omitempty"`  // Unix seconds until which the key is remembered
}

// MarshalText writes the hash in base64.
func (h keyHash) MarshalText() ([]byte, error) { return encodeFixed(h[:]), nil }

// UnmarshalText reads the hash from base64.
func (h *keyHash) UnmarshalText(b []byte) error { return decodeFixed(h[:], b) }

// MarshalText writes the hash in base64.
func (h bodyHash) MarshalText() ([]byte, error) { return encodeFixed(h[:]), nil }

// UnmarshalText reads the hash from base64.
func (h *bodyHash) UnmarshalText(b []byte) error { return decodeFixed(h[:], b) }

// MarshalText writes the id in base64.
func (id claimID) MarshalText() ([]byte, error) { return encodeFixed(id[:]), nil }

// UnmarshalText reads the id from base64.
func (id *claimID) UnmarshalText(b []byte) error { return decodeFixed(id[:], b) }

func encodeFixed(b []byte) []byte {
	return base64.RawURLEncoding.AppendEncode(nil, b)
}

func decodeFixed(dst, text []byte) error {
	if len(text) != base64.RawURLEncoding.EncodedLen(len(dst)) {
		return errors.Wrapf(ErrDocument, "%d characters are not the base64 of %d bytes", len(text), len(dst))
	}
	n, err := base64.RawURLEncoding.Strict().Decode(dst, text)
	if err != nil || n != len(dst) {
		return errors.Wrapf(ErrDocument, "%q is not the base64 of %d bytes", text, len(dst))
	}
	return nil
}

func encodeDocument(d document) ([]byte, error) {
	d.Format = documentFormat
	return json.Marshal(d)
}

// decodeDocument rejects a document that it can't read in full: skipping a
// claim would let its key run a second time.
func decodeDocument(b []byte) (document, error) {
	var d document
	if err := json.Unmarshal(b, &d); err != nil {
		return document{}, errors.Wrapf(ErrDocument, "%v", err)
	}
	if d.Format != documentFormat {
		return document{}, errors.Wrapf(ErrDocument, "unsupported format %d", d.Format)
	}
	for i, r := range d.Rows {
		if !r.Release && (r.Holder < 0 || r.Holder >= len(d.Holders)) {
			return document{}, errors.Wrapf(ErrDocument, "row %d refers to a missing holder", i)
		}
		if r.ID == (claimID{}) {
			return document{}, errors.Wrapf(ErrDocument, "row %d has no id", i)
		}
	}
	return d, nil
}

// holderIndex returns the index of h in d.Holders, to which it adds h if
// needed.
func (d *document) holderIndex(h Holder) int {
	for i := range d.Holders {
		if d.Holders[i] == h {
			return i
		}
	}
	d.Holders = append(d.Holders, h)
	return len(d.Holders) - 1
}

// clone returns a copy that can be extended without a change to d.
func (d document) clone() document {
	d.Holders = append([]Holder(nil), d.Holders...)
	d.Rows = append(make([]row, 0, len(d.Rows)+16), d.Rows...)
	return d
}

// slotPrefix is the key prefix of all segments of a slot.
func slotPrefix(region string, slot int) string {
	return fmt.Sprintf("%s%s/%03d/", slotsPrefix, region, slot)
}

func segmentKey(prefix string, n uint64) string {
	return fmt.Sprintf("%s%0*d", prefix, segmentDigits, n)
}

func segmentNumber(prefix, key string) (uint64, error) {
	text, ok := strings.CutPrefix(key, prefix)
	if !ok || len(text) != segmentDigits {
		return 0, errors.Wrapf(ErrDocument, "invalid segment key %q", key)
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil || n == 0 {
		return 0, errors.Wrapf(ErrDocument, "invalid segment key %q", key)
	}
	return n, nil
}

// liveClaim is a claim that has not been released, as a view holds it.
type liveClaim struct {
	id     claimID
	body   bodyHash
	holder *Holder // shared by all claims of a segment
	until  int64   // Unix seconds
}
