package jwforward

import (
	"context"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"jujubewheel/core/jwpeer"
	"jujubewheel/io/jwwire"
)

// Exchanger merges the digests of other nodes into what this node knows.
type Exchanger interface {
	// Answer merges the digest of another node and returns what that node has
	// not been sent yet.
	Answer(jwpeer.Digest) jwpeer.Digest
}

// Exchange sends a digest to another node and returns the digest that the node
// answers with. If the node does not answer before the deadline of ctx, the
// connection is probed, and replaced if the probe fails too.
func (p *Pool) Exchange(ctx context.Context, to jwpeer.Peer, digest jwpeer.Digest) (jwpeer.Digest, error) {
	client, conn, err := p.client(to.NodeAddress)
	if err != nil {
		return jwpeer.Digest{}, err
	}
	answer, err := client.Exchange(ctx, digestToWire(digest))
	if err != nil {
		if code := status.Code(err); code == codes.DeadlineExceeded && ctx.Err() == context.DeadlineExceeded {
			go p.probeOrReplace(to.NodeAddress, conn)
		}
		return jwpeer.Digest{}, errors.Wrapf(err, "exchange with %s", to.Name)
	}
	return digestFromWire(answer), nil
}

// Exchange handles the digest of another node and returns what that node has not
// been sent yet.
func (s *Server) Exchange(ctx context.Context, d *jwwire.Digest) (*jwwire.Digest, error) {
	if err := checkIdentity(ctx, d.GetNode(), ""); err != nil {
		return nil, err
	}
	return digestToWire(s.Exchanger.Answer(digestFromWire(d))), nil
}

func digestToWire(digest jwpeer.Digest) *jwwire.Digest {
	out := &jwwire.Digest{Node: digest.From, Again: digest.ResendAll, Whole: digest.Complete}
	newsToWire(digest.News, out)
	for _, p := range digest.Peers {
		out.Peers = append(out.Peers, &jwwire.PeerState{
			Node: p.Name, Region: p.Region, DataCentre: p.DataCentre,
			CallerAddress: p.CallerAddress.String(), NodeAddress: p.NodeAddress.String(),
			Incarnation: p.Incarnation, State: string(p.State),
			Revision: p.Revision, Sequence: p.Sequence, BaseRevision: p.OldestChange,
			AgeMicros: p.Age.Microseconds(),
		})
	}
	for _, m := range digest.Updates {
		out.Marks = append(out.Marks, &jwwire.PeerMark{
			Id: m.ID, Sequence: m.Sequence, Revision: m.Revision, BaseRevision: m.OldestChange,
			AgeMillis: uint64(m.Age.Milliseconds()),
		})
	}
	return out
}

// digestFromWire leaves out peers whose addresses can't be parsed, as those of
// a later version might be.
func digestFromWire(d *jwwire.Digest) jwpeer.Digest {
	out := jwpeer.Digest{From: d.GetNode(), News: newsFromWire(d), ResendAll: d.GetAgain(), Complete: d.GetWhole()}
	for _, m := range d.GetMarks() {
		out.Updates = append(out.Updates, jwpeer.StateUpdate{
			ID: m.GetId(), Sequence: m.GetSequence(), Revision: m.GetRevision(), OldestChange: m.GetBaseRevision(),
			Age: time.Duration(m.GetAgeMillis()) * time.Millisecond,
		})
	}
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
			CallerAddress: callers, NodeAddress: nodes,
			Incarnation: p.GetIncarnation(), State: jwpeer.State(p.GetState()),
			Revision: p.GetRevision(), OldestChange: p.GetBaseRevision(), Sequence: p.GetSequence(),
			Age: micros(p.GetAgeMicros()),
		})
	}
	return out
}

// EncodeDigest returns a digest as it is sent in an exchange, so that the size
// of exchanges can be measured.
func EncodeDigest(digest jwpeer.Digest) ([]byte, error) { return proto.Marshal(digestToWire(digest)) }

// DecodeDigest decodes what EncodeDigest returned.
func DecodeDigest(data []byte) (jwpeer.Digest, error) {
	var d jwwire.Digest
	if err := proto.Unmarshal(data, &d); err != nil {
		return jwpeer.Digest{}, errors.Wrap(err, "decode exchange")
	}
	return digestFromWire(&d), nil
}
