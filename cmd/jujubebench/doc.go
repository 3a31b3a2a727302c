// Command jujubebench sends load to nodes, or directly to targets, and reports
// what came of it.
package main
