package jwconn

import (
	"bytes"
	"io"

	"github.com/pkg/errors"

	"jujubewheel/core/jwmemory"
)

const (
	// maxHeadBytes limits the bytes of an answer's head, with those of the informational responses
	// and the heads of other answers before it. A faulty peer may send a head that never ends.
	maxHeadBytes = 32 << 10
	// headLineBytes is what a line of a head takes beside its bytes, as a parsed header.
	headLineBytes = 96
)

var (
	// errHeadTooLong is the cause if a head exceeds maxHeadBytes.
	errHeadTooLong = errors.New("the head of the answer is too long")
	// ErrNoMemory is the cause if an answer was given up because the process may hold no more.
	ErrNoMemory = errors.New("no memory for the answer")
)

// headLimiter reads from a connection, limits what is read of a head and accounts for it.
type headLimiter struct {
	r       io.Reader
	left    int
	limited bool              // a head is being read
	holding *jwmemory.Holding // of the answer being read
	held    int64             // bytes accounted for the head
}

// begin prepares for the head of an answer.
func (l *headLimiter) begin(h *jwmemory.Holding) { l.left, l.holding, l.held = maxHeadBytes, h, 0 }

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.limited {
		return l.r.Read(p)
	}
	if l.left <= 0 {
		return 0, errHeadTooLong
	}
	n, err := l.r.Read(p[:min(len(p), l.left)])
	l.left -= n
	l.held += int64(n + headLineBytes*bytes.Count(p[:n], []byte{'\n'}))
	if l.held > jwmemory.FreeBytes && !l.holding.Set(l.held) {
		return 0, ErrNoMemory
	}
	return n, err
}
