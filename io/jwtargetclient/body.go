package jwtargetclient

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"jujubewheel/core/jwevent"
)

// endMarker is the last event of a model engine's stream.
var endMarker = []byte("data: [DONE]")

// body reads the body of an answer. It returns io.EOF only if the answer is
// complete.
type body struct {
	client             *Client
	addr               netip.AddrPort
	ctx                context.Context
	progress           *progressTimer
	cancel             func()
	resp               *http.Response
	stream             bool   // the answer is an event stream
	endsWithConnection bool   // only the end of the connection ends the answer
	tail               []byte // line end and last bytes of a stream, to detect its end marker
	events             jwevent.Scanner
}

// Read reads the answer; errors other than io.EOF are *jwdispatch.CallError.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.resp.Body.Read(p)
	if n > 0 {
		b.progress.reset()
		b.keepTail(p[:n])
	}
	if err == nil {
		return n, nil
	}
	if err == io.EOF {
		err = b.completionError()
		if err == nil {
			return n, io.EOF
		}
	}
	return n, b.client.callError(b.ctx, b.addr, "read answer", true, err)
}

// completionError returns an error if an answer that ended without a read error
// is not complete. When a model engine fails, its stream can end early but
// without an error; the missing end marker reveals that. The marker's text may
// also be part of the data.
func (b *body) completionError() error {
	if b.stream {
		if b.events.InEvent() || !hasLine(b.tail, endMarker) {
			return errNoEndMarker
		}
		return nil
	}
	if b.endsWithConnection {
		return errNoLength
	}
	return nil
}

// hasLine reports whether a line, between two line ends, is in p.
func hasLine(p, line []byte) bool {
	isEnd := func(b byte) bool { return b == '\r' || b == '\n' }
	for {
		i := bytes.Index(p, line)
		if i < 0 {
			return false
		}
		end := i + len(line)
		if i > 0 && isEnd(p[i-1]) && end < len(p) && isEnd(p[end]) {
			return true
		}
		p = p[end:]
	}
}

// keepTail keeps the last bytes of a stream, so that an end marker is found that
// is split between reads.
func (b *body) keepTail(p []byte) {
	if !b.stream {
		return
	}
	b.events.Scan(p)
	const keep = 40
	if len(p) >= keep {
		b.tail = append(b.tail[:0], p[len(p)-keep:]...)
		return
	}
	if b.tail == nil {
		b.tail = append(b.tail, '\n')
	}
	b.tail = append(b.tail, p...)
	if over := len(b.tail) - keep; over > 0 {
		b.tail = append(b.tail[:0], b.tail[over:]...)
	}
}

// Close ends the call. If the answer has not been read to its end, its connection
// is closed, which makes the target stop work on it.
func (b *body) Close() error {
	b.progress.stop()
	b.cancel()
	return b.resp.Body.Close()
}

// progressTimer calls onTimeout if it is not reset for the duration of its
// timeout. With a timeout of 0 it does nothing.
type progressTimer struct {
	mu      sync.Mutex
	timer   *time.Timer
	timeout time.Duration
}

func newProgressTimer(timeout time.Duration, onTimeout func()) *progressTimer {
	t := &progressTimer{timeout: timeout}
	if timeout > 0 {
		t.timer = time.AfterFunc(timeout, onTimeout)
	}
	return t
}

func (t *progressTimer) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.timer != nil {
		t.timer.Reset(t.timeout)
	}
}

func (t *progressTimer) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.timer != nil {
		t.timer.Stop()
		t.timer = nil
	}
}
