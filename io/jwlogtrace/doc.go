// Package jwlogtrace reads the logs of several nodes and explains in plain words what
// became of one request. Damaged lines are passed over and counted. The clocks
// of hosts differ and jump, so lines of one node keep their order and times
// are given as spans since the request arrived there.
package jwlogtrace
