package jwforward

import (
	"context"
	"io"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"jujubewheel/core/jwdispatch"
	"jujubewheel/core/jwrequest"
	"jujubewheel/io/jwwire"
)

// Dispatcher serves requests that came from another node.
type Dispatcher interface {
	Serve(ctx context.Context, r *jwrequest.Request, sink jwdispatch.Sink)
}

// Gate counts the requests in flight and is closed when the node stops.
type Gate interface {
	// Enter takes a request in; ok is false once the node takes no more.
	Enter() (done func(), ok bool)
}

// Server answers other nodes.
type Server struct {
	jwwire.UnimplementedNodeServer

	Dispatcher  Dispatcher
	Gate        Gate
	Ready       func() bool // whether the node serves, nil for always
	Exchanger   Exchanger
	Catalogue   ChangeSource
	Workspaces  DirectorySource
	HostList    HostSource
	Adopter     Adopter
	Sponsor     Sponsor
	MaxBody     int64                            // bytes of a request body
	Credentials credentials.TransportCredentials // nil for none
}

// GRPC returns the gRPC server with this one registered.
func (s *Server) GRPC() *grpc.Server {
	creds := s.Credentials
	if creds == nil {
		creds = insecure.NewCredentials()
	}
	g := grpc.NewServer(
		grpc.Creds(creds),
		grpc.MaxRecvMsgSize(maxMessage),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: pingInterval, Timeout: pingTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: pingInterval / 2, PermitWithoutStream: true}),
	)
	jwwire.RegisterNodeServer(g, s)
	return g
}

// Forward serves one request of another node.
func (s *Server) Forward(stream grpc.BidiStreamingServer[jwwire.ForwardFrame, jwwire.AnswerFrame]) error {
	r, reason, err := s.receive(stream)
	if err != nil {
		return err
	}
	// A node that stops still answers for the keys it holds; nobody else can.
	if reason != jwdispatch.ForwardHolder {
		done, ok := s.Gate.Enter()
		if ok && s.Ready != nil && !s.Ready() {
			done()
			ok = false
		}
		if !ok {
			return status.Error(codes.FailedPrecondition, "node takes no requests now")
		}
		defer done()
	}
	sink := &wireSink{stream: stream}
	s.Dispatcher.Serve(stream.Context(), r, sink)
	return sink.err
}

// receive takes the whole request; nothing is started before its last byte.
func (s *Server) receive(stream grpc.BidiStreamingServer[jwwire.ForwardFrame, jwwire.AnswerFrame]) (r *jwrequest.Request, reason string, err error) {
	f, err := stream.Recv()
	if err != nil {
		return nil, "", err
	}
	head := f.GetHead()
	if head == nil {
		return nil, "", status.Error(codes.InvalidArgument, "first frame without a head")
	}
	if err := checkLastHop(stream.Context(), head.GetHops()); err != nil {
		return nil, "", err
	}
	if s.MaxBody > 0 && head.GetBodyLength() > uint64(s.MaxBody) {
		return nil, "", status.Error(codes.FailedPrecondition, "body too long")
	}
	r = requestFromWire(head, time.Now())
	r.Body = append(r.Body, f.GetBody()...)
	for {
		f, err := stream.Recv()
		if err == io.EOF {
			break
		}
		if err != nil {
			return nil, "", err
		}
		r.Body = append(r.Body, f.GetBody()...)
		if uint64(len(r.Body)) > head.GetBodyLength() {
			return nil, "", status.Error(codes.FailedPrecondition, "body longer than announced")
		}
	}
	if uint64(len(r.Body)) != head.GetBodyLength() {
		return nil, "", status.Error(codes.FailedPrecondition, "body shorter than announced")
	}
	return r, head.GetReason(), nil
}

// checkWay refuses a request that doesn't say where it has been. Taken for one
// that came straight from a caller, it could be sent on to another region, and
// from there again.
func checkLastHop(ctx context.Context, hops []*jwwire.Hop) error {
	if len(hops) == 0 {
		return status.Error(codes.FailedPrecondition, "request without a hop")
	}
	last := hops[len(hops)-1]
	return checkIdentity(ctx, last.GetNode(), last.GetRegion())
}

func requestFromWire(h *jwwire.RequestHead, now time.Time) *jwrequest.Request {
	r := &jwrequest.Request{
		ID:          h.GetRequestId(),
		Workspace:   h.GetWorkspace(),
		Entry:       h.GetEntry(),
		Key:         h.GetIdempotencyKey(),
		Deadline:    now.Add(micros(h.GetTimeoutMicros())),
		ContentType: h.GetContentType(),
		Accept:      h.GetAccept(),
	}
	for _, hop := range h.GetHops() {
		r.Hops = append(r.Hops, jwrequest.Hop{Node: hop.GetNode(), Region: hop.GetRegion(), DataCentre: hop.GetDataCentre()})
	}
	return r
}

// wireSink sends an answer to the node that asked.
type wireSink struct {
	stream grpc.BidiStreamingServer[jwwire.ForwardFrame, jwwire.AnswerFrame]
	err    error
}

// Head sends the beginning of the answer.
func (s *wireSink) Head(h jwdispatch.Head) error {
	return s.send(&jwwire.AnswerFrame{Head: &jwwire.AnswerHead{
		Status:           int32(h.Status),
		Outcome:          string(h.Outcome),
		ContentType:      h.ContentType,
		RetryAfterMicros: h.RetryAfter.Microseconds(),
		Detail:           h.Detail,
		ServedBy:         h.ServedBy,
		Length:           h.Length + 1,
		Reason:           string(h.Reason),
	}})
}

// Body sends a part of the answer.
func (s *wireSink) Body(p []byte) error { return s.send(&jwwire.AnswerFrame{Body: p}) }

// End sends the end of the answer.
func (s *wireSink) End(e jwdispatch.End) error {
	return s.send(&jwwire.AnswerFrame{End: &jwwire.AnswerEnd{
		Length: uint64(e.Length), Outcome: string(e.Outcome), Detail: e.Detail,
	}})
}

func (s *wireSink) send(f *jwwire.AnswerFrame) error {
	if s.err == nil {
		s.err = s.stream.Send(f)
	}
	return s.err
}
