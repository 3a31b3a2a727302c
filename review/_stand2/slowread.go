package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["slowread"] = slowRead }

// slowRead plays clients that read long answers slowly.
func slowRead(trouble bool) string {
	const (
		size    = 3 << 20
		callers = 8
		each    = 3
	)
	s := newSystem(map[string]string{"punjab-a": "punjab"})
	defer s.close()
	n := s.addNode("edge-punjab-a-1", "punjab-a")
	for i := range 2 {
		s.addRunner(fmt.Sprintf("i-%d", i), "parcel-app", "punjab-a", 6, func(x *runner, w http.ResponseWriter, r *http.Request, _ []byte) {
			time.Sleep(30 * time.Millisecond)
			id := r.Header.Get("Jujubewheel-Request-Id")
			text := fmt.Sprintf("%s by %s ", id, x.id)
			if strings.HasSuffix(r.URL.Path, "/long") {
				text += strings.Repeat("x", size-len(text))
			}
			w.Header().Set("Content-Length", fmt.Sprint(len(text)))
			k, err := io.WriteString(w, text)
			if err == nil {
				err = http.NewResponseController(w).Flush()
			}
			s.log("runner %s has sent %d bytes of its answer to %s: %v", x.id, k, id, err)
		})
	}
	s.config(map[string]any{
		"Version":  3,
		"Services": []any{map[string]any{"Name": "parcel-app", "HealthPath": "/healthz", "MaxConns": 590, "WarmupS": 0, "WarmupPerS": 0}},
		"Routes": []any{map[string]any{
			"Name": "parcel-lookup", "Host": "h.example", "Prefix": "/lookup/", "Kind": "idempotent", "TimeoutMs": 8000,
			"GoalMs": 500, "Priority": 2, "Service": "parcel-app", "MaxAttempts": 2,
		}},
		"Limits": limits,
	})
	n.start()
	n.mustBeReady()
	var lost atomic.Int64
	var all sync.WaitGroup
	for i := range callers {
		all.Go(func() {
			time.Sleep(time.Duration(i) * 150 * time.Millisecond)
			for k := range each {
				c := dialEthernet(n.callers)
				r := bufio.NewReader(c)
				s.lookup(c, r, fmt.Sprintf("a%02d%02d", i, k), "/lookup/short", 0)
				if !s.lookup(c, r, fmt.Sprintf("b%02d%02d", i, k), "/lookup/long", map[bool]int{true: 600 << 10}[trouble]) {
					lost.Add(1)
				}
				c.Close()
			}
		})
	}
	all.Wait()
	if k := lost.Load(); k > 3 {
		return fmt.Sprintf("LOST: %d of %d requests from kept connections were passed on to sound runners, and their connections closed without an answer", k, callers*each)
	}
	return ""
}

// dialEthernet connects with segments as on an Ethernet, and a small window.
func dialEthernet(at string) net.Conn {
	d := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			must(syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1460))
			must(syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 32<<10))
		})
	}}
	c, err := d.DialContext(context.Background(), "tcp", at)
	must(err)
	return c
}

// lookup sends a request and reads its answer at a rate in bytes a second, 0 for at once. It reports whether the answer
// came completely.
func (s *system) lookup(c net.Conn, r *bufio.Reader, id, path string, rate int) bool {
	_ = c.SetDeadline(time.Now().Add(15 * time.Second))
	fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h.example\r\nJujubewheel-Request-Id: %s\r\nJujubewheel-Deadline-Ms: 8000\r\n\r\n", path, id)
	s.log("client sends %s %s", id, path)
	start := time.Now()
	res, err := http.ReadResponse(r, nil)
	if err != nil {
		s.log("client gets no answer to %s: %v", id, err)
		return false
	}
	defer res.Body.Close()
	read := 0
	b := make([]byte, 4<<10)
	for {
		if rate > 0 {
			time.Sleep(time.Duration(len(b)) * time.Second / time.Duration(rate))
		}
		k, err := res.Body.Read(b)
		read += k
		if err == io.EOF {
			s.log("client has the answer to %s: status %d, %d bytes in %.1f s", id, res.StatusCode, read, time.Since(start).Seconds())
			return true
		}
		if err != nil {
			s.log("the connection of %s ends in the answer: status %d, %d bytes in %.1f s: %v", id, res.StatusCode, read, time.Since(start).Seconds(), err)
			return false
		}
	}
}
