// Package jwrest sets up go-zero's rest for the HTTP servers of a node. It keeps
// the routing of rest and disables everything in it that would answer, delay or
// cancel a request by itself, write log lines or handle signals: timeouts, body
// limits, load shedding and circuit breakers. The node itself decides on those.
package jwrest
