// Package jwpeer holds what a node knows of the other nodes: where they are,
// whether they serve, and which catalogue revision each has in force.
package jwpeer
