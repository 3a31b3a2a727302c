// Package jwoperate implements the HTTP interface of a node for operators. It
// serves the catalogue and its history, the nodes at which a revision is not yet
// in force, the audit trail, traces of requests, peers, targets, metrics and
// health checks. All paths but the health checks require the operators' bearer
// token.
package jwoperate
