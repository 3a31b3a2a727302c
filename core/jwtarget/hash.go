package jwtarget

import (
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Mix combines two hashes into one that is uniformly distributed. It is the
// score function of rendezvous hashing: the target whose key has the highest Mix with
// the key of a request is the first choice for it, and when a target disappears,
// only its own requests move to others.
func Mix(a, b uint64) uint64 {
	x := a ^ (b * 0x9e3779b97f4a7c15)
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// NameKey returns the hash of a name, as an argument for Mix.
func NameKey(name string) uint64 { return xxhash.Sum64String(name) }

// AddressKey returns the hash of an address, as an argument for Mix.
func AddressKey(addr netip.AddrPort) uint64 {
	ip := addr.Addr().As16()
	return Mix(xxhash.Sum64(ip[:]), uint64(addr.Port()))
}
