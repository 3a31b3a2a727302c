// Package jwwire holds the generated messages and service of the protocol
// between nodes; node.proto is its source.
package jwwire

//go:generate ../../.ci/generate
