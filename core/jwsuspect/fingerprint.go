package jwsuspect

import (
	"crypto/sha256"
	"encoding/hex"
)

// Fingerprint stands for a request's entry and body. Nodes tell each other
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

// String returns the fingerprint in hexadecimal digits.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }
