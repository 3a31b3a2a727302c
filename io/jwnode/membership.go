package jwnode

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"jujubewheel/core/jwcatalogue"
	"jujubewheel/core/jwpeer"
	"jujubewheel/io/jwforward"
)

// freshPeers are the nodes that were seen lately. A dead node must not stay
// the gatherer of its region: no change would be accepted until it is forgotten.
type freshPeers struct{ table *jwpeer.Table }

// Peers returns the nodes seen lately, this one among them.
func (h freshPeers) Peers() []jwpeer.Peer { return h.table.Fresh(time.Now().Add(-silence)) }

// servingBeside returns the nodes of a region that serve, but for one.
func servingBeside(table *jwpeer.Table, region, name string) []jwpeer.Peer {
	return table.Select(func(p jwpeer.Peer) bool {
		return p.Region == region && p.Name != name && p.State == jwpeer.Serving
	})
}

// sponsors are the nodes of the region that may answer for this one while the
// platform can't be reached.
type sponsors struct {
	peers *jwpeer.Table
	pool  *jwforward.Pool
}

// Adopt asks one serving peer to answer for this node.
func (s *sponsors) Adopt(ctx context.Context, m jwcatalogue.Member, after uint64) (string, []jwcatalogue.Change, *jwcatalogue.Checkpoint, error) {
	serving := servingBeside(s.peers, m.Region, m.Name)
	if len(serving) == 0 {
		return "", nil, nil, errors.New("no peer of the region serves")
	}
	of := serving[rand.IntN(len(serving))]
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	records, checkpoint, err := s.pool.AskAdopt(ctx, of, peerOfMember(m), after)
	if err != nil {
		return "", nil, nil, err
	}
	changes, cp, err := decodeChanges(of.Name, records, checkpoint)
	return of.Name, changes, cp, err
}

// Release reports to a peer that it need not answer for this node any more. A peer
// that is gone answers for nobody.
func (s *sponsors) Release(ctx context.Context, sponsor string, m jwcatalogue.Member) error {
	of, known := s.peers.Get(sponsor)
	if !known || of.State == jwpeer.Gone {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	return s.pool.AskRelease(ctx, of, peerOfMember(m))
}

func peerOfMember(m jwcatalogue.Member) jwpeer.Peer {
	return jwpeer.Peer{Name: m.Name, Region: m.Region, Incarnation: m.Incarnation}
}

// sponsor answers for other nodes.
type sponsor struct {
	adoptions *jwcatalogue.Adoptions
	region    string
}

// AdoptRecords answers for a node of the region from now on.
func (s *sponsor) AdoptRecords(node, region, incarnation string, after uint64) (records [][]byte, checkpoint []byte, err error) {
	if region != s.region {
		return nil, nil, errors.Errorf("answer for %s: this node is not of region %s", node, region)
	}
	changes, cp, err := s.adoptions.Adopt(jwcatalogue.Member{Name: node, Region: region, Incarnation: incarnation}, after)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "answer for %s", node)
	}
	return encodeChanges(changes, cp)
}

// ReleaseNode ends what AdoptRecords began.
func (s *sponsor) ReleaseNode(node, region, incarnation string) {
	s.adoptions.Release(jwcatalogue.Member{Name: node, Region: region, Incarnation: incarnation})
}

func memberOf(p jwpeer.Peer) jwcatalogue.Member {
	return jwcatalogue.Member{Name: p.Name, Region: p.Region, Incarnation: p.Incarnation}
}
