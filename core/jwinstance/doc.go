// Package jwinstance holds what a node knows of the targets, one record an
// incarnation: what the platform's store says of it, what the target said
// itself and what calls to it showed. It chooses the target that will probably
// send its first event soonest.
//
// A Table has one mutex. While it holds it, it calls Warmup and Share, which
// may take locks of their own and must not call the Table.
package jwinstance
