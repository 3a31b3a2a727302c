// Package jwconsul speaks the platform's published protocols: the
// key-value service by the Consul HTTP API, the list of hosts by Prometheus
// HTTP service discovery and the client directory by SCIM 2.0 (RFC 7644).
//
// Every type is a plain struct whose exported fields are set before its first
// call; each may be used by many goroutines at once.
package jwconsul
