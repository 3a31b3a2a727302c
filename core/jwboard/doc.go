// Package jwboard is the blackboard of a node: the tables through which its
// controllers and its request path know of each other.
//
// Each table has one lock of its own. The lock order is Peers, Targets,
// Regions, Limiter, Budget, Suspects; Catalogue and Directory are read without
// a lock. No table calls another while it holds its lock, so in practice no
// goroutine holds two.
package jwboard
