// Package jwexplain keeps traces of the latest requests of a node: the decisions
// on each request and their reasons. A trace never holds a body, a key or the
// name of a workspace. Traces stay in the memory of the node that recorded them.
package jwexplain
