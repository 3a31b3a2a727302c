// Package jwboard holds the shared in-memory tables of a node, through which its
// background controllers and its request path exchange data.
//
// Each table has its own lock. The lock order is Peers, Targets, Regions,
// Limiter, Budget, Suspects; Catalogue and Directory are read without a lock. No
// table calls another while it holds its lock, so in practice no goroutine holds
// two.
package jwboard
