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

// loopback is a loopback address that other programs hardly use, so that a port stays free between
// freeAddr and the start of a node.
var loopback = fmt.Sprintf("127.%d.%d.1", 1+os.Getpid()>>8%250, os.Getpid()&255)

func mustListen() net.Listener {
	l, err := net.Listen("tcp", loopback+":0")
	must(err)
	return l
}

var givenAddrs = map[string]bool{}

// freeAddr returns a loopback address with a port that was free a moment ago, each only once.
func freeAddr() string {
	for {
		l := mustListen()
		a := l.Addr().String()
		l.Close()
		if !givenAddrs[a] {
			givenAddrs[a] = true
			return a
		}
	}
}
