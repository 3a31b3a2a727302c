// Package jwinstance keeps what a node knows about the targets and chooses among them. It has one
// record for each incarnation of a target, built from the platform's store, from the target's own
// answers and from the calls made to it. The target chosen is the one that is expected to send its
// first event soonest.
//
// A Table has one mutex. It calls Warmup, ColdRate, LimitShare, Nodes and Rand while it holds the
// mutex; they may take locks of their own but must not call the Table.
package jwinstance
