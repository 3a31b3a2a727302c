// Package jwcommand implements the command line of jujubewheel: it runs a node,
// checks settings, and calls the operators' interface of running nodes.
package jwcommand
