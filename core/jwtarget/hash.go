package jwtarget

import (
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Mix joins two hashes into one that is spread evenly; the target with the
// highest Mix of a request's key and its own is the first choice of rendezvous
// hashing, and only the requests of a target that goes move to others.
func Mix(a, b uint64) uint64 {
	x := a ^ (b * 0x9e3779b97f4a7c15)
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

func nameKey(name string) uint64 { return xxhash.Sum64String(name) }

func addressKey(addr netip.AddrPort) uint64 {
	ip := addr.Addr().As16()
	h := xxhash.Sum64(ip[:])
	return Mix(h, uint64(addr.Port()))
}
