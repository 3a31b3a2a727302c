// Package jwobserver reads the shared state of a node, its board, at intervals. It
// reports the state as metrics and records changes in the audit trail, so that
// no other package has to. It changes nothing on the board.
package jwobserver
