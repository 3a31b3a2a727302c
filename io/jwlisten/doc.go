// Package jwlisten implements the HTTP interface of a node for callers: the list
// of hosts to use, requests, and tickets, which are idempotency keys.
package jwlisten
