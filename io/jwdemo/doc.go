// Package jwdemo runs a whole small system in one process: nodes of three
// regions, stand-ins for the platform and for targets, and links between them
// that can be cut. It sends requests, breaks things, and tells what happened
// and whether it was as promised.
package jwdemo
