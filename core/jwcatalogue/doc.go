// Package jwcatalogue holds the operators' catalogue: its entries, the log of
// changes that makes it, and the rules by which a change comes into force.
//
// The log lives in the platform's key-value service, change n under a key that
// is created once. An Editor appends to it, a Follower of each node brings the
// changes into force in that node's Table. A Membership registers the node
// before it serves, a Gatherer of each region writes what all its members have
// in force, and an Acceptance tells from that whether a change is accepted: in
// force at every node that may be serving.
//
// Lock order: Adoptions, then Departures or Table. Hosts is called under the
// first two and must call neither; Peers is called without a lock.
package jwcatalogue
