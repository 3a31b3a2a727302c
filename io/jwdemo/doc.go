// Package jwdemo runs a small but complete system in one process: nodes of
// three regions, stand-ins for the platform and for targets, and links between
// them that can be cut. It sends requests, injects failures, prints what
// happened and checks that the system kept its guarantees.
package jwdemo
