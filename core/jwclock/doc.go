// Package jwclock holds what the other packages need of time beyond the
// standard library.
package jwclock
