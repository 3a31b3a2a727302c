// Package jwdrain carries out the planned stop of a node: it stops admitting,
// lets everything in flight end, writes what is left to write, hands what is
// remembered to a successor, and only then lets the process go.
package jwdrain
