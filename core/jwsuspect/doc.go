// Package jwsuspect finds requests that crash the targets that run them, so
// that a caller who sends one again and again cannot take a service down.
package jwsuspect
