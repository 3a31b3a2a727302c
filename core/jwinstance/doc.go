// Package jwinstance holds what a node believes of the targets, one record an
// incarnation: what the platform's store says of it, what the target said
// itself and what calls to it showed. It chooses the target that will probably
// send its first event soonest.
//
// A Table has one mutex and calls nothing while it holds it.
package jwinstance
