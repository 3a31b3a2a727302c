// Package jwquota shares the quotas of workspaces among all nodes, without a call for
// each request and without a central coordinator. Each node adds an equal share of a
// quota's rate to its own units. Units that a node doesn't need move up a tree: to the
// relay of its data centre, and from there to the workspace's root, the relay at which
// the workspace's units are gathered. Units that a node lacks come down the same way.
// A transfer subtracts units at the sender before they are added at the receiver, so
// that lost messages and network partitions can lose units but never spend one twice.
package jwquota
