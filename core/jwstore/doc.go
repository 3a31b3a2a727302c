// Package jwstore defines the interfaces through which nodes use the platform's
// key-value service: reads, compare-and-swap writes, blocking reads, watches and
// leases. It also has in-memory implementations and a cache of recent changes.
package jwstore
