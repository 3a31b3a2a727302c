// Package jwnode assembles a node from its settings: the board (the node's
// shared in-memory tables), the controllers that update it, the request path
// and the listeners.
package jwnode
