// Package jwsuspect detects requests that crash the targets that run them, so that a
// caller who sends such a request again and again cannot crash a whole service.
package jwsuspect
