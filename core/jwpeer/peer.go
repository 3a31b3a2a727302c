package jwpeer

import (
	"net/netip"
	"time"
)

// State is the stage of a node between its start and its end.
type State string

// These are the states of a node.
const (
	Joining State = "joining" // known to others, does not serve requests yet
	Serving State = "serving" // serves requests
	Leaving State = "leaving" // finishes its running requests, accepts no new ones
	Gone    State = "gone"    // stopped on its own after its last request
)

// Peer is the state of one node, as that node published it.
type Peer struct {
	Name          string
	Region        string
	DataCentre    string
	CallerAddress netip.AddrPort // address for requests of callers
	NodeAddress   netip.AddrPort // address for requests of other nodes
	Incarnation   string         // new at each start of the process; sorts by the time of the start
	State         State
	Revision      uint64 // catalogue revision in force there
	OldestChange  uint64 // oldest change of the catalogue that the node can still send to others
	Sequence      uint64 // rises with each state that the node publishes
	// Age is the time since the node published this state, where one node sends it
	// to another. Without it a dead peer would look fresh to a node that learns of
	// it late, and the nodes would keep it alive by sending its state to each other.
	Age time.Duration
}
