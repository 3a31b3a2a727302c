package jwgateway

import (
	"io"
	"net/http"
	"strings"
	"time"

	"jujubewheel/io/jwrest"
)

const (
	// maxSkippedBody is how much of a body that nobody wants is read so that its connection can be
	// used again.
	maxSkippedBody = 256 << 10
	// maxSkipTime is how long that may hold up the answer.
	maxSkipTime = 250 * time.Millisecond
)

// answerWriter writes the answer to a request whose body may not have been read to its end. If it
// has not been when the answer begins, the connection is closed after the answer: net/http would otherwise
// read what the caller still sends of the body as its next request.
type answerWriter struct {
	http.ResponseWriter
	request *http.Request
	body    *body // nil until it was read
	broken  bool  // the body could not be read
	begun   bool
}

// WriteHeader implements http.ResponseWriter.
func (w *answerWriter) WriteHeader(status int) {
	if !w.begun {
		w.begun = true
		if !w.bodyEnded() {
			w.closeAfterAnswer()
		}
	}
	w.ResponseWriter.WriteHeader(status)
}

// bodyEnded reports whether the body has come to its end. It skips what has come of a body that
// nobody has read.
func (w *answerWriter) bodyEnded() bool {
	switch {
	case w.request.ContentLength == 0:
		return true
	case w.body != nil:
		return w.body.ended()
	case w.broken || w.request.ContentLength > maxSkippedBody:
		return false
	case w.request.Header.Get("Expect") != "":
		return false // reading it would ask the caller to send it
	}
	_ = http.NewResponseController(w.ResponseWriter).SetReadDeadline(time.Now().Add(maxSkipTime))
	_, err := io.CopyN(io.Discard, w.request.Body, maxSkippedBody)
	return err == io.EOF
}

// closeAfterAnswer makes net/http close the connection after the answer, late enough for the caller
// to read it. A limit that was exceeded is the only way to ask for both.
func (w *answerWriter) closeAfterAnswer() {
	exceeded := http.MaxBytesReader(w.ResponseWriter, io.NopCloser(strings.NewReader("x")), 0)
	_, _ = exceeded.Read(make([]byte, 1))
}

// abort ends the request without the end of its answer, and doesn't return. An answer in HTTP/1.0 ends with its
// connection, so that only a reset shows that it is incomplete.
func (w *answerWriter) abort() {
	if c, ok := jwrest.Conn(w.request.Context()).(interface{ SetLinger(sec int) error }); ok && !w.request.ProtoAtLeast(1, 1) {
		_ = c.SetLinger(0)
	}
	panic(http.ErrAbortHandler)
}

// Unwrap returns the underlying writer for http.ResponseController.
func (w *answerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Flush implements http.Flusher.
func (w *answerWriter) Flush() {
	if f, ok := w.ResponseWriter.(http.Flusher); ok {
		f.Flush()
	}
}
