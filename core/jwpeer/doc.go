// Package jwpeer holds what a node knows about the other nodes: their addresses,
// whether they serve requests, and which catalogue revision each has in force. It
// also exchanges this state with the other nodes.
package jwpeer
