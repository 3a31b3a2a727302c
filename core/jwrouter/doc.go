// Package jwrouter decides where a request runs: in which region, and on which
// target of that region. Its decisions depend only on the query and on the
// tables that they read; time and randomness are part of each query.
package jwrouter
