// Package jwclaim makes a call with an idempotency key run at most once.
//
// A caller brings its own key, or a ticket that a node minted. An own key is
// claimed in the platform's key-value service before the call goes out: the
// claim is appended to a log that all nodes share, by compare-and-swap, and
// only a claim that is known to be written lets the call run. A ticket is run
// by the process that minted it alone, whose memory is the record, so tickets
// need no write. What is no longer remembered is answered unknown and never
// runs again.
//
// A Keeper has one lock, held for memory only and never during a call of the
// store. The view of a slot belongs to the one goroutine that writes the slot.
package jwclaim
