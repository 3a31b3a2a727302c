// Package jwforward implements the gRPC protocol between nodes, client and
// server: it forwards requests and answers, exchanges digests of what nodes
// know about each other, hands over the records of a stopping node, and
// transfers catalogue changes, the workspace directory and host lists.
package jwforward
