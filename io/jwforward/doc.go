// Package jwforward speaks the protocol between nodes over gRPC: requests and
// answers on their way to another node, exchanges of what nodes know, and
// catalogue changes.
package jwforward
