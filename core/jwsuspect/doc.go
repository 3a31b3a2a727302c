// Package jwsuspect detects requests that crash the targets that run them, so that a
// caller who keeps retrying such a request cannot crash a whole service.
package jwsuspect
