// Package jwlisten is the callers' HTTP interface of a node: which hosts to
// use, requests, and tickets for confirmations.
package jwlisten
