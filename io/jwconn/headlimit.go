package jwconn

import (
	"io"

	"github.com/pkg/errors"
)

// maxHeadBytes limits the bytes of an answer's head, with those of the informational responses and
// the heads of other answers before it. A faulty peer may send a head that never ends.
const maxHeadBytes = 32 << 10

// errHeadTooLong is the cause if a head exceeds maxHeadBytes.
var errHeadTooLong = errors.New("the head of the answer is too long")

// headLimiter reads from a connection and limits what is read of a head.
type headLimiter struct {
	r       io.Reader
	left    int
	limited bool // a head is being read
}

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
	return n, err
}
