// Package jwlog writes the log of a process as JSON lines: one for each change of
// state, and the lines of libraries only at a higher verbosity.
package jwlog
