// Package jwentry defines the configuration of a node: the operators' entries, which
// say for the requests of a host and path prefix which services run them and within
// which limits. A configuration is replaced as a whole and has a version. A Table
// holds the newest one that a node has received; its version never decreases.
package jwentry
