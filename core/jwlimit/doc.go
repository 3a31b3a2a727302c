// Package jwlimit decides which requests are taken on: by class, by the limits
// of entries and owners that a region's nodes share, and by whether the answer
// can come in time. What is refused gets a Retry-After.
package jwlimit
