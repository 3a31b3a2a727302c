// Package jwdispatch handles a request from its arrival at a node to the end of
// its answer: it admits the request, chooses where it runs, calls the target or
// another node, and retries where that is safe.
package jwdispatch
