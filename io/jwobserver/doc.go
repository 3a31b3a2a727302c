// Package jwobserver looks at the board of a node now and then: it shows what
// is there as gauges and writes what has changed to the audit trail, so that no
// other part has to tell. It changes nothing.
package jwobserver
