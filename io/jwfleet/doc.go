// Package jwfleet measures the real system in one process: real nodes over real
// sockets, with stand-ins for the platform, the targets and the links, under an
// open load and a fault.
//
// Limits: all parts share one machine's processors; every node is reached by
// all others over one link, so that nodes of the same region are as far from
// each other as regions are; plain services have no limit of their own, so the
// load is a share of what the model runners can do.
package jwfleet
