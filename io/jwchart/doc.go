// Package jwchart draws charts of a day's requests and node states from the logs
// of nodes, so that a minute with failures stands out.
package jwchart
