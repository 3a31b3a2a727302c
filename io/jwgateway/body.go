package jwgateway

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// heldRequest is how much of a request's body is held, so that it can be
	// sent again; a larger one is passed on as it comes, and sent once. With it a
	// thousand requests in flight hold 64 MB at most.
	heldRequest = 64 << 10
	// bodyLimit bounds a body until a configuration says otherwise.
	bodyLimit = 1 << 20
)

var (
	errBodyTooLarge = errors.New("body too large")
	errBodyOver     = errors.New("the request is over")
)

// body is what a caller sends: all of it held, or its begin with the rest to
// be read. The zero value is empty.
type body struct {
	held   []byte
	length int64 // -1 if not known
	rest   *rest // nil if all is held
}

// rest is what follows the held part of a body.
type rest struct {
	w    http.ResponseWriter
	mu   sync.Mutex // held during each read
	r    io.Reader
	left int64 // bytes that it may still have
	read bool  // some of it was
	err  error // why it ended, io.EOF at its end
}

// readBody reads the held part of a body of at most so many bytes.
func readBody(w http.ResponseWriter, r *http.Request, most int64) (b body, err error) {
	if r.ContentLength > most {
		return b, errBodyTooLarge
	}
	b.length = r.ContentLength
	if r.ContentLength >= 0 && r.ContentLength <= heldRequest {
		b.held = make([]byte, r.ContentLength)
		_, err = io.ReadFull(r.Body, b.held)
		return b, err
	}
	b.held, err = io.ReadAll(io.LimitReader(r.Body, min(heldRequest, most+1)))
	switch {
	case err != nil:
		return b, err
	case int64(len(b.held)) > most:
		return b, errBodyTooLarge
	case len(b.held) < heldRequest:
		b.length = int64(len(b.held))
		return b, nil
	}
	// The library would read the rest itself before the answer's head.
	if err := http.NewResponseController(w).EnableFullDuplex(); err != nil {
		return b, errors.Wrap(err, "body beside its answer")
	}
	b.rest = &rest{w: w, r: r.Body, left: most - int64(len(b.held))}
	return b, nil
}

// once reports whether the body can't be sent again.
func (b *body) once() bool {
	if b.rest == nil {
		return false
	}
	b.rest.mu.Lock()
	defer b.rest.mu.Unlock()
	return b.rest.read
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
		b.rest.err = errBodyOver
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
func (r *rest) Read(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.read = true
	if r.err != nil {
		return 0, r.err
	}
	n, err := r.r.Read(p)
	r.left -= int64(n)
	if r.left < 0 {
		err = errBodyTooLarge
	}
	r.err = err
	return n, err
}
