package jwhost

import "net/netip"

// Role is the kind of process that runs on a host.
type Role string

// The roles of a host.
const (
	Node   Role = "entry"  // a node of this system
	Target Role = "target" // a runner of a service
)

// Host is one entry of the platform's host list.
type Host struct {
	Name        string // name of the node, if Role is Node
	Role        Role
	Region      string
	DataCentre  string
	Service     string         // name of the service that a target runs
	Address     netip.AddrPort // where a node listens for callers, or a target for calls
	NodeAddress netip.AddrPort // where a node listens for other nodes
	Leaving     bool           // the host is about to be removed
}
