// Command jujubebench sends load to nodes, or directly to targets, and reports
// latencies and outcomes. It also compares policies in a simulation, measures
// nodes under faults and draws charts from logs.
package main
