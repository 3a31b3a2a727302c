package jwforward

import (
	"context"
	"encoding/json"
	"io"
	"iter"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"jujubewheel/core/jwclaim"
	"jujubewheel/core/jwpeer"
	"jujubewheel/io/jwwire"
)

// HandoverReceiver takes over the tickets and answers of a stopping node.
type HandoverReceiver interface {
	// Adopt takes over all records or none. Its error is jwclaim.ErrNotAdopted
	// if it certainly took over none.
	Adopt(records iter.Seq2[jwclaim.Record, error]) (jwclaim.Receipt, error)
}

// Successor is a node that may take over the records of this one.
type Successor struct {
	Pool *Pool
	Peer jwpeer.Peer
}

// Holder returns the process that holds the records after the handover.
func (s Successor) Holder() jwclaim.Holder {
	return jwclaim.Holder{Node: s.Peer.Name, Region: s.Peer.Region, Incarnation: s.Peer.Incarnation}
}

// Handover sends the records. An error that is jwclaim.ErrNotAdopted means that
// the successor certainly took over none of them.
func (s Successor) Handover(ctx context.Context, records iter.Seq[jwclaim.Record]) (jwclaim.Receipt, error) {
	client, _, err := s.Pool.client(s.Peer.NodeAddress)
	if err != nil {
		return jwclaim.Receipt{}, s.notAdopted(err)
	}
	stream, err := client.Handover(ctx)
	if err != nil {
		return jwclaim.Receipt{}, s.notAdopted(err)
	}
	for r := range records {
		data, err := json.Marshal(r)
		if err != nil {
			return jwclaim.Receipt{}, s.notAdopted(err)
		}
		if err := stream.Send(&jwwire.HandoverRecord{Record: data}); err != nil {
			break // CloseAndRecv returns the reason
		}
	}
	result, err := stream.CloseAndRecv()
	if status.Code(err) == codes.FailedPrecondition {
		return jwclaim.Receipt{}, s.notAdopted(err)
	}
	if err != nil {
		return jwclaim.Receipt{}, errors.Wrapf(err, "handover: %s", s.Peer.Name)
	}
	return jwclaim.Receipt{Records: result.GetKept(), Incarnation: result.GetIncarnation()}, nil
}

func (s Successor) notAdopted(err error) error {
	return errors.Wrapf(jwclaim.ErrNotAdopted, "handover: %s: %v", s.Peer.Name, err)
}

// Handover takes over the records of another node that is stopping.
func (s *Server) Handover(stream grpc.ClientStreamingServer[jwwire.HandoverRecord, jwwire.HandoverResult]) error {
	receipt, err := s.HandoverReceiver.Adopt(receivedRecords(stream))
	if errors.Is(err, jwclaim.ErrNotAdopted) {
		return status.Error(codes.FailedPrecondition, err.Error())
	}
	if err != nil {
		return err
	}
	return stream.SendAndClose(&jwwire.HandoverResult{Kept: receipt.Records, Incarnation: receipt.Incarnation})
}

func receivedRecords(stream grpc.ClientStreamingServer[jwwire.HandoverRecord, jwwire.HandoverResult]) iter.Seq2[jwclaim.Record, error] {
	return func(yield func(jwclaim.Record, error) bool) {
		for {
			m, err := stream.Recv()
			if err == io.EOF {
				return
			}
			if err != nil {
				yield(jwclaim.Record{}, err)
				return
			}
			r, err := jwclaim.DecodeRecord(m.GetRecord())
			if !yield(r, err) || err != nil {
				return
			}
		}
	}
}
