package jwgateway

import (
	"io"
	"net/http"
	"time"

	"jujubewheel/core/jwmemory"
	"jujubewheel/io/jwconn"
)

const (
	// requestMemory is what a request in flight takes beside its body: two connections with
	// their buffers, the headers and the stacks of its goroutines.
	requestMemory = 32 << 10
	// streamedBodyMemory is the buffer from which a body that is not buffered completely is
	// passed on.
	streamedBodyMemory = restBufferSize
	// memoryRetryAfter is the Retry-After of a node that can't hold more requests: about as
	// long as the requests in flight take.
	memoryRetryAfter = time.Second
	// minAnswerRead is the size of the buffer into which an answer of unknown length is read first.
	minAnswerRead = 512
	// deadlineMargin is how long after a request's deadline its caller may still read.
	deadlineMargin = time.Second
	// maxTargetWriteTime is how long a target may take to read a request for its connection to be
	// used again.
	maxTargetWriteTime = 100 * time.Millisecond
)

// memoryFull is the reason for rejecting a request that this node can't hold.
const memoryFull = "the node can't hold more requests"

// admitMemory accounts for a request and its body before the body is read. If the node can't hold
// them, it answers the request and returns false. length is the length of the body, -1 if unknown.
func (g *Gateway) admitMemory(q *request, length int64) bool {
	if !g.controlsOverload(q.service) {
		return true
	}
	body := length
	if length < 0 || length > maxBufferedBody {
		body = maxBufferedBody + streamedBodyMemory
	}
	if g.memory.Admit(requestMemory, body) {
		q.heldRequest, q.heldBody = requestMemory, body
		return true
	}
	g.metrics.memoryRejections.Inc(1)
	if !q.forwarded {
		g.metrics.countRequest(string(q.entry.Kind), "notRun", placeNone, time.Since(q.arrived))
	}
	d := q.newDecision(stepAnswer)
	d.Outcome, d.Reason, d.Status = "notRun", memoryFull, http.StatusServiceUnavailable
	d.Held, d.Budget, d.Buffered = g.memory.Total(), g.memory.Budget, requestMemory+body
	g.Decisions.Write(&d)
	g.answerError(q.w, q.ID, http.StatusServiceUnavailable, memoryRetryAfter, memoryFull)
	return false
}

// rejectForCallers rejects a request of a caller that the node can't hold beside those of others.
func (g *Gateway) rejectForCallers(w http.ResponseWriter, r *http.Request) {
	g.metrics.callerRejections.Inc(1)
	g.answerError(w, g.Dialect.ID(r.Header), http.StatusServiceUnavailable, memoryRetryAfter, memoryFull)
}

// releaseMemory returns what admitMemory has accounted for a request.
func (g *Gateway) releaseMemory(q *request) {
	if q.heldRequest == 0 {
		return
	}
	g.memory.Release(jwmemory.Requests, q.heldRequest)
	g.memory.Release(jwmemory.Bodies, q.heldBody)
	q.heldRequest, q.heldBody = 0, 0
}

// readAnswer reads an answer up to its end, to maxBufferedAnswer or to what the node may hold of it,
// whichever comes first.
func (g *Gateway) readAnswer(a *jwconn.Answer) ([]byte, error) {
	b := make([]byte, 0, minAnswerRead)
	if a.Length > 0 && a.Length < jwmemory.FreeBytes {
		b = make([]byte, 0, a.Length+1)
	}
	for {
		if len(b) == cap(b) {
			size := min(2*cap(b), maxBufferedAnswer)
			if len(b) == maxBufferedAnswer || !a.GivenUp() && !a.TryHold(int64(size)) {
				return b, nil
			}
			b = append(make([]byte, 0, size), b...)
		}
		n, err := a.Body.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		if err == io.EOF {
			return b, nil
		}
		if err != nil {
			return b, err
		}
	}
}

// passRest passes the rest of an answer on as fast as the caller reads it.
func (q *request) passRest(a *jwconn.Answer) error {
	a.Hold(jwmemory.FreeBytes)
	_, err := io.CopyBuffer(struct{ io.Writer }{q.w}, a.Body, make([]byte, jwmemory.FreeBytes))
	return err
}

// write writes what is held of an answer to the caller.
func (q *request) write(a *jwconn.Answer, b []byte) error {
	q.writing.Store(true)
	defer q.writing.Store(false)
	if a.GivenUp() {
		return jwconn.ErrNoMemory
	}
	_, err := q.w.Write(b)
	return err
}

// cutWrite ends a write in progress to free what it holds.
func (q *request) cutWrite() {
	if q.writing.Load() {
		q.writeCut.Store(true)
		_ = http.NewResponseController(q.w).SetWriteDeadline(time.Unix(1, 0))
	}
}

// limitAnswerTime limits how long the caller of an answer that is buffered may take to read it.
func (g *Gateway) limitAnswerTime(q *request) {
	if g.controlsOverload(q.service) {
		_ = http.NewResponseController(q.w).SetWriteDeadline(q.deadline.Add(deadlineMargin))
	}
}
