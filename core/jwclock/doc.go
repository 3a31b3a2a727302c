// Package jwclock provides time functions that the standard library lacks: a sleep that
// a context can end, and the detection of pauses of the process.
package jwclock
