// Package jwbalance decides which share of a region's requests is served in which other region.
//
// A region reports, by service, the work that its own callers ask for and the work that its targets
// can do. Each node computes from the same reports the same shares, so that a region's peak is
// spread over the room of the others without a call per request. The shares follow from the work
// asked for and not from the waits that result, which would swing: a region that was free when it
// reported would get the peaks of all others at once.
package jwbalance
