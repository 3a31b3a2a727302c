package jwtargetclient

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// doneMark is the data of the last event of a model engine's stream.
var endMarker = []byte("data: [DONE]")

// body is an answer being read; it says io.EOF only when the answer is whole.
type body struct {
	client             *Client
	addr               netip.AddrPort
	ctx                context.Context
	progress           *progressTimer
	cancel             func()
	resp               *http.Response
	stream             bool
	endsWithConnection bool
	tail               []byte // last bytes of a stream, to see its end mark
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

// atEnd judges an answer that ended without an error. A stream that lost its
// engine can end cleanly and short; its missing end mark shows it.
func (b *body) completionError() error {
	if b.stream {
		if !bytes.Contains(b.tail, endMarker) {
			return errNoEndMarker
		}
		return nil
	}
	if b.endsWithConnection {
		return errNoLength
	}
	return nil
}

// remember keeps the last bytes of a stream.
func (b *body) keepTail(p []byte) {
	if !b.stream {
		return
	}
	const keep = 32
	if len(p) >= keep {
		b.tail = append(b.tail[:0], p[len(p)-keep:]...)
		return
	}
	b.tail = append(b.tail, p...)
	if over := len(b.tail) - keep; over > 0 {
		b.tail = append(b.tail[:0], b.tail[over:]...)
	}
}

// Close ends the call; the connection of an unfinished one is closed, which
// tells the target to stop its work.
func (b *body) Close() error {
	b.progress.stop()
	b.cancel()
	return b.resp.Body.Close()
}

// watchdog calls bark when it was not fed for a while.
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
