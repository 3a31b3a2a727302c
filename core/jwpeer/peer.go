package jwpeer

import (
	"net/netip"
	"time"
)

// State says how far a node is in its life.
type State string

// The states of a node.
const (
	Joining State = "joining" // known, does not serve yet
	Serving State = "serving"
	Leaving State = "leaving" // finishes what it runs, takes no new requests
	Gone    State = "gone"    // left by itself after the last request
)

// Peer is one node as it describes itself.
type Peer struct {
	Name        string
	Region      string
	DataCentre  string
	Callers     netip.AddrPort // where callers send requests
	Nodes       netip.AddrPort // where other nodes send requests
	Incarnation string         // new at every start of the process
	State       State
	Revision    uint64 // catalogue revision in force there
	Base        uint64 // oldest change it can still give to others
	Sequence    uint64 // rises with every state that the peer reports of itself
	// Age is the time since the peer said this, where one node reports it to another.
	// Without it a dead peer would look fresh to whoever learns of it late, and
	// nodes would keep it alive by telling each other.
	Age time.Duration
}
