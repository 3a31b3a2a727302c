// Package jwquota keeps what workspaces may ask for over all nodes together, without
// a call for each request and without anyone who has to be asked first. Each node
// mints its even part of a quota. Units that it doesn't need go up a tree, to the
// relay of its data centre and from there to the relay at which the workspace's units
// are gathered, its root; units that it lacks come down the same way. Whatever is lost, cut off
// or known to one side only, no unit is spent twice, since it is taken off on one
// side before it is added on the other.
package jwquota
