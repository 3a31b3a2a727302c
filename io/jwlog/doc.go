// Package jwlog makes the log of a process: JSON lines, one for each change of
// state, and the lines of libraries only at a higher verbosity.
package jwlog
