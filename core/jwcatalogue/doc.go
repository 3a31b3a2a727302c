// Package jwcatalogue holds the operators' catalogue: its entries, the log of
// changes that produces it, and the rules by which a change is accepted.
//
// The log is kept in the platform's key-value store, where change n has a key
// that is created only once. The parts are:
//
//   - An Editor appends changes to the log.
//   - A Follower on each node reads the log and applies its changes to the Table
//     of that node.
//   - A Membership registers the node in the store before it serves. A node that
//     can't reach the store may join through a sponsor: a serving peer that adopts
//     it and confirms revisions on its behalf (SponsoredNodes).
//   - A Gatherer in each region writes a confirmation: the revision that all
//     members of the region have applied. HostRemovals reports which members have
//     been removed from the host list and are no longer waited for.
//   - An Acceptance reads the confirmations and reports whether a change is
//     accepted: applied at every node that may be serving.
//
// Lock order: SponsoredNodes, then HostRemovals or Table. Hosts is called under the
// first two and must call neither; Peers is called without a lock.
package jwcatalogue
