// Command jujubewheel runs a node of the gateway and sends operators' commands
// to running nodes.
package main
