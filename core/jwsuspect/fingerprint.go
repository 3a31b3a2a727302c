package jwsuspect

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/pkg/errors"
)

// Fingerprint stands for a request's entry and body. Nodes report to each other
// fingerprints only, from which the body cannot be had back.
type Fingerprint [16]byte

// FingerprintOf returns the fingerprint of a request; the workspace is no part
// of it, so that the same body sent by others is known as well.
func FingerprintOf(entry string, body []byte) Fingerprint {
	h := sha256.New()
	h.Write([]byte(entry))
	h.Write([]byte{0})
	h.Write(body)
	var f Fingerprint
	copy(f[:], h.Sum(nil))
	return f
}

// ParseFingerprint reads what String returns.
func ParseFingerprint(s string) (f Fingerprint, err error) {
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != len(f) {
		return f, errors.Errorf("no fingerprint: %q", s)
	}
	copy(f[:], b)
	return f, nil
}

// String returns the fingerprint in hexadecimal digits.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }
