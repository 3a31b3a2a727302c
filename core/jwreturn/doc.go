// Package jwreturn plans when rejected callers return.
//
// While only a part of the requests is admitted, each request has slots in time at which it is admitted,
// and outside of which it is rejected. The slots depend on the request's fingerprint and the time only, so
// every node comes to the same ones without having heard of the first attempt. A rejected caller is told
// to return in its next slot: it is then admitted at any node, callers are spread evenly over time, and
// one that returns earlier is rejected again and told the same slot. The package holds no state and reads
// no clock.
package jwreturn
