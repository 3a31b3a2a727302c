package jwcatalogue

import (
	"sync"

	"github.com/pkg/errors"

	"jujubewheel/core/jwpeer"
)

// Peers returns the peers that a node knows, including itself.
type Peers interface {
	Peers() []jwpeer.Peer
}

// SponsoredNodes holds the nodes for which this node is the sponsor: it confirms
// revisions on their behalf, because they could not reach the store when they
// started.
type SponsoredNodes struct {
	Table        *Table
	Peers        Peers         // nil for none
	HostRemovals *HostRemovals // nil for none
	Serving      func() bool   // whether this node may be a sponsor, nil for always

	mu      sync.Mutex
	adopted map[string]adoption // by node name
}

type adoption struct {
	member              Member
	revision            uint64 // applied at the adopted node before it serves
	previousIncarnation string // incarnation that the peers reported before the adoption
}

// ErrNotServing says that a node can't be a sponsor because it doesn't serve.
var ErrNotServing = errors.New("this node does not serve")

// Adopt makes this node the sponsor of another one and returns what the other
// has to apply before it serves, given that it has applied revision after. A
// second call by the same process reports the revision that it has by now. A
// node that does not serve yet or is stopping returns ErrNotServing: its
// catalogue may be old, and it may stop at any moment.
func (a *SponsoredNodes) Adopt(m Member, after uint64) ([]Change, *Checkpoint, error) {
	if a.Serving != nil && !a.Serving() {
		return nil, nil, ErrNotServing
	}
	previousIncarnation := incarnationOf(a.peers(), m.Name)
	a.mu.Lock()
	defer a.mu.Unlock()
	ad, ok := a.adopted[m.Name]
	if ok && ad.member == m {
		ad.revision = max(ad.revision, after)
	} else {
		// What this node has confirmed by now holds for the other one too:
		// that one does not serve before it has applied all that is returned here.
		ad = adoption{member: m, revision: a.Table.Revision(), previousIncarnation: previousIncarnation}
	}
	if a.adopted == nil {
		a.adopted = make(map[string]adoption)
	}
	a.adopted[m.Name] = ad
	changes, cp := a.Table.Changes(after, 0)
	return changes, cp, nil
}

// Release ends the adoption of a node that has its own record in the store.
func (a *SponsoredNodes) Release(m Member) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.adopted[m.Name].member == m {
		delete(a.adopted, m.Name)
	}
}

// Confirmed returns the highest revision that this node and all nodes it has
// adopted have applied. The node reports it to its peers as its revision.
func (a *SponsoredNodes) Confirmed() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	lowest := a.Table.Revision()
	for _, ad := range a.adopted {
		lowest = min(lowest, ad.revision)
	}
	return lowest
}

// HasAdopted reports whether this node is the sponsor of any other.
func (a *SponsoredNodes) HasAdopted() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.adopted) > 0
}

// RemoveEnded ends the adoption of processes that have ended.
func (a *SponsoredNodes) RemoveEnded() {
	peers := a.peers()
	a.mu.Lock()
	defer a.mu.Unlock()
	for name, ad := range a.adopted {
		if a.ended(ad, peers) {
			delete(a.adopted, name)
		}
	}
}

// ended reports whether an adopted process has ended. A process that is silent
// has not necessarily ended: it may serve behind a network partition.
func (a *SponsoredNodes) ended(ad adoption, peers []jwpeer.Peer) bool {
	if a.HostRemovals != nil && a.HostRemovals.Gone(ad.member) {
		return true
	}
	for _, p := range peers {
		if p.Name == ad.member.Name && p.Incarnation == ad.member.Incarnation {
			return p.State == jwpeer.Gone
		}
	}
	currentIncarnation := incarnationOf(peers, ad.member.Name)
	return currentIncarnation != "" && currentIncarnation != ad.previousIncarnation
}

func (a *SponsoredNodes) peers() []jwpeer.Peer {
	if a.Peers == nil {
		return nil
	}
	return a.Peers.Peers()
}

func incarnationOf(peers []jwpeer.Peer, name string) string {
	for _, p := range peers {
		if p.Name == name {
			return p.Incarnation
		}
	}
	return ""
}
