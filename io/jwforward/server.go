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

// Dispatcher serves requests that another node forwarded.
type Dispatcher interface {
	// Serve runs a request and writes its answer to sink.
	Serve(ctx context.Context, r *jwrequest.Request, sink jwdispatch.Sink)
}

// Gate counts the requests in flight and admits none once the node is stopping.
type Gate interface {
	// Enter admits a request, and done ends it; ok is false once the node
	// admits no more.
	Enter() (done func(), ok bool)
}

// Server handles the calls of other nodes. Its fields are set before GRPC.
type Server struct {
	jwwire.UnimplementedNodeServer

	Dispatcher       Dispatcher
	Gate             Gate
	Ready            func() bool // whether the node serves requests; nil means always
	Exchanger        Exchanger
	Catalogue        ChangeSource
	Workspaces       DirectorySource
	HostList         HostSource
	HandoverReceiver HandoverReceiver
	Sponsor          Sponsor
	MaxBody          int64                            // max bytes of a request's body, 0 for no limit
	Credentials      credentials.TransportCredentials // nil for no TLS
}

// GRPC returns a gRPC server on which s is registered.
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

// Forward serves one request that another node forwarded.
func (s *Server) Forward(stream grpc.BidiStreamingServer[jwwire.ForwardFrame, jwwire.AnswerFrame]) error {
	r, reason, err := s.receive(stream)
	if err != nil {
		return err
	}
	// A stopping node still serves requests for the idempotency keys that it
	// holds, as no other node can.
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

// receive reads the complete request, so that nothing is started before its last
// byte has arrived.
func (s *Server) receive(stream grpc.BidiStreamingServer[jwwire.ForwardFrame, jwwire.AnswerFrame]) (r *jwrequest.Request, reason string, err error) {
	f, err := stream.Recv()
	if err != nil {
		return nil, "", err
	}
	head := f.GetHead()
	if head == nil {
		return nil, "", status.Error(codes.InvalidArgument, "first frame has no head")
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
			return nil, "", status.Error(codes.FailedPrecondition, "body is longer than announced")
		}
	}
	if uint64(len(r.Body)) != head.GetBodyLength() {
		return nil, "", status.Error(codes.FailedPrecondition, "body is shorter than announced")
	}
	return r, head.GetReason(), nil
}

// checkLastHop rejects a request without a record of its hops, or whose last hop
// is not the node that sent it. Without the record, the request would count as
// one from a caller and could be forwarded to another region, and from there
// again.
func checkLastHop(ctx context.Context, hops []*jwwire.Hop) error {
	if len(hops) == 0 {
		return status.Error(codes.FailedPrecondition, "request has no hops")
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

// wireSink sends an answer to the node that forwarded the request. After a
// failed send it sends nothing more and returns the same error.
type wireSink struct {
	stream grpc.BidiStreamingServer[jwwire.ForwardFrame, jwwire.AnswerFrame]
	err    error
}

// Head sends the head of the answer.
func (s *wireSink) Head(h jwdispatch.AnswerHead) error {
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

// Body sends a part of the answer's body.
func (s *wireSink) Body(p []byte) error { return s.send(&jwwire.AnswerFrame{Body: p}) }

// End sends the end frame of the answer.
func (s *wireSink) End(e jwdispatch.AnswerEnd) error {
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
