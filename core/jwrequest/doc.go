// Package jwrequest describes one request from a caller to a target: what the
// caller asked for, which nodes the request has passed, and how it ended.
package jwrequest
