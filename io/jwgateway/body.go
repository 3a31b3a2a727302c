package jwgateway

import (
	"io"
	"net/http"

	"github.com/pkg/errors"
)

const (
	// restBufferSize is how much of the rest of a body is read ahead of its target.
	restBufferSize = 32 << 10
	// maxChunkRead is how much is read at once of a body in chunks: net/http returns only when that
	// is full or the chunk has ended.
	maxChunkRead = 16 << 10
	// maxBufferedBody is how much of a request's body is buffered so that it can be sent again. A
	// longer body is streamed to the target and sent once only. With this limit a thousand requests
	// in flight buffer 64 MB at most.
	maxBufferedBody = 64 << 10
	// defaultMaxBody is the maximum size of a body as long as no configuration sets another one.
	defaultMaxBody = 1 << 20
)

var (
	errBodyTooLarge = errors.New("body too large")
	errBodyClosed   = errors.New("read body: the send has ended")
)

// body is the body of a request: either all of it is buffered, or its beginning, and the rest is
// still to be read. The zero value is empty.
type body struct {
	buffered []byte
	length   int64     // -1 if unknown
	rest     *bodyRest // nil if the whole body is buffered
}

// readBody reads a body of at most maxSize bytes, as much as is buffered of it.
func readBody(w http.ResponseWriter, r *http.Request, maxSize int64) (b body, err error) {
	if r.ContentLength > maxSize {
		return b, errBodyTooLarge
	}
	b.length = r.ContentLength
	if r.ContentLength >= 0 && r.ContentLength <= maxBufferedBody {
		b.buffered = make([]byte, r.ContentLength)
		_, err = io.ReadFull(r.Body, b.buffered)
		return b, err
	}
	b.buffered, err = io.ReadAll(io.LimitReader(r.Body, min(maxBufferedBody, maxSize+1)))
	switch {
	case err != nil:
		return b, err
	case int64(len(b.buffered)) > maxSize:
		return b, errBodyTooLarge
	case len(b.buffered) < maxBufferedBody:
		b.length = int64(len(b.buffered))
		return b, nil
	}
	// By default net/http reads the rest of the body itself before it writes the answer's headers.
	if err := http.NewResponseController(w).EnableFullDuplex(); err != nil {
		return b, errors.Wrap(err, "enable reading the body while answering")
	}
	b.rest = newBodyRest(w, r, maxSize-int64(len(b.buffered)))
	return b, nil
}

// consumed reports whether the body can't be sent again because part of its rest was sent. The send
// before must have ended, or have been stopped by retain.
func (b *body) consumed() bool { return b.rest != nil && b.rest.wasTaken() }

// retain stops the sending of the rest, if that goes on and none of it was sent yet. It reports whether the body
// can be sent again.
func (b *body) retain() bool { return b.rest == nil || b.rest.retain() }

// sender returns a reader of what follows the buffered part, for one send; nil if nothing does. The
// send before must have ended.
func (b *body) sender() io.ReadCloser {
	if b.rest == nil {
		return nil // a nil io.ReadCloser, not one that holds a nil *restSender
	}
	return b.rest.sender()
}

// ended reports whether the body was read to its end.
func (b *body) ended() bool { return b.rest == nil || b.rest.readError() == io.EOF }

// close ends the reading of the body: it must not be read after the handler has returned.
func (b *body) close() {
	if b.rest != nil {
		b.rest.close()
	}
}

// tooLarge reports whether a body of unknown length turned out to exceed the limit.
func (b *body) tooLarge() bool { return b.rest != nil && b.rest.readError() == errBodyTooLarge }
