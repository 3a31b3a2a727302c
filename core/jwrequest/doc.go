// Package jwrequest describes one request on its way from a caller to a
// target: what the caller asked, where the request has been and how it ended.
package jwrequest
