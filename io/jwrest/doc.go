// Package jwrest sets up go-zero's rest for the listeners of a node. It keeps
// rest's routing and switches off everything of it that would answer, delay or
// cut a request by itself: timeouts, body limits, shedding, breakers, log lines
// and the handling of signals. Those decisions belong to the node.
package jwrest
