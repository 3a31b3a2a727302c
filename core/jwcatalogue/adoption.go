package jwcatalogue

import (
	"sync"

	"github.com/pkg/errors"

	"jujubewheel/core/jwpeer"
)

// Peers gives the peers that a node knows, itself among them.
type Peers interface {
	Peers() []jwpeer.Peer
}

// Adoptions is the table of the nodes that this node answers for, because they
// could not reach the service when they started.
type Adoptions struct {
	Table      *Table
	Peers      Peers       // nil for none
	Departures *Departures // nil for none
	Serving    func() bool // whether this node may answer for others, nil for always

	mu      sync.Mutex
	adopted map[string]adoption // by node name
}

type adoption struct {
	member              Member
	revision            uint64 // in force there before it serves
	previousIncarnation string // incarnation that the peers told of before
}

// ErrNotServing says that a node cannot answer for another.
var ErrNotServing = errors.New("this node does not serve")

// Adopt records that this node answers for another and returns what the other
// has to bring into force before it serves. A second call of the same process
// tells which revision it has by now. A node that does not serve yet, or is
// leaving, refuses: what it has may be old, and it may be gone the next moment.
func (a *Adoptions) Adopt(m Member, after uint64) ([]Change, *Checkpoint, error) {
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
		// What this node has confirmed by now is promised for the other too:
		// it does not serve before it has all that is returned here.
		ad = adoption{member: m, revision: a.Table.Revision(), previousIncarnation: previousIncarnation}
	}
	if a.adopted == nil {
		a.adopted = make(map[string]adoption)
	}
	a.adopted[m.Name] = ad
	changes, cp := a.Table.Changes(after, 0)
	return changes, cp, nil
}

// Release ends the answering for a node that has its record in the service.
func (a *Adoptions) Release(m Member) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.adopted[m.Name].member == m {
		delete(a.adopted, m.Name)
	}
}

// Confirmed returns the revision that this node and all it answers for have in
// force: what the node tells its peers as its revision.
func (a *Adoptions) Confirmed() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	lowest := a.Table.Revision()
	for _, ad := range a.adopted {
		lowest = min(lowest, ad.revision)
	}
	return lowest
}

// Open reports whether this node answers for another.
func (a *Adoptions) HasAdopted() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.adopted) > 0
}

// Tidy ends the answering for processes that have ended.
func (a *Adoptions) RemoveEnded() {
	peers := a.peers()
	a.mu.Lock()
	defer a.mu.Unlock()
	for name, ad := range a.adopted {
		if a.ended(ad, peers) {
			delete(a.adopted, name)
		}
	}
}

// over reports whether an adopted process has ended. Its silence does not tell:
// it may serve behind a cut.
func (a *Adoptions) ended(ad adoption, peers []jwpeer.Peer) bool {
	if a.Departures != nil && a.Departures.Gone(ad.member) {
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

func (a *Adoptions) peers() []jwpeer.Peer {
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
