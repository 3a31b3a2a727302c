// Package jwfleet measures the real system in one process: real nodes over real
// sockets, with stand-ins for the platform, the targets and the links, under an
// open-loop load and a fault.
//
// Limits: All parts share the processors of one machine. All other nodes reach
// a node over one link, so nodes of the same region are as far from each other
// as regions are. Plain services have no capacity limit, so the load is a share
// of the capacity of the model runners.
package jwfleet
