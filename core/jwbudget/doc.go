// Package jwbudget enforces limits on what all nodes do together, without communication
// for each request: every node uses a share that depends on how many nodes there may be.
package jwbudget
