// Package jwretry decides whether a request that was not answered may be sent again, and
// accounts for its sends over all nodes that it passes through. The retry budget is an
// interface that the caller provides.
package jwretry
