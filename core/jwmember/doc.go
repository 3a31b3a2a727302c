// Package jwmember holds what a node believes of the other nodes: what each
// registered under its lease in the platform's store, and when it was last
// seen itself. So the directory neither names the dead nor forgets the living
// while the store is away.
package jwmember
