// Package jwlimit decides which requests are admitted: by their class, by the
// limits of entries and owners, which the nodes of a region share, and by
// whether the answer can be given before the deadline. Rejected requests get a
// Retry-After.
package jwlimit
