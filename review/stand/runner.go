package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is a request that a runner began to work on.
type run struct {
	id, method, path, query string
	header                  http.Header
	runner                  string
	at                      time.Time
}

// runner stands in for a runner: it serves one request at a time on a connection.
type runner struct {
	id, service, zone, addr string
	version                 string
	slots                   int
	listener                net.Listener
	store                   *store
	rec                     *record
	// work answers a request that runs. It returns false if the connection is to be closed.
	work func(x *runner, c net.Conn, r *http.Request) bool
	// refuse, if set, may answer that the request isn't run, and then returns true.
	refuse func(c net.Conn, r *http.Request) bool

	mu   sync.Mutex
	runs []run
	stop chan struct{}
}

func startRunner(s *store, rec *record, id, service, zone string, work func(*runner, net.Conn, *http.Request) bool) *runner {
	x := &runner{id: id, service: service, zone: zone, store: s, rec: rec, work: work, slots: 64, version: "1", stop: make(chan struct{})}
	x.listener = mustListen()
	x.addr = x.listener.Addr().String()
	go func() {
		for {
			c, err := x.listener.Accept()
			if err != nil {
				return
			}
			go x.serve(c)
		}
	}()
	born := time.Now().UnixMilli()
	go func() {
		for seq := 1; ; seq++ {
			entry := map[string]any{
				"Service": service, "Addr": x.addr, "Zone": zone, "Version": x.version, "Slots": x.slots,
				"State": "ready", "WarmupLeftMs": 0, "Seq": seq, "born": born,
			}
			s.set("servers/"+id, entry)
			select {
			case <-time.After(1200 * time.Millisecond):
			case <-x.stop:
				return
			}
		}
	}()
	return x
}

func (x *runner) serve(c net.Conn) {
	defer c.Close()
	b := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(b)
		if err != nil {
			return
		}
		if r.URL.Path == "/healthz" {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nJujubewheel-Instance-Id: %s\r\nJujubewheel-Server-Load: 0,0,%d\r\n\r\n", x.id, x.slots)
			continue
		}
		id := r.Header.Get("Jujubewheel-Request-Id")
		switch want := r.Header.Get("Jujubewheel-Expect-Instance"); {
		case want != "" && want != x.id:
			io.Copy(io.Discard, r.Body)
			x.rec.line("runner %s refuses %s with 421", x.id, id)
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\nJujubewheel-Request-Id: %s\r\nJujubewheel-Not-Run: 1\r\n\r\n", id)
			continue
		case id == "":
			io.Copy(io.Discard, r.Body)
			fmt.Fprintf(c, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nJujubewheel-Not-Run: 1\r\n\r\n")
			continue
		}
		if x.refuse != nil && x.refuse(c, r) {
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			continue
		}
		x.mu.Lock()
		x.runs = append(x.runs, run{id, r.Method, r.URL.Path, r.URL.RawQuery, r.Header.Clone(), x.id, time.Now()})
		x.mu.Unlock()
		x.rec.line("runner %s runs %s %s %s, content length %d", x.id, id, r.Method, r.URL.RequestURI(), r.ContentLength)
		if !x.work(x, c, r) {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			x.rec.line("runner %s: the body of %s broke off: %v", x.id, id, err)
			return
		}
	}
}

// allRuns returns what the runner has run so far.
func (x *runner) allRuns() []run {
	x.mu.Lock()
	defer x.mu.Unlock()
	return append([]run(nil), x.runs...)
}

// head returns the head of a successful answer to a request.
func (x *runner) head(r *http.Request, length int) string {
	return "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: " + strconv.Itoa(length) +
		"\r\nJujubewheel-Request-Id: " + r.Header.Get("Jujubewheel-Request-Id") +
		"\r\nJujubewheel-Server-Load: 1,0," + strconv.Itoa(x.slots) +
		"\r\nJujubewheel-Server-Seal: " + x.id + "." + r.Header.Get("Jujubewheel-Request-Id") + "\r\n\r\n"
}

// answerWhole reads the whole body and answers.
func answerWhole(x *runner, c net.Conn, r *http.Request) bool {
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		x.rec.line("runner %s: the body of %s broke off: %v", x.id, r.Header.Get("Jujubewheel-Request-Id"), err)
		return false
	}
	body := fmt.Sprintf("done %s, %d bytes read\n", r.Header.Get("Jujubewheel-Request-Id"), n)
	io.WriteString(c, x.head(r, len(body))+body)
	return true
}
