package jwforward

import (
	"context"

	"github.com/pkg/errors"

	"jujubewheel/core/jwpeer"
	"jujubewheel/io/jwwire"
)

// Sponsor answers for nodes of the region that can't reach the platform.
type Sponsor interface {
	AdoptRecords(node, region, incarnation string, after uint64) (changes [][]byte, checkpoint []byte, err error)
	ReleaseNode(node, region, incarnation string)
}

// AskAdopt asks a node to answer for this one and returns the catalogue changes
// that this one lacks.
func (p *Pool) AskAdopt(ctx context.Context, sponsor, self jwpeer.Peer, after uint64) (changes [][]byte, checkpoint []byte, err error) {
	client, _, err := p.client(sponsor.Nodes)
	if err != nil {
		return nil, nil, err
	}
	out, err := client.Adopt(ctx, &jwwire.AdoptRequest{
		Node: self.Name, Region: self.Region, Incarnation: self.Incarnation, After: after,
	})
	if err != nil {
		return nil, nil, errors.Wrapf(err, "ask %s to answer for this node", sponsor.Name)
	}
	return out.GetChanges(), out.GetCheckpoint(), nil
}

// AskRelease tells a node that it need not answer for this one any more.
func (p *Pool) AskRelease(ctx context.Context, sponsor, self jwpeer.Peer) error {
	client, _, err := p.client(sponsor.Nodes)
	if err != nil {
		return err
	}
	_, err = client.Release(ctx, &jwwire.AdoptRequest{
		Node: self.Name, Region: self.Region, Incarnation: self.Incarnation,
	})
	return errors.Wrapf(err, "tell %s to answer no more", sponsor.Name)
}

// Adopt answers for another node of the region from now on.
func (s *Server) Adopt(ctx context.Context, in *jwwire.AdoptRequest) (*jwwire.ChangesResponse, error) {
	if err := checkIdentity(ctx, in.GetNode(), in.GetRegion()); err != nil {
		return nil, err
	}
	changes, checkpoint, err := s.Sponsor.AdoptRecords(in.GetNode(), in.GetRegion(), in.GetIncarnation(), in.GetAfter())
	if err != nil {
		return nil, err
	}
	return &jwwire.ChangesResponse{Changes: changes, Checkpoint: checkpoint}, nil
}

// Release ends what Adopt began.
func (s *Server) Release(ctx context.Context, in *jwwire.AdoptRequest) (*jwwire.ReleaseResponse, error) {
	if err := checkIdentity(ctx, in.GetNode(), in.GetRegion()); err != nil {
		return nil, err
	}
	s.Sponsor.ReleaseNode(in.GetNode(), in.GetRegion(), in.GetIncarnation())
	return &jwwire.ReleaseResponse{}, nil
}
