package jwgateway

import (
	"io"
	"net/http"
	"sync"
	"time"
)

// bodyRest is the part of a body that follows the buffered one. One goroutine reads it from the caller
// for as long as the request lasts, so that a send which ends can't lose what it read: one send at
// a time takes it from the buffer.
type bodyRest struct {
	w    http.ResponseWriter
	r    io.Reader
	size int           // max bytes of a read
	done chan struct{} // closed once the goroutine has ended

	mu        sync.Mutex
	changed   sync.Cond // signals changes of the fields below
	buf       [restBufferSize]byte
	unsent    []byte      // the part of buf that was read and not taken by a send
	remaining int64       // number of bytes that may still follow within the limit
	err       error       // why reading ended; io.EOF at the end of the body
	taken     bool        // a send has taken some of it
	current   *restSender // of the latest send
	closed    bool        // the request has ended
}

// newBodyRest begins to read the rest of the body of r, of at most maxSize bytes, which is to be answered by w.
func newBodyRest(w http.ResponseWriter, r *http.Request, maxSize int64) *bodyRest {
	b := &bodyRest{w: w, r: r.Body, size: restBufferSize, remaining: maxSize, done: make(chan struct{})}
	if r.ContentLength < 0 {
		b.size = maxChunkRead
	}
	b.changed.L = &b.mu
	go b.run()
	return b
}

func (b *bodyRest) run() {
	defer close(b.done)
	for b.awaitRoom() {
		n, err := b.r.Read(b.buf[:b.size])
		b.add(n, err)
	}
}

// awaitRoom waits until all that was read has been taken. It returns false if no more is to be read.
func (b *bodyRest) awaitRoom() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.unsent) > 0 && !b.closed {
		b.changed.Wait()
	}
	return b.err == nil && !b.closed
}

// add adds the result of a read.
func (b *bodyRest) add(n int, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unsent = b.buf[:n]
	b.remaining -= int64(n)
	if b.remaining < 0 {
		b.unsent, err = nil, errBodyTooLarge
	}
	b.err = err
	b.changed.Broadcast()
}

// sender returns the reader of one send.
func (b *bodyRest) sender() *restSender {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current = &restSender{rest: b}
	return b.current
}

func (b *bodyRest) wasTaken() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.taken
}

// retain closes the reader of the current send unless that has taken some of the rest, and reports whether it
// has not.
func (b *bodyRest) retain() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.taken {
		return false
	}
	if b.current != nil {
		b.current.closed = true
	}
	b.changed.Broadcast()
	return true
}

func (b *bodyRest) readError() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err
}

// close ends the reading and waits until it has ended.
func (b *bodyRest) close() {
	b.mu.Lock()
	b.closed = true
	reading := b.err == nil
	b.changed.Broadcast()
	b.mu.Unlock()
	if reading {
		// A read that waits for the caller returns by the deadline. After the end of the body
		// it would cancel the caller's next request.
		_ = http.NewResponseController(b.w).SetReadDeadline(time.Unix(1, 0))
	}
	<-b.done
}

// restSender takes the rest of a body for one send.
type restSender struct {
	rest   *bodyRest
	closed bool // guarded by rest.mu
}

// Read implements io.Reader.
func (s *restSender) Read(p []byte) (int, error) {
	b := s.rest
	b.mu.Lock()
	defer b.mu.Unlock()
	if err := s.await(); err != nil {
		return 0, err
	}
	n := copy(p, b.unsent)
	s.take(n)
	return n, nil
}

// WriteTo implements io.WriterTo; it writes from the buffer.
func (s *restSender) WriteTo(w io.Writer) (total int64, err error) {
	b := s.rest
	b.mu.Lock()
	defer b.mu.Unlock()
	for {
		if err := s.await(); err != nil {
			if err == io.EOF {
				err = nil
			}
			return total, err
		}
		b.taken = true
		piece := b.unsent
		b.mu.Unlock()
		n, err := w.Write(piece)
		b.mu.Lock()
		total += int64(n)
		s.take(len(piece))
		if err != nil {
			return total, err
		}
	}
}

// await waits until there is something to send. It returns the error if nothing follows.
func (s *restSender) await() error {
	b := s.rest
	for !s.closed && !b.closed && len(b.unsent) == 0 && b.err == nil {
		b.changed.Wait()
	}
	switch {
	case s.closed || b.closed:
		return errBodyClosed
	case len(b.unsent) == 0:
		return b.err
	}
	return nil
}

// take removes what was sent from the buffer.
func (s *restSender) take(n int) {
	b := s.rest
	b.unsent, b.taken = b.unsent[n:], true
	b.changed.Broadcast()
}

// Close makes a Read that waits, and each later one, fail.
func (s *restSender) Close() error {
	s.rest.mu.Lock()
	defer s.rest.mu.Unlock()
	s.closed = true
	s.rest.changed.Broadcast()
	return nil
}
