// Package jwconn makes single HTTP/1.1 calls over kept connections and tells,
// for each that failed, how far it got.
//
// It exists beside net/http's Transport because that sends a request anew by
// itself when a kept connection breaks, and takes whatever stands next on a
// connection for the answer. Requests are written and answers are parsed by
// net/http.
package jwconn
