package jwgateway

import (
	"context"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-logr/logr"

	"jujubewheel/core/jwentry"
	"jujubewheel/io/jwconn"
	"jujubewheel/io/jwrest"
)

// callerLink limits how long the events of a stream may stay unacknowledged by the caller. A caller that has
// lost its path to the node takes the stream up elsewhere. The zero value does nothing.
type callerLink struct {
	conn  syscall.Conn
	log   logr.Logger
	stall *time.Timer // lifts the limit from a caller that reads slowly
	off   atomic.Bool
}

// limitUnacknowledged sets the limit for a stream that its caller may take up elsewhere. release must be called
// at the end of the request.
func (g *Gateway) limitUnacknowledged(ctx context.Context, q *request) *callerLink {
	l := &callerLink{log: g.Log}
	if q.forwarded || q.entry.Kind != jwentry.Stream || !q.entry.Resumable {
		return l
	}
	conn, ok := jwrest.Conn(ctx).(syscall.Conn)
	if !ok {
		return l
	}
	l.conn = conn
	l.set(jwconn.UserTimeout)
	l.stall = time.AfterFunc(time.Hour, l.release)
	l.stall.Stop()
	return l
}

// beginWrite is called before a write to the caller. The system takes a caller that reads nothing for one that
// is gone: the limit is lifted as soon as a write waits.
func (l *callerLink) beginWrite() {
	if l.stall != nil && !l.off.Load() {
		l.stall.Reset(slowWrite)
	}
}

func (l *callerLink) endWrite() {
	if l.stall != nil {
		l.stall.Stop()
	}
}

// release lifts the limit for the rest of the request.
func (l *callerLink) release() {
	if l.conn != nil && l.off.CompareAndSwap(false, true) {
		l.set(0)
	}
}

func (l *callerLink) set(d time.Duration) {
	if err := jwconn.SetUserTimeout(l.conn, d); err != nil {
		l.log.V(1).Info("failed to limit unacknowledged bytes", "error", err.Error())
	}
}
