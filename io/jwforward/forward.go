package jwforward

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"jujubewheel/core/jwdispatch"
	"jujubewheel/core/jwpeer"
	"jujubewheel/core/jwrequest"
	"jujubewheel/io/jwwire"
)

// Forward sends a request to another node and returns when the head of the
// answer has arrived. Errors are of type *jwdispatch.CallError.
func (p *Pool) Forward(ctx context.Context, to jwpeer.Peer, r *jwrequest.Request, reason string) (*jwdispatch.Answer, error) {
	if p.isExcluded(to.NodeAddress) {
		return nil, forwardError(to.NodeAddress, jwdispatch.Unsent, errors.New("node did not answer a probe"))
	}
	client, conn, err := p.client(to.NodeAddress)
	if err != nil {
		return nil, forwardError(to.NodeAddress, jwdispatch.Unsent, err)
	}
	ctx, cancelStream := context.WithCancel(ctx)
	done := p.trackCall(to.NodeAddress, conn)
	cancel := sync.OnceFunc(func() {
		cancelStream()
		done()
	})
	stream, err := client.Forward(ctx)
	if err != nil {
		cancel()
		return nil, forwardError(to.NodeAddress, jwdispatch.Unsent, err)
	}
	if err := sendRequest(stream, r, reason); err != nil {
		cancel()
		return nil, err.at(to.NodeAddress)
	}
	first, err := stream.Recv()
	if err != nil {
		cancel()
		p.replaceIfUnavailable(to.NodeAddress, conn, err)
		return nil, forwardError(to.NodeAddress, failureKind(err), err)
	}
	if code := first.GetHead().GetStatus(); code < http.StatusOK || code > maxStatus {
		cancel()
		return nil, forwardError(to.NodeAddress, jwdispatch.BrokenOff, errors.Errorf("answer has no head or the invalid status %d", code))
	}
	b := &answerBody{stream: stream, cancel: cancel, peer: to.NodeAddress}
	return &jwdispatch.Answer{Head: headFromWire(first.GetHead()), Body: b}, nil
}

// maxStatus is the highest status code in the classes that HTTP defines.
const maxStatus = 599

// replaceIfUnavailable replaces the connection if err has the code Unavailable,
// which gRPC returns when its pings were not answered.
func (p *Pool) replaceIfUnavailable(addr netip.AddrPort, conn *grpc.ClientConn, err error) {
	if status.Code(err) == codes.Unavailable {
		p.replace(addr, conn)
	}
}

// failureKind returns whether the other node may have run a request whose stream
// failed with err. A node returns the codes below only before it accepts a
// request; for an accepted request it sends the outcome in an answer.
func failureKind(err error) jwdispatch.FailureKind {
	switch status.Code(err) {
	case codes.FailedPrecondition, codes.InvalidArgument, codes.PermissionDenied, codes.Unimplemented:
		return jwdispatch.Refused
	}
	return jwdispatch.BrokenOff
}

func forwardError(peer netip.AddrPort, f jwdispatch.FailureKind, err error) *jwdispatch.CallError {
	return &jwdispatch.CallError{Step: "forward to node", Peer: peer, Kind: f, Err: err}
}

// sendError is a failure to send a request. The other node does not start the
// request before it has the last frame, so an earlier failure is Unsent.
type sendError struct {
	lastFrame bool // whether the last frame may have been sent
	err       error
}

func (e *sendError) at(peer netip.AddrPort) *jwdispatch.CallError {
	f := failureKind(e.err)
	if f == jwdispatch.BrokenOff && !e.lastFrame {
		f = jwdispatch.Unsent
	}
	return forwardError(peer, f, e.err)
}

func sendRequest(stream grpc.BidiStreamingClient[jwwire.ForwardFrame, jwwire.AnswerFrame], r *jwrequest.Request, reason string) *sendError {
	head := headToWire(r, reason)
	body := r.Body
	for first := true; first || len(body) > 0; first = false {
		n := min(len(body), frameSize)
		f := &jwwire.ForwardFrame{Body: body[:n]}
		body = body[n:]
		if first {
			f.Head = head
		}
		if err := stream.Send(f); err != nil {
			return &sendError{lastFrame: len(body) == 0, err: streamError(stream, err)}
		}
	}
	if err := stream.CloseSend(); err != nil {
		return &sendError{lastFrame: true, err: err}
	}
	return nil
}

// streamError returns why a stream ended. Send returns only io.EOF in that
// case; the error itself comes from Recv.
func streamError(stream grpc.BidiStreamingClient[jwwire.ForwardFrame, jwwire.AnswerFrame], err error) error {
	if err != io.EOF {
		return err
	}
	if _, got := stream.Recv(); got != nil {
		return got
	}
	return err
}

func headToWire(r *jwrequest.Request, reason string) *jwwire.RequestHead {
	head := &jwwire.RequestHead{
		RequestId:      r.ID,
		Workspace:      r.Workspace,
		Entry:          r.Entry,
		IdempotencyKey: r.Key,
		TimeoutMicros:  time.Until(r.Deadline).Microseconds(),
		Reason:         reason,
		ContentType:    r.ContentType,
		Accept:         r.Accept,
		BodyLength:     uint64(len(r.Body)),
	}
	for _, h := range r.Hops {
		head.Hops = append(head.Hops, &jwwire.Hop{Node: h.Node, Region: h.Region, DataCentre: h.DataCentre})
	}
	return head
}

func headFromWire(h *jwwire.AnswerHead) jwdispatch.AnswerHead {
	return jwdispatch.AnswerHead{
		Status:      int(h.GetStatus()),
		ContentType: h.GetContentType(),
		Outcome:     jwrequest.Outcome(h.GetOutcome()),
		Length:      h.GetLength() - 1,
		RetryAfter:  micros(h.GetRetryAfterMicros()),
		Reason:      jwdispatch.Reason(h.GetReason()),
		Detail:      h.GetDetail(),
		ServedBy:    h.GetServedBy(),
	}
}

// answerBody reads the answer of another node. It returns io.EOF only if the
// other node reported that the answer is complete.
type answerBody struct {
	stream grpc.BidiStreamingClient[jwwire.ForwardFrame, jwwire.AnswerFrame]
	cancel func()
	peer   netip.AddrPort
	unread []byte // received but not yet read
	length uint64 // bytes received so far
	err    error  // what Read returns after unread
}

// Read reads the answer; errors other than io.EOF are *jwdispatch.CallError.
func (b *answerBody) Read(p []byte) (int, error) {
	for len(b.unread) == 0 {
		if b.err != nil {
			return 0, b.err
		}
		b.readFrame()
	}
	n := copy(p, b.unread)
	b.unread = b.unread[n:]
	return n, nil
}

func (b *answerBody) readFrame() {
	f, err := b.stream.Recv()
	if err != nil {
		// io.EOF here means that the stream ended without its end frame.
		b.err = forwardError(b.peer, jwdispatch.BrokenOff, errors.Wrap(err, "answer has no end frame"))
		return
	}
	b.unread = f.GetBody()
	b.length += uint64(len(b.unread))
	endFrame := f.GetEnd()
	if endFrame == nil {
		return
	}
	switch {
	case endFrame.GetOutcome() != string(jwrequest.Served):
		b.err = forwardError(b.peer, jwdispatch.BrokenOff, errors.Errorf("answer ended as %s: %s", endFrame.GetOutcome(), endFrame.GetDetail()))
	case endFrame.GetLength() != b.length:
		b.err = forwardError(b.peer, jwdispatch.BrokenOff, errors.Errorf("received %d bytes of an answer of %d bytes", b.length, endFrame.GetLength()))
	default:
		b.err = io.EOF
	}
}

// Close cancels the stream, so that the other node stops work on an answer that
// is not complete.
func (b *answerBody) Close() error {
	b.cancel()
	return nil
}
