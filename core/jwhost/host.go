package jwhost

import "net/netip"

// Role tells what runs on a host.
type Role string

// The roles of a host.
const (
	Entry  Role = "entry"  // a node of this system
	Target Role = "target" // a runner of a service
)

// Host is one line of the platform's list.
type Host struct {
	Name       string // node name for entry hosts
	Role       Role
	Region     string
	DataCentre string
	Service    string         // for targets
	Address    netip.AddrPort // callers' port of an entry host, call port of a target
	Nodes      netip.AddrPort // port for other nodes, for entry hosts
	Leaving    bool
}
