// Package jwclaim makes a call with an idempotency key run at most once.
//
// A key is either chosen by the caller (a caller key) or minted by a node (a
// ticket). A caller key is claimed in the platform's key-value service before
// the call is sent: the claim is appended by compare-and-swap to a log that all
// nodes share, and the call may run only once its claim is known to be written.
// A ticket may run only in the process that minted it or, after a handover, in
// the successor of that process. This process keeps the record of used tickets
// in memory, so tickets need no write. A used key whose answer is no longer kept
// is answered as unknown and is not run again.
//
// The caller keys of a region are divided by their hash among a fixed number of
// slots. Each slot has a log of its own, which is stored as a sequence of
// segments.
//
// A Keeper has one lock, which is held for memory access only and never during
// a call of the store. Only the goroutine that writes a slot uses the view of
// that slot.
package jwclaim
