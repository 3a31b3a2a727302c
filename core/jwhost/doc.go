// Package jwhost describes the platform's list of live and leaving hosts,
// which lags behind the truth.
package jwhost
