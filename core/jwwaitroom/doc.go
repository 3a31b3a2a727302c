// Package jwwaitroom holds the requests of a node that wait until a target has room. They are
// ordered by urgency, then by share, then by the time until which each can still be served. The
// room is bounded in requests and bytes: a more urgent request displaces the last one in order.
package jwwaitroom
