package main

import (
	"fmt"
	"net"
	"os"
	"sync"
	"time"
)

// record is the file that says what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	must(err)
	return &record{f: f, start: time.Now()}
}

func (r *record) line(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, a...)...)
}

// cantRun ends the case with the status that says that it couldn't run.
type cantRun struct{ err error }

func must(err error) {
	if err != nil {
		panic(cantRun{err})
	}
}

func mustListen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	return l
}

// freeAddr returns a loopback address with a port that was free a moment ago.
func freeAddr() string {
	l := mustListen()
	defer l.Close()
	return l.Addr().String()
}
