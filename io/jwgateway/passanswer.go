package jwgateway

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"

	"jujubewheel/io/jwconn"
)

const (
	// maxBufferedAnswer is the size up to which an answer other than a stream is buffered
	// completely, so that an incomplete one can be detected before anything is sent to the caller.
	maxBufferedAnswer = 256 << 10
	// maxEventSize limits the size of one event of a stream.
	maxEventSize = 1 << 20
	// maxDrain limits how much of an unwanted answer is read to keep its connection usable.
	maxDrain = 64 << 10
	// readSize is the size of one read from a stream; it holds several events.
	readSize = 1 << 10
)

// drain reads the rest of an answer, so that its connection can be used again.
func drain(a *jwconn.Answer) {
	_, _ = io.CopyN(io.Discard, a.Body, maxDrain)
}

// passAnswer passes an answer to the caller. onEvents is called with the number of events that have
// arrived; for an answer that is not a stream it is called once.
func (g *Gateway) passAnswer(q *request, a *jwconn.Answer, onEvents func(events int)) Verdict {
	onEvents = g.observeFirstEvent(q, onEvents)
	if strings.HasPrefix(a.Header.Get("Content-Type"), "text/event-stream") && a.Status == http.StatusOK {
		return g.passStream(q, a, onEvents)
	}
	body, err := io.ReadAll(io.LimitReader(a.Body, maxBufferedAnswer))
	onEvents(1)
	if err != nil {
		q.lastReason = err.Error()
		return failed
	}
	if q.answerStarted {
		// A stream can't be resumed with an answer that is not a stream.
		q.lastReason = "the stream was not resumed"
		return failed
	}
	q.answerStarted = true
	g.copyHeaders(q, a)
	if a.Complete() || len(body) < maxBufferedAnswer {
		q.w.Header()["Content-Length"] = []string{strconv.Itoa(len(body))}
	}
	q.w.WriteHeader(a.Status)
	_, _ = q.w.Write(body)
	if len(body) == maxBufferedAnswer && !a.Complete() {
		if _, err := io.Copy(q.w, a.Body); err != nil {
			q.lastReason = err.Error()
			return failed
		}
	}
	return finished
}

// copyHeaders copies the end-to-end headers of an answer to the caller's.
func (g *Gateway) copyHeaders(q *request, a *jwconn.Answer) {
	length := a.Header.Get("Content-Length")
	stripHopByHop(a.Header)
	h := q.w.Header()
	for name, values := range a.Header {
		h[name] = values
	}
	if q.method == http.MethodHead && length != "" {
		h["Content-Length"] = []string{length}
	}
}

// passStream passes complete events on as they arrive. If the stream fails within an event, the
// incomplete event is dropped, so that another target can resume after the last complete one.
func (g *Gateway) passStream(q *request, a *jwconn.Answer, onEvents func(events int)) Verdict {
	var buffered []byte
	resumed := q.answerStarted
	wantID := ""
	if resumed {
		wantID = nextID(q.lastEvent())
	}
	buf := make([]byte, readSize)
	first := true
	for {
		n, err := a.Body.Read(buf)
		buffered = append(buffered, buf[:n]...)
		if end := bytes.LastIndex(buffered, []byte("\n\n")); end >= 0 {
			events := buffered[:end+2]
			count := bytes.Count(events, []byte("\n\n"))
			q.events += count
			onEvents(count)
			if first {
				first = false
				g.logStreamStart(q)
				if wantID != "" && firstID(events) != wantID {
					q.lastReason = "the stream was resumed at another event"
					return failed
				}
			}
			if !g.writeEvents(q, a, events) {
				return failed
			}
			buffered = append(buffered[:0], buffered[end+2:]...)
		}
		switch {
		case err == io.EOF:
			if len(buffered) > 0 || !q.answerStarted {
				if !g.writeEvents(q, a, buffered) {
					return failed
				}
			}
			return finished
		case err != nil:
			q.lastReason = err.Error()
			return broken
		case len(buffered) > maxEventSize:
			q.lastReason = "an event is too large"
			return failed
		}
	}
}

// writeEvents writes events to the caller and flushes them, preceded by the status and headers if
// they are the first. It returns false if the caller is gone.
func (g *Gateway) writeEvents(q *request, a *jwconn.Answer, events []byte) bool {
	if !q.answerStarted {
		q.answerStarted = true
		g.copyHeaders(q, a)
		q.w.WriteHeader(a.Status)
	}
	if _, err := q.w.Write(events); err != nil {
		q.lastReason = "the caller is gone"
		return false
	}
	if f, ok := q.w.(http.Flusher); ok {
		f.Flush()
	}
	if id := lastID(events); id != "" {
		q.lastEventID = id
	}
	return true
}

// lastID returns the identifier of the last event that has one, or "".
func lastID(events []byte) string {
	i := bytes.LastIndex(events, []byte("\nid:"))
	switch {
	case i >= 0:
		i++
	case bytes.HasPrefix(events, []byte("id:")):
		i = 0
	default:
		return ""
	}
	return parseID(events[i:])
}

// firstID returns the identifier of the first event that has one, or "".
func firstID(events []byte) string {
	if bytes.HasPrefix(events, []byte("id:")) {
		return parseID(events)
	}
	i := bytes.Index(events, []byte("\nid:"))
	if i < 0 {
		return ""
	}
	return parseID(events[i+1:])
}

// parseID returns the identifier in a line that starts with "id:".
func parseID(line []byte) string {
	line = bytes.TrimPrefix(line, []byte("id:"))
	if end := bytes.IndexByte(line, '\n'); end >= 0 {
		line = line[:end]
	}
	return string(bytes.TrimSpace(line))
}

// nextID returns the identifier that follows a numeric one, "" for any other.
func nextID(id string) string {
	n, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return ""
	}
	return strconv.FormatInt(n+1, 10)
}
