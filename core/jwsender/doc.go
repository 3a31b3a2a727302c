// Package jwsender keeps the streams that a node runs for other nodes and decides when one must be ended
// because the node that forwarded it no longer wants it or no longer answers. Its caller may have taken
// the stream up at a third node by then, and both runs would work at once.
package jwsender
