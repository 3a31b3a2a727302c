package jwdispatch

import (
	"bytes"
	"io"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"jujubewheel/core/jwrequest"
)

// maxBufferedAnswer is how much of an answer that is no stream is held back until it
// is whole; a longer one goes out as it comes.
const maxBufferedAnswer = 4 << 20

// How much is read from a target at once. A token is about a hundred bytes, and
// a node holds the buffers of all its streams for as long as they run.
const (
	plainBufferSize  = 32 << 10
	streamBufferSize = 4 << 10
)

var (
	// errCallerGone says that nobody wants the answer any more.
	errCallerGone = errors.New("caller gone")
	// errDiverged says that a repeated answer differs from the part already
	// sent, so that the two can't be joined.
	errDiverged = errors.New("repeated answer differs from what was sent")
)

// relay copies one answer to the caller, over several tries if need be.
//
// Of a stream only whole events go out. When it breaks, a target that still
// has it goes on after the last of them. Any other try starts it again from its
// first byte. The bytes that the caller has are not sent twice: they are
// compared with what was sent, and the stream goes on only if they are the
// same. Without the comparison a model that answers differently each time would
// give the caller two halves of two answers, passed off as one.
type relay struct {
	sink      *trackedSink
	head      Head // as sent, once a part was
	bytesSent int64
	sentHash  xxhash.Digest
	events    eventTracker
}

// copy sends the answer; nil means that it is whole and its end was sent.
func (rl *relay) copy(a *Answer) error {
	defer func() { _ = a.Body.Close() }()
	if a.Head.Outcome != "" && a.Head.Outcome != jwrequest.Served {
		rl.sink.refuse(a.Head)
		return nil
	}
	if rl.sink.headSent || a.Head.Length > maxBufferedAnswer || a.Head.Length < 0 && isEventStream(a.Head) {
		return rl.copyAsReceived(a)
	}
	return rl.copyWhole(a)
}

func isEventStream(h Head) bool { return strings.HasPrefix(h.ContentType, "text/event-stream") }

// copyWhole reads the answer to its end before the first byte goes out, so that a
// broken one can be tried again unseen.
func (rl *relay) copyWhole(a *Answer) error {
	body, err := readWhole(io.LimitReader(a.Body, maxBufferedAnswer+1), a.Head.Length)
	if err != nil {
		return err
	}
	if len(body) > maxBufferedAnswer {
		a.Body = &prefixedBody{prefix: body, ReadCloser: a.Body}
		return rl.copyAsReceived(a)
	}
	rl.sink.sendWhole(a.Head, body)
	return nil
}

// readWhole reads to the end, into a buffer of the length that was announced,
// if one was; growing a buffer step by step costs several times the memory. The
// length is not trusted further than that.
func readWhole(r io.Reader, length int64) ([]byte, error) {
	if length < 0 || length > maxBufferedAnswer {
		return io.ReadAll(r)
	}
	// ReadFrom grows the buffer unless there is room for one more read.
	buf := bytes.NewBuffer(make([]byte, 0, length+bytes.MinRead))
	_, err := buf.ReadFrom(r)
	return buf.Bytes(), err
}

// prefixedBody is a body with some bytes already read.
type prefixedBody struct {
	io.ReadCloser
	prefix []byte
}

// Read gives the bytes already read first.
func (p *prefixedBody) Read(b []byte) (int, error) {
	if len(p.prefix) > 0 {
		n := copy(b, p.prefix)
		p.prefix = p.prefix[n:]
		return n, nil
	}
	return p.ReadCloser.Read(b)
}

// copyAsReceived sends the answer as it comes.
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
		if isStream {
			part = rl.events.takeComplete(part, err == io.EOF)
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
		if err == io.EOF {
			if skip.remaining > 0 {
				return errDiverged
			}
			if rl.sink.End(End{Outcome: jwrequest.Served, Length: rl.bytesSent}) != nil {
				return errCallerGone
			}
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func readBufferSize(isStream bool) int {
	if isStream {
		return streamBufferSize
	}
	return plainBufferSize
}

// sendHead sends the head of the first try. The head of a later one must be the
// same: an error page in place of a stream whose head is out would reach the
// caller as the stream itself, ended well.
func (rl *relay) sendHead(h Head) error {
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

// skipper drops the part of a repeated answer that was sent before, if it is
// the same.
type skipper struct {
	remaining int64
	wantHash  uint64
	hash      xxhash.Digest
}

func newSkipper(sent int64, want uint64) *skipper {
	s := &skipper{remaining: sent, wantHash: want}
	s.hash.Reset()
	return s
}

// newBytes returns what of p is new; same is false when the part sent before
// differs.
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
