package jwforward

import (
	"context"

	"github.com/pkg/errors"

	"jujubewheel/core/jwpeer"
	"jujubewheel/io/jwwire"
)

// Sponsor confirms catalogue revisions on behalf of nodes of the region that
// can't reach the platform.
type Sponsor interface {
	// StartSponsorship makes this node the sponsor of another one and returns the
	// catalogue changes after a revision, as JSON records.
	StartSponsorship(node, region, incarnation string, after uint64) (changes [][]byte, checkpoint []byte, err error)
	// EndSponsorship ends the sponsorship that StartSponsorship began.
	EndSponsorship(node, region, incarnation string)
}

// RequestSponsor asks a node to be the sponsor of this one and returns the catalogue
// changes after the given revision.
func (p *Pool) RequestSponsor(ctx context.Context, sponsor, self jwpeer.Peer, after uint64) (changes [][]byte, checkpoint []byte, err error) {
	client, _, err := p.client(sponsor.NodeAddress)
	if err != nil {
		return nil, nil, err
	}
	out, err := client.Adopt(ctx, &jwwire.AdoptRequest{
		Node: self.Name, Region: self.Region, Incarnation: self.Incarnation, After: after,
	})
	if err != nil {
		return nil, nil, errors.Wrapf(err, "ask %s to be the sponsor of this node", sponsor.Name)
	}
	return out.GetChanges(), out.GetCheckpoint(), nil
}

// EndSponsorship ends the sponsorship of a node for this one.
func (p *Pool) EndSponsorship(ctx context.Context, sponsor, self jwpeer.Peer) error {
	client, _, err := p.client(sponsor.NodeAddress)
	if err != nil {
		return err
	}
	_, err = client.Release(ctx, &jwwire.AdoptRequest{
		Node: self.Name, Region: self.Region, Incarnation: self.Incarnation,
	})
	return errors.Wrapf(err, "ask %s to end its sponsorship", sponsor.Name)
}

// Adopt handles RequestSponsor of another node: it makes this node the sponsor of
// the caller.
func (s *Server) Adopt(ctx context.Context, in *jwwire.AdoptRequest) (*jwwire.ChangesResponse, error) {
	if err := checkIdentity(ctx, in.GetNode(), in.GetRegion()); err != nil {
		return nil, err
	}
	changes, checkpoint, err := s.Sponsor.StartSponsorship(in.GetNode(), in.GetRegion(), in.GetIncarnation(), in.GetAfter())
	if err != nil {
		return nil, err
	}
	return &jwwire.ChangesResponse{Changes: changes, Checkpoint: checkpoint}, nil
}

// Release handles EndSponsorship of another node: it ends the sponsorship that
// Adopt began.
func (s *Server) Release(ctx context.Context, in *jwwire.AdoptRequest) (*jwwire.ReleaseResponse, error) {
	if err := checkIdentity(ctx, in.GetNode(), in.GetRegion()); err != nil {
		return nil, err
	}
	s.Sponsor.EndSponsorship(in.GetNode(), in.GetRegion(), in.GetIncarnation())
	return &jwwire.ReleaseResponse{}, nil
}
