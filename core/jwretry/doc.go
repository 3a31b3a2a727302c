// Package jwretry decides whether a request that was not answered may be sent again. It
// holds no state; the retry budget is a function that the caller passes.
package jwretry
