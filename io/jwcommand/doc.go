// Package jwcommand is the command line of jujubewheel: it runs a node, checks
// settings, and speaks to the operators' interface of running nodes.
package jwcommand
