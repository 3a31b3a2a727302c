package jwforward

import (
	"context"
	"net/netip"

	"github.com/pkg/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"jujubewheel/core/jwpeer"
	"jujubewheel/io/jwwire"
)

// Exchanger takes what another node told and returns what that one lacks.
type Exchanger interface {
	Answer(jwpeer.Told) jwpeer.Told
}

// Exchange swaps what this node and another know.
func (p *Pool) Exchange(ctx context.Context, to jwpeer.Peer, told jwpeer.Told) (jwpeer.Told, error) {
	client, conn, err := p.client(to.Nodes)
	if err != nil {
		return jwpeer.Told{}, err
	}
	answer, err := client.Exchange(ctx, digestToWire(told))
	if err != nil {
		if code := status.Code(err); code == codes.DeadlineExceeded && ctx.Err() == context.DeadlineExceeded {
			go p.check(to.Nodes, conn)
		}
		return jwpeer.Told{}, errors.Wrapf(err, "exchange with %s", to.Name)
	}
	return digestFromWire(answer), nil
}

// Exchange answers the exchange of another node.
func (s *Server) Exchange(_ context.Context, d *jwwire.Digest) (*jwwire.Digest, error) {
	return digestToWire(s.Exchanger.Answer(digestFromWire(d))), nil
}

func digestToWire(t jwpeer.Told) *jwwire.Digest {
	out := &jwwire.Digest{Node: t.From}
	newsToWire(t.News, out)
	for _, p := range t.Peers {
		out.Peers = append(out.Peers, &jwwire.PeerState{
			Node: p.Name, Region: p.Region, DataCentre: p.DataCentre,
			CallerAddress: p.Callers.String(), NodeAddress: p.Nodes.String(),
			Incarnation: p.Incarnation, State: string(p.State),
			Revision: p.Revision, Sequence: p.Sequence, BaseRevision: p.Base,
			AgeMicros: p.Age.Microseconds(),
		})
	}
	return out
}

// digestFromWire leaves out peers whose addresses can't be read, as those of a
// later version might be.
func digestFromWire(d *jwwire.Digest) jwpeer.Told {
	out := jwpeer.Told{From: d.GetNode(), News: newsFromWire(d)}
	for _, p := range d.GetPeers() {
		callers, err := netip.ParseAddrPort(p.GetCallerAddress())
		if err != nil {
			continue
		}
		nodes, err := netip.ParseAddrPort(p.GetNodeAddress())
		if err != nil {
			continue
		}
		out.Peers = append(out.Peers, jwpeer.Peer{
			Name: p.GetNode(), Region: p.GetRegion(), DataCentre: p.GetDataCentre(),
			Callers: callers, Nodes: nodes,
			Incarnation: p.GetIncarnation(), State: jwpeer.State(p.GetState()),
			Revision: p.GetRevision(), Base: p.GetBaseRevision(), Sequence: p.GetSequence(),
			Age: micros(p.GetAgeMicros()),
		})
	}
	return out
}
