package jwconn

import (
	"io"
	"net/http/httputil"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// ErrBodyUnfinished is the error of a call whose body is still being written.
var ErrBodyUnfinished = errors.New("the body has not been sent completely")

// errBodyStopped is the error of a body whose writing was stopped with its call.
var errBodyStopped = errors.New("the call ended before its body was sent completely")

// bodyWriter writes the body of a call while its answer is read.
type bodyWriter struct {
	conn  *conn
	call  *Call
	start time.Time // when sending began, zero without Call.MaxWriteTime
	done  chan struct{}
	err   error // set before done is closed

	stopped  atomic.Bool // the call has ended
	writeErr error       // of the last write

	mu   sync.Mutex // held during each write
	lost error      // of a write that found the connection lost
}

func (w *bodyWriter) run() {
	defer close(w.done)
	w.err = w.writeBodyWithin()
}

// stop ends the writing, waits until it has ended, and returns its error.
func (w *bodyWriter) stop() error {
	select {
	case <-w.done:
		return w.err
	default:
	}
	w.stopped.Store(true)
	if w.call.Rest != nil {
		_ = w.call.Rest.Close() // first, so that no more of it is taken after the write in progress
	}
	_ = w.conn.SetWriteDeadline(time.Unix(1, 0)) // ends a write in progress
	<-w.done
	_ = w.conn.SetWriteDeadline(time.Time{})
	return w.err
}

// Write implements io.Writer.
func (w *bodyWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n, err := w.conn.Write(p)
	w.writeErr = err
	if isConnLost(err) {
		w.lost = err
	}
	return n, err
}

// isConnLost reports whether a write failed because the connection was lost, and not because the
// peer had closed it before: after the peer's FIN, a reset gives EPIPE.
func isConnLost(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && errno != syscall.EPIPE
}

// connError ends the writing and returns the error of a write that found the connection lost. The
// system reports the loss of a connection once: if a write got the error, a read gets io.EOF, as if
// the peer had closed the connection.
func (w *bodyWriter) connError() error {
	_ = w.conn.SetWriteDeadline(time.Unix(1, 0)) // ends a write in progress
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lost
}

// result returns the error of the writing, ErrBodyUnfinished while it goes on.
func (w *bodyWriter) result() error {
	select {
	case <-w.done:
		return w.err
	default:
		return ErrBodyUnfinished
	}
}

// BodyReadError is the error if Call.Rest failed, so that the body of the call is
// incomplete.
type BodyReadError struct{ Err error }

func (e *BodyReadError) Error() string { return "body: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *BodyReadError) Unwrap() error { return e.Err }

// errSlowPeer is the result of writing a body that took longer than Call.MaxWriteTime.
var errSlowPeer = errors.New("the peer read the body slowly")

// writeBodyWithin writes the body of a call, and fails if that took too long since start.
func (w *bodyWriter) writeBodyWithin() error {
	err := w.writeBody()
	// The rest is read as fast as the sender provides it, so its time says nothing of the peer.
	if err == nil && w.call.MaxWriteTime > 0 && w.call.Rest == nil && time.Since(w.start) > w.call.MaxWriteTime {
		return errSlowPeer
	}
	return err
}

// writeBody writes the body of a call. If the body is incomplete, it closes the
// connection, so that the peer doesn't process it as a complete one.
func (w *bodyWriter) writeBody() error {
	c := w.call
	if c.Rest == nil {
		_, err := w.Write(c.Body)
		return err
	}
	var out io.Writer = w
	var chunkWriter io.WriteCloser
	if c.Length < 0 {
		chunkWriter = httputil.NewChunkedWriter(w)
		out = chunkWriter
	}
	_, err := out.Write(c.Body)
	if err == nil {
		err = w.copyRest(out)
	}
	if err != nil {
		w.conn.Close()
		return err
	}
	if chunkWriter == nil {
		return nil
	}
	if err := chunkWriter.Close(); err != nil {
		return err
	}
	_, err = io.WriteString(w, "\r\n") // no trailers
	return err
}

// copyRest writes Call.Rest. Its read errors are wrapped in BodyReadError.
func (w *bodyWriter) copyRest(out io.Writer) error {
	_, err := io.Copy(out, w.call.Rest)
	switch {
	case err == nil || w.writeErr != nil:
		return err
	case w.stopped.Load():
		return errBodyStopped
	}
	return &BodyReadError{err}
}
