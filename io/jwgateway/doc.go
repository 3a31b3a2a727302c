// Package jwgateway implements a gateway node. The node reads its entries, targets and peers from a
// jwstore.Feed of the platform's store, sends requests to targets of its own region or forwards
// them to a node of another region, returns the addresses of live nodes to callers, and stops
// without aborting the requests in flight before its grace period ends.
//
// All headers and store records of the platform are translated by a Dialect and a RecordDecoder, so
// that this package contains none of the platform's names.
package jwgateway
