// Command jujubewheel runs a node of the gateway and speaks to running ones.
package main
