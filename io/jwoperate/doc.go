// Package jwoperate is the operators' HTTP interface of a node: the catalogue
// and its history, how far a revision is in force, the audit trail, why a
// request went where it went, peers, targets, metrics and health. All of it but
// health asks for the operators' bearer token.
package jwoperate
