// Package jwclock provides time functions that are not in the standard library: a sleep
// that a context can end, and the detection of pauses of the process.
package jwclock
