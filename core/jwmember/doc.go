// Package jwmember tracks the other nodes as one node knows them: what each
// registered under its lease in the platform's store, and when it was last
// seen directly. With both, the directory neither returns dead nodes nor drops
// live ones while the store is unavailable.
package jwmember
