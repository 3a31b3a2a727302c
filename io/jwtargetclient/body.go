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
var doneMark = []byte("data: [DONE]")

// body is an answer being read; it says io.EOF only when the answer is whole.
type body struct {
	client  *Client
	addr    netip.AddrPort
	ctx     context.Context
	watch   *watchdog
	cancel  func()
	resp    *http.Response
	stream  bool
	endless bool
	tail    []byte // last bytes of a stream, to see its end mark
}

// Read reads the answer; errors other than io.EOF are *jwdispatch.CallError.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.resp.Body.Read(p)
	if n > 0 {
		b.watch.feed()
		b.remember(p[:n])
	}
	if err == nil {
		return n, nil
	}
	if err == io.EOF {
		err = b.atEnd()
		if err == nil {
			return n, io.EOF
		}
	}
	return n, b.client.callError(b.ctx, b.addr, "read answer", true, err)
}

// atEnd judges an answer that ended without an error. A stream that lost its
// engine can end cleanly and short; its missing end mark shows it.
func (b *body) atEnd() error {
	if b.stream {
		if !bytes.Contains(b.tail, doneMark) {
			return errTooEarly
		}
		return nil
	}
	if b.endless {
		return errNoEnd
	}
	return nil
}

// remember keeps the last bytes of a stream.
func (b *body) remember(p []byte) {
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
	b.watch.stop()
	b.cancel()
	return b.resp.Body.Close()
}

// watchdog calls bark when it was not fed for a while.
type watchdog struct {
	mu      sync.Mutex
	timer   *time.Timer
	patient time.Duration
}

func newWatchdog(patient time.Duration, bark func()) *watchdog {
	w := &watchdog{patient: patient}
	if patient > 0 {
		w.timer = time.AfterFunc(patient, bark)
	}
	return w
}

func (w *watchdog) feed() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.timer.Reset(w.patient)
	}
}

func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.timer.Stop()
		w.timer = nil
	}
}
