// Package jwnode assembles a node: the board, the controllers that work on it,
// the request path and the listeners, from the settings.
package jwnode
