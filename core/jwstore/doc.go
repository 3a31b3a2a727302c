// Package jwstore names what the nodes need of the platform's key-value
// service: reads, compare-and-swap writes and waiting reads.
package jwstore
