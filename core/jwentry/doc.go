// Package jwentry holds the operators' entries as one whole configuration with
// a version: which requests there are, told by host and path, which services
// run them, and within which limits. A Table keeps the newest configuration
// that a node has seen; its version only rises.
package jwentry
