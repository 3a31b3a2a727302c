// Package jwshare decides which requests of a region are admitted while its targets can't run all of
// them. While there is room for all, nobody is limited. Otherwise the room goes to the levels of
// urgency in their order, apart from a small floor for each, and within a level to the workspaces by
// weighted max-min fairness.
//
// A decision is a fraction for each workspace and level that all nodes of the region apply to the
// requests that reach them, so it does not matter how callers are spread over the nodes. The package
// opens no sockets and reads no clock.
package jwshare
