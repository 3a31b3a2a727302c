package jwlog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// queueBytes is what a Queue holds at most until it is written: about a
// thousand lines, a second of a busy node.
const queueBytes = 256 << 10

// Queue writes lines to W without ever making the caller wait: when W is not
// read, lines are dropped and counted. Set W before use, then call Run.
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

// Write implements io.Writer; it keeps one line or drops it.
func (q *Queue) Write(line []byte) (int, error) { return q.put(line, queueBytes) }

// Minor returns a writer for lines that are dropped first: those of requests
// that were served, which nobody will ask about.
func (q *Queue) Minor() io.Writer { return minor{q} }

type minor struct{ q *Queue }

func (m minor) Write(line []byte) (int, error) { return m.q.put(line, queueBytes/2) }

func (q *Queue) put(line []byte, most int) (int, error) {
	q.init()
	q.mu.Lock()
	if len(q.pending)+len(line) > most {
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

// lostLine tells how many lines were dropped since the start.
func lostLine(now time.Time, lost int64) []byte {
	return fmt.Appendf(nil, `{"level":"info","time":%q,"message":"log lines lost","lines":%d}`+"\n", now.UTC().Format(time.RFC3339Nano), lost)
}

// gather is how long lines are collected before they are written together.
const gather = 20 * time.Millisecond

// Run writes lines until done is closed and nothing is left.
func (q *Queue) Run(done <-chan struct{}) {
	q.init()
	var spare []byte
	told := int64(0) // lost lines that a line told of
	for {
		ended := false
		select {
		case <-q.wake:
			select {
			case <-done:
			case <-time.After(gather):
			}
		case <-done:
			ended = true
		}
		q.mu.Lock()
		lines := q.pending
		q.pending = spare[:0]
		q.mu.Unlock()
		if len(lines) > 0 {
			// Nobody could be told that the log itself can't be written.
			_, _ = q.W.Write(lines)
		}
		spare = lines
		if lost := q.Lost(); lost > told {
			_, _ = q.W.Write(lostLine(time.Now(), lost))
			told = lost
		}
		if ended {
			return
		}
	}
}
