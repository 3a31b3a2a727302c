// Package jwroom divides the room of a target over the nodes that send to it, so that two nodes
// don't fill the same slot. Each node computes its own part from the loads that the others last
// reported; no node grants and no message is added. A part holds for LeaseTime.
package jwroom
