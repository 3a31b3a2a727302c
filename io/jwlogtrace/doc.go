// Package jwlogtrace reads the logs of several nodes and explains what happened
// to one request, what a node knew at a point in time and why a target got no
// requests. Damaged lines are skipped and counted. The clocks of hosts differ and
// jump, so lines of one node keep their order, and the times of a request are
// given as durations since it arrived at the node.
package jwlogtrace
