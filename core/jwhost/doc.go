// Package jwhost holds the platform's list of live and leaving hosts and keeps it
// up to date. The list lags behind the actual state of the hosts.
package jwhost
