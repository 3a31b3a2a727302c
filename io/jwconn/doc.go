// Package jwconn makes HTTP/1.1 calls over kept connections, each of them once.
// The error of a failed call says at which stage it failed.
//
// The package replaces net/http's Transport, which sends a request again by
// itself when a kept connection breaks, and takes whatever comes next on a
// connection for the answer. Answers are still parsed by net/http.
package jwconn
