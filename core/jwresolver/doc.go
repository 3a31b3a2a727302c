// Package jwresolver decides which nodes the directory returns to a caller and for
// how long the caller may use the answer. It does no network access and holds no
// state: Resolve computes an Answer from a View.
package jwresolver
