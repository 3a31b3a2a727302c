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

// releaseMemory returns what admitMemory has accounted for a request.
func (g *Gateway) releaseMemory(q *request) {
	if q.heldRequest == 0 {
		return
	}
	g.memory.Release(jwmemory.Requests, q.heldRequest)
	g.memory.Release(jwmemory.Bodies, q.heldBody)
	q.heldRequest, q.heldBody = 0, 0
}

// holdAnswer accounts for an answer that is to be buffered completely, and returns the number of
// bytes to be released. It returns false if the node can't hold it.
func (g *Gateway) holdAnswer(q *request, a *jwconn.Answer) (held int64, ok bool) {
	if !g.controlsOverload(q.service) {
		return 0, true
	}
	_ = http.NewResponseController(q.w).SetWriteDeadline(q.deadline.Add(deadlineMargin))
	held = a.Length
	if held < 0 || held > maxBufferedAnswer {
		held = maxBufferedAnswer
	}
	return held, g.memory.Reserve(jwmemory.Answers, held)
}

// copyAnswer passes an answer on as fast as the caller reads it, without buffering it.
func (g *Gateway) copyAnswer(q *request, a *jwconn.Answer, onEvents func(events int)) Verdict {
	onEvents(1)
	if q.answerStarted {
		q.lastReason = "the stream was not resumed"
		return failed
	}
	q.answerStarted = true
	g.copyHeaders(q, a)
	q.w.WriteHeader(a.Status)
	if _, err := io.Copy(q.w, a.Body); err != nil {
		q.lastReason = err.Error()
		return failed
	}
	return finished
}
