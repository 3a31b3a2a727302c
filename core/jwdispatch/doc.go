// Package jwdispatch takes one request from its arrival at a node to the end
// of its answer: it admits it, picks who serves it, calls the target or another
// node, and tries again where that is safe.
package jwdispatch
