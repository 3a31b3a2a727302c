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
	// heldBody is the size up to which an answer that is no stream is held
	// until it is whole, so that one that breaks off can be told apart.
	heldBody = 256 << 10
	// maxEvent bounds one event of a stream.
	maxEvent = 1 << 20
	// maxDrain bounds what is read of an answer that nobody wants, to keep
	// its connection.
	maxDrain = 64 << 10
	// readSize is how much of a stream is read at once: some events.
	readSize = 1 << 10
)

// drain reads the rest of an answer, so that its connection can be used again.
func drain(a *jwconn.Answer) {
	_, _ = io.CopyN(io.Discard, a.Body, maxDrain)
}

// relay passes an answer on; came is called with the number of events that are
// there, for an answer without events once.
func (g *Gateway) relay(q *request, a *jwconn.Answer, came func(events int)) Verdict {
	if strings.HasPrefix(a.Header.Get("Content-Type"), "text/event-stream") && a.Status == http.StatusOK {
		return g.relayStream(q, a, came)
	}
	body, err := io.ReadAll(io.LimitReader(a.Body, heldBody))
	came(1)
	if err != nil {
		q.refused = err.Error()
		return failed
	}
	if q.started {
		// A stream can't go on with an answer that is none.
		q.refused = "the stream was not resumed"
		return failed
	}
	q.started = true
	g.head(q, a)
	if a.Whole() || len(body) < heldBody {
		q.w.Header()["Content-Length"] = []string{strconv.Itoa(len(body))}
	}
	q.w.WriteHeader(a.Status)
	_, _ = q.w.Write(body)
	if len(body) == heldBody && !a.Whole() {
		if _, err := io.Copy(q.w, a.Body); err != nil {
			q.refused = err.Error()
			return failed
		}
	}
	return finished
}

// head copies the headers of an answer.
func (g *Gateway) head(q *request, a *jwconn.Answer) {
	length := a.Header.Get("Content-Length")
	stripHop(a.Header)
	h := q.w.Header()
	for name, values := range a.Header {
		h[name] = values
	}
	if q.method == http.MethodHead && length != "" {
		h["Content-Length"] = []string{length}
	}
}

// relayStream passes whole events on as they come. What stands before the end
// of an event when the stream breaks off is not passed on, so that another
// target can go on after the last whole one.
func (g *Gateway) relayStream(q *request, a *jwconn.Answer, came func(events int)) Verdict {
	var held []byte
	resumed := q.started
	wanted := ""
	if resumed {
		wanted = next(q.lastEvent())
	}
	buf := make([]byte, readSize)
	first := true
	for {
		n, err := a.Body.Read(buf)
		held = append(held, buf[:n]...)
		if end := bytes.LastIndex(held, []byte("\n\n")); end >= 0 {
			events := held[:end+2]
			came(bytes.Count(events, []byte("\n\n")))
			if first {
				first = false
				g.logBegun(q)
				if wanted != "" && firstID(events) != wanted {
					q.refused = "the stream was resumed at another event"
					return failed
				}
			}
			if !g.pass(q, a, events) {
				return failed
			}
			held = append(held[:0], held[end+2:]...)
		}
		switch {
		case err == io.EOF:
			if len(held) > 0 || !q.started {
				if !g.pass(q, a, held) {
					return failed
				}
			}
			return finished
		case err != nil:
			q.refused = err.Error()
			return broken
		case len(held) > maxEvent:
			q.refused = "an event is too large"
			return failed
		}
	}
}

// pass writes events to the caller at once, after the head if they are the
// first.
func (g *Gateway) pass(q *request, a *jwconn.Answer, events []byte) bool {
	if !q.started {
		q.started = true
		g.head(q, a)
		q.w.WriteHeader(a.Status)
	}
	if _, err := q.w.Write(events); err != nil {
		q.refused = "the caller is gone"
		return false
	}
	if f, ok := q.w.(http.Flusher); ok {
		f.Flush()
	}
	if id := lastID(events); id != "" {
		q.lastID = id
	}
	return true
}

// lastID returns the identifier of the last event that has one.
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
	return idAt(events[i:])
}

// firstID returns the identifier of the first event that has one.
func firstID(events []byte) string {
	if bytes.HasPrefix(events, []byte("id:")) {
		return idAt(events)
	}
	i := bytes.Index(events, []byte("\nid:"))
	if i < 0 {
		return ""
	}
	return idAt(events[i+1:])
}

func idAt(line []byte) string {
	line = bytes.TrimPrefix(line, []byte("id:"))
	if end := bytes.IndexByte(line, '\n'); end >= 0 {
		line = line[:end]
	}
	return string(bytes.TrimSpace(line))
}

// next returns the identifier after one, "" if there is no telling.
func next(id string) string {
	n, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return ""
	}
	return strconv.FormatInt(n+1, 10)
}
