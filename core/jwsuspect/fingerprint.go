package jwsuspect

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/pkg/errors"
)

// Fingerprint is a hash of a request's entry and body. Nodes report only fingerprints
// to each other, from which the body cannot be recovered.
type Fingerprint [16]byte

// FingerprintOf returns the fingerprint of a request. The workspace is not part of it, so
// that the same body is recognized when another workspace sends it.
func FingerprintOf(entry string, body []byte) Fingerprint {
	h := sha256.New()
	h.Write([]byte(entry))
	h.Write([]byte{0})
	h.Write(body)
	var f Fingerprint
	copy(f[:], h.Sum(nil))
	return f
}

// ParseFingerprint parses the form that String returns. It returns an error for any other
// text.
func ParseFingerprint(s string) (f Fingerprint, err error) {
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != len(f) {
		return f, errors.Errorf("malformed fingerprint: %q", s)
	}
	copy(f[:], b)
	return f, nil
}

// String returns the fingerprint in hexadecimal digits.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }
