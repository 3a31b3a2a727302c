// Package jwexplain keeps why the latest requests of a node went where they
// went: the decisions with their reasons, never a body, a key or the name of a
// workspace. Traces stay in the memory of the node that made them.
package jwexplain
