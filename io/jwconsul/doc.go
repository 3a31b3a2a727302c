// Package jwconsul holds clients of the platform's services. They call the
// key-value service through the Consul HTTP API, the host list through Prometheus
// HTTP service discovery and the client directory through SCIM 2.0 (RFC 7644).
//
// The exported fields of a client are set before its first call. All clients are
// safe for concurrent use.
package jwconsul
