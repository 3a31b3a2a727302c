// Package jwdelta tracks how far nodes have exchanged numbered changes, so that each gets every change
// of the others, also after it was restarted, paused or cut off, and as a rule only once.
package jwdelta
