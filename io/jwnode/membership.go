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

// freshPeers gives the gatherer the nodes that were seen recently. A dead node
// must not stay the gatherer of its region: no change would be accepted until
// its peer entry expires.
type freshPeers struct{ table *jwpeer.Table }

// Peers returns the nodes seen recently, including this one.
func (f freshPeers) Peers() []jwpeer.Peer { return f.table.Fresh(time.Now().Add(-peerTimeout)) }

// otherServingPeers returns the serving nodes of a region except the one with the
// given name.
func otherServingPeers(table *jwpeer.Table, region, name string) []jwpeer.Peer {
	return table.Select(func(p jwpeer.Peer) bool {
		return p.Region == region && p.Name != name && p.State == jwpeer.Serving
	})
}

// sponsorClient asks other nodes of the region to confirm catalogue revisions on
// behalf of this node while the platform can't be reached.
type sponsorClient struct {
	peers *jwpeer.Table
	pool  *jwforward.Pool
}

// Adopt asks a random serving peer to confirm revisions on behalf of this node.
// It returns the peer's name and the catalogue changes after a revision, or a
// checkpoint if the peer no longer keeps them.
func (s *sponsorClient) Adopt(ctx context.Context, m jwcatalogue.Member, after uint64) (string, []jwcatalogue.Change, *jwcatalogue.Checkpoint, error) {
	serving := otherServingPeers(s.peers, m.Region, m.Name)
	if len(serving) == 0 {
		return "", nil, nil, errors.New("find sponsor: no other node of the region serves")
	}
	peer := serving[rand.IntN(len(serving))]
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	records, checkpoint, err := s.pool.RequestSponsor(ctx, peer, peerOfMember(m), after)
	if err != nil {
		return "", nil, nil, err
	}
	changes, cp, err := decodeChanges(peer.Name, records, checkpoint)
	return peer.Name, changes, cp, err
}

// Release ends a peer's sponsorship of this node. A peer that is gone is not
// called.
func (s *sponsorClient) Release(ctx context.Context, sponsor string, m jwcatalogue.Member) error {
	peer, known := s.peers.Get(sponsor)
	if !known || peer.State == jwpeer.Gone {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	return s.pool.EndSponsorship(ctx, peer, peerOfMember(m))
}

func peerOfMember(m jwcatalogue.Member) jwpeer.Peer {
	return jwpeer.Peer{Name: m.Name, Region: m.Region, Incarnation: m.Incarnation}
}

// sponsorServer confirms catalogue revisions on behalf of other nodes that can't reach
// the platform.
type sponsorServer struct {
	sponsoredNodes *jwcatalogue.SponsoredNodes
	region         string
}

// StartSponsorship starts confirming revisions for another node of the region and
// returns the encoded catalogue changes after a revision, or a checkpoint if they
// are no longer kept.
func (s *sponsorServer) StartSponsorship(node, region, incarnation string, after uint64) (records [][]byte, checkpoint []byte, err error) {
	if region != s.region {
		return nil, nil, errors.Errorf("confirm revisions for node %q: this node is not in region %q", node, region)
	}
	changes, cp, err := s.sponsoredNodes.Adopt(jwcatalogue.Member{Name: node, Region: region, Incarnation: incarnation}, after)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "confirm revisions for node %q", node)
	}
	return encodeChanges(changes, cp)
}

// EndSponsorship stops confirming revisions for a node that StartSponsorship was called
// for.
func (s *sponsorServer) EndSponsorship(node, region, incarnation string) {
	s.sponsoredNodes.Release(jwcatalogue.Member{Name: node, Region: region, Incarnation: incarnation})
}

func memberOf(p jwpeer.Peer) jwcatalogue.Member {
	return jwcatalogue.Member{Name: p.Name, Region: p.Region, Incarnation: p.Incarnation}
}
