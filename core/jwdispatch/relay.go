package jwdispatch

import (
	"bytes"
	"io"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"jujubewheel/core/jwrequest"
)

// maxBufferedAnswer is the maximum length in bytes of an answer that is read
// completely before it is sent on. A longer one that is not a stream is sent as
// it arrives.
const maxBufferedAnswer = 4 << 20

// Sizes in bytes of the buffer for reading from a target. A token takes about a
// hundred bytes, and a node holds the buffers of all its streams for as long as
// they run, so streams get a smaller one.
const (
	plainBufferSize  = 32 << 10
	streamBufferSize = 4 << 10
)

var (
	// errCallerGone reports that the caller no longer waits for the answer.
	errCallerGone = errors.New("caller gone")
	// errDiverged reports that the answer of a retry differs from the part
	// already sent, so that the two can't be joined.
	errDiverged = errors.New("answer of a retry differs from what was sent")
	// errOutOfOrder reports that the numbers of a stream's events are not
	// consecutive.
	errOutOfOrder = errors.New("event out of order")
)

// relay copies one answer to the caller, over several tries if needed.
//
// Of a stream only complete events are sent. When the stream breaks, a target
// that still has it continues after the last event sent. Any other try starts
// the answer again from its first byte. The bytes that the caller already has
// are not sent again: they are compared with what was sent, and the stream
// continues only if they are equal. Without the comparison, a model whose
// answers differ each time would give the caller parts of two different answers
// joined as one.
type relay struct {
	sink      *trackedSink
	head      AnswerHead    // as sent to the caller
	bytesSent int64         // of the body
	sentHash  xxhash.Digest // hash of the bytes sent
	events    eventTracker
}

// copy sends the answer to the caller; nil means that it is complete and its
// end was sent.
func (rl *relay) copy(a *Answer) error {
	defer func() { _ = a.Body.Close() }()
	if a.Head.Outcome != "" && a.Head.Outcome != jwrequest.Served {
		rl.sink.reject(a.Head)
		return nil
	}
	if rl.sink.headSent || a.Head.Length > maxBufferedAnswer || a.Head.Length < 0 && isEventStream(a.Head) {
		return rl.copyAsReceived(a)
	}
	return rl.copyComplete(a)
}

// isEventStream reports whether the answer is a text/event-stream.
func isEventStream(h AnswerHead) bool { return strings.HasPrefix(h.ContentType, "text/event-stream") }

// copyComplete reads the complete answer before it sends the first byte, so that
// the caller does not notice when a request whose answer is incomplete is
// retried. An answer longer than maxBufferedAnswer is sent as it arrives.
func (rl *relay) copyComplete(a *Answer) error {
	body, err := readComplete(io.LimitReader(a.Body, maxBufferedAnswer+1), a.Head.Length)
	if err != nil {
		return err
	}
	if len(body) > maxBufferedAnswer {
		a.Body = &prefixedBody{prefix: body, ReadCloser: a.Body}
		return rl.copyAsReceived(a)
	}
	rl.sink.sendComplete(a.Head, body)
	return nil
}

// readComplete reads to the end, into a buffer of the announced length if there
// is one: growing a buffer step by step costs several times the memory. The
// announced length is used for nothing else, and may be wrong.
func readComplete(r io.Reader, length int64) ([]byte, error) {
	if length < 0 || length > maxBufferedAnswer {
		return io.ReadAll(r)
	}
	// ReadFrom grows the buffer unless it has space for one more read.
	buf := bytes.NewBuffer(make([]byte, 0, length+bytes.MinRead))
	_, err := buf.ReadFrom(r)
	return buf.Bytes(), err
}

// prefixedBody is a body of which some bytes were already read.
type prefixedBody struct {
	io.ReadCloser
	prefix []byte
}

// Read returns the bytes already read first.
func (p *prefixedBody) Read(b []byte) (int, error) {
	if len(p.prefix) > 0 {
		n := copy(b, p.prefix)
		p.prefix = p.prefix[n:]
		return n, nil
	}
	return p.ReadCloser.Read(b)
}

// copyAsReceived sends the answer as it arrives and skips the part that was
// sent in earlier tries.
func (rl *relay) copyAsReceived(a *Answer) error {
	if err := rl.sendHead(a.Head); err != nil {
		return err
	}
	skip := newSkipper(rl.bytesSent, rl.sentHash.Sum64())
	isStream := isEventStream(a.Head)
	rl.events.restart()
	buf := make([]byte, readBufferSize(isStream))
	for {
		n, err := a.Body.Read(buf)
		part := buf[:n]
		inOrder := true
		if isStream {
			part, inOrder = rl.events.takeOrdered(rl.events.takeComplete(part, err == io.EOF))
			if skip.remaining > 0 && rl.events.resumed() {
				skip.remaining = 0
			}
		}
		fresh, same := skip.newBytes(part)
		if !same {
			return errDiverged
		}
		if len(fresh) > 0 {
			_, _ = rl.sentHash.Write(fresh)
			rl.bytesSent += int64(len(fresh))
			if isStream {
				rl.events.recordSent(fresh)
			}
			if rl.sink.Body(fresh) != nil {
				return errCallerGone
			}
		}
		if !inOrder {
			return &CallError{Step: "read answer", Kind: BrokenOff, Err: errOutOfOrder}
		}
		if err == io.EOF {
			if skip.remaining > 0 {
				return errDiverged
			}
			if rl.sink.End(AnswerEnd{Outcome: jwrequest.Served, Length: rl.bytesSent}) != nil {
				return errCallerGone
			}
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// readBufferSize returns the size in bytes of the buffer for reading from a
// target.
func readBufferSize(isStream bool) int {
	if isStream {
		return streamBufferSize
	}
	return plainBufferSize
}

// sendHead sends the head of the first try. The head of a later try must be
// equal to it: an error page after the head of a stream would reach the caller
// as the content of the stream, and would look complete.
func (rl *relay) sendHead(h AnswerHead) error {
	h.Outcome = ""
	if rl.sink.headSent {
		if h.Status != rl.head.Status || h.ContentType != rl.head.ContentType {
			return errDiverged
		}
		return nil
	}
	rl.sentHash.Reset()
	rl.head = h
	if rl.sink.Head(h) != nil {
		return errCallerGone
	}
	return nil
}

// skipper skips the part of a retry's answer that was already sent and checks
// that it is equal to what was sent.
type skipper struct {
	remaining int64         // bytes still to be skipped
	wantHash  uint64        // hash of what was sent
	hash      xxhash.Digest // hash of what was skipped so far
}

func newSkipper(sent int64, want uint64) *skipper {
	s := &skipper{remaining: sent, wantHash: want}
	s.hash.Reset()
	return s
}

// newBytes returns the part of p that was not sent before; same is false if the
// part sent before differs.
func (s *skipper) newBytes(p []byte) (fresh []byte, same bool) {
	if s.remaining == 0 {
		return p, true
	}
	n := min(int64(len(p)), s.remaining)
	_, _ = s.hash.Write(p[:n])
	s.remaining -= n
	if s.remaining > 0 {
		return nil, true
	}
	return p[n:], s.hash.Sum64() == s.wantHash
}
