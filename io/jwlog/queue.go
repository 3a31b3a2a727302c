package jwlog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// maxQueueBytes is the maximum size of the lines that wait in a Queue: about a thousand
// lines, which a busy node logs in a second.
const maxQueueBytes = 256 << 10

// Queue writes lines to W without blocking the caller: when W is not read, lines
// are dropped and counted. Set W before use, then call Run.
type Queue struct {
	W io.Writer

	mu      sync.Mutex
	pending []byte
	wake    chan struct{}
	once    sync.Once
	lost    atomic.Int64
}

func (q *Queue) init() { q.once.Do(func() { q.wake = make(chan struct{}, 1) }) }

// Lost returns how many lines were dropped so far.
func (q *Queue) Lost() int64 { return q.lost.Load() }

// Write implements io.Writer; it queues one line or drops it.
func (q *Queue) Write(line []byte) (int, error) { return q.put(line, maxQueueBytes) }

// DropFirst returns a writer for lines that are dropped first, when the queue is half
// full: those of served requests, which operators do not ask about.
func (q *Queue) DropFirst() io.Writer { return minor{q} }

type minor struct{ q *Queue }

func (m minor) Write(line []byte) (int, error) { return m.q.put(line, maxQueueBytes/2) }

func (q *Queue) put(line []byte, limit int) (int, error) {
	q.init()
	q.mu.Lock()
	if len(q.pending)+len(line) > limit {
		q.mu.Unlock()
		q.lost.Add(1)
		return len(line), nil
	}
	q.pending = append(q.pending, line...)
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// lostLine returns a line that reports how many were dropped since the start.
func lostLine(now time.Time, lost int64) []byte {
	return fmt.Appendf(nil, `{"level":"info","time":%q,"message":"log lines lost","lines":%d}`+"\n", now.UTC().Format(time.RFC3339Nano), lost)
}

// batchInterval is how long lines are collected before they are written together.
const batchInterval = 20 * time.Millisecond

// Run writes lines until done is closed and the queue is empty.
func (q *Queue) Run(done <-chan struct{}) {
	q.init()
	var spare []byte
	reported := int64(0) // lost lines that were reported
	for {
		ended := false
		select {
		case <-q.wake:
			select {
			case <-done:
			case <-time.After(batchInterval):
			}
		case <-done:
			ended = true
		}
		q.mu.Lock()
		lines := q.pending
		q.pending = spare[:0]
		q.mu.Unlock()
		if len(lines) > 0 {
			// An error of writing the log can't be reported anywhere.
			_, _ = q.W.Write(lines)
		}
		spare = lines
		if lost := q.Lost(); lost > reported {
			_, _ = q.W.Write(lostLine(time.Now(), lost))
			reported = lost
		}
		if ended {
			return
		}
	}
}
