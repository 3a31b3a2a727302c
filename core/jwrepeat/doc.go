// Package jwrepeat decides whether a request that was not answered may be sent once
// more. It holds no state; the budget that repeats draw on is a function.
package jwrepeat
