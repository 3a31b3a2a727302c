package jwgateway

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxBufferedBody is how much of a request's body is held, so that it can be
	// sent again; a larger one is passed on as it comes, and sent once. With it a
	// thousand requests in flight hold 64 MB at most.
	maxBufferedBody = 64 << 10
	// defaultMaxBody bounds a body until a configuration says otherwise.
	defaultMaxBody = 1 << 20
)

var (
	errBodyTooLarge = errors.New("body too large")
	errBodyClosed   = errors.New("the request is over")
)

// body is what a caller sends: all of it held, or its begin with the rest to
// be read. The zero value is empty.
type body struct {
	buffered []byte
	length   int64     // -1 if not known
	rest     *bodyRest // nil if all is held
}

// bodyRest is what follows the held part of a body.
type bodyRest struct {
	w           http.ResponseWriter
	mu          sync.Mutex // held during each read
	r           io.Reader
	remaining   int64 // bytes that it may still have
	readStarted bool  // some of it was
	err         error // why it ended, io.EOF at its end
}

// readBody reads the held part of a body of at most so many bytes.
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
	// The library would read the rest itself before the answer's head.
	if err := http.NewResponseController(w).EnableFullDuplex(); err != nil {
		return b, errors.Wrap(err, "body beside its answer")
	}
	b.rest = &bodyRest{w: w, r: r.Body, remaining: maxSize - int64(len(b.buffered))}
	return b, nil
}

// consumed reports whether the body can't be sent again.
func (b *body) consumed() bool {
	if b.rest == nil {
		return false
	}
	b.rest.mu.Lock()
	defer b.rest.mu.Unlock()
	return b.rest.readStarted
}

// reader returns what follows the held part; nil if nothing does.
func (b *body) reader() io.Reader {
	if b.rest == nil {
		return nil // and not an io.Reader that holds a nil
	}
	return b.rest
}

// close ends the reading; nothing may read the caller's body after its
// handler.
func (b *body) close() {
	if b.rest == nil {
		return
	}
	if !b.rest.mu.TryLock() {
		// A read waits for the caller; without the deadline it would go on.
		_ = http.NewResponseController(b.rest.w).SetReadDeadline(time.Now())
		b.rest.mu.Lock()
	}
	defer b.rest.mu.Unlock()
	if b.rest.err == nil {
		b.rest.err = errBodyClosed
	}
}

// tooLarge reports whether a body of unknown length turned out too long.
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
