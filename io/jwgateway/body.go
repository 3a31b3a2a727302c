package jwgateway

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxBufferedBody is how much of a request's body is buffered so that it can be sent again. A
	// longer body is streamed to the target and sent once only. With this limit a thousand requests
	// in flight buffer 64 MB at most.
	maxBufferedBody = 64 << 10
	// defaultMaxBody is the maximum size of a body as long as no configuration sets another one.
	defaultMaxBody = 1 << 20
)

var (
	errBodyTooLarge = errors.New("body too large")
	errBodyClosed   = errors.New("read body: the request has ended")
)

// body is the body of a request: either all of it is buffered, or its beginning, and the rest is
// still to be read. The zero value is empty.
type body struct {
	buffered []byte
	length   int64     // -1 if unknown
	rest     *bodyRest // nil if the whole body is buffered
}

// bodyRest reads the part of a body that follows the buffered one.
type bodyRest struct {
	w           http.ResponseWriter
	mu          sync.Mutex // held during each read
	r           io.Reader
	remaining   int64 // number of bytes that may still follow within the limit
	readStarted bool  // whether any of it was read
	err         error // why reading ended; io.EOF at the end of the body
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
	b.rest = &bodyRest{w: w, r: r.Body, remaining: maxSize - int64(len(b.buffered))}
	return b, nil
}

// consumed reports whether the body can't be sent again because part of its rest was read.
func (b *body) consumed() bool {
	if b.rest == nil {
		return false
	}
	b.rest.mu.Lock()
	defer b.rest.mu.Unlock()
	return b.rest.readStarted
}

// reader returns a reader of what follows the buffered part; nil if nothing does.
func (b *body) reader() io.Reader {
	if b.rest == nil {
		return nil // a nil io.Reader, not one that holds a nil *bodyRest
	}
	return b.rest
}

// close ends the reading of the body: it must not be read after the handler has returned.
func (b *body) close() {
	if b.rest == nil {
		return
	}
	if !b.rest.mu.TryLock() {
		// A read is waiting for the caller; the deadline makes it return.
		_ = http.NewResponseController(b.rest.w).SetReadDeadline(time.Now())
		b.rest.mu.Lock()
	}
	defer b.rest.mu.Unlock()
	if b.rest.err == nil {
		b.rest.err = errBodyClosed
	}
}

// tooLarge reports whether a body of unknown length turned out to exceed the limit.
func (b *body) tooLarge() bool {
	if b.rest == nil {
		return false
	}
	b.rest.mu.Lock()
	defer b.rest.mu.Unlock()
	return b.rest.err == errBodyTooLarge
}

// Read implements io.Reader.
func (r *bodyRest) Read(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readStarted = true
	if r.err != nil {
		return 0, r.err
	}
	n, err := r.r.Read(p)
	r.remaining -= int64(n)
	if r.remaining < 0 {
		err = errBodyTooLarge
	}
	r.err = err
	return n, err
}
