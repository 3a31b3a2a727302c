package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["release"] = release }

// release plays releases, one after the other: the runners of a service are replaced one at a time, the new one starts
// first, and the old one drains.
func release(trouble bool) string {
	const (
		runners = 12
		slots   = 64
		callers = 720
		gap     = 870 * time.Millisecond
		drain   = 4 * time.Second
		length  = 98 * time.Second
		contact = 6 * time.Second // ContactMs
	)
	s := newSystem(map[string]string{"amman-a": "amman"})
	defer s.close()
	n := s.addNode("edge-amman-a-1", "amman-a")
	serial := 0
	start := func() *runner {
		serial++
		return s.addRunner(fmt.Sprintf("i-%04d", serial), "menu-writer", "amman-a", slots, stream(12, 150*time.Millisecond))
	}
	var list []*runner
	for range runners {
		list = append(list, start())
	}
	s.config(map[string]any{
		"Version":  3,
		"Services": []any{map[string]any{"Name": "menu-writer", "HealthPath": "/healthz", "MaxConns": 370, "WarmupS": 0, "WarmupPerS": 0}},
		"Routes": []any{map[string]any{
			"Name": "quick-reply", "Host": "h.example", "Prefix": "/quick/", "Kind": "stream", "TimeoutMs": 15000,
			"GoalMs": 1500, "GapAimMs": 300, "Priority": 0, "Service": "menu-writer", "MaxAttempts": 1,
		}},
		"Limits": limits,
	})
	n.start()
	n.mustBeReady()
	s.log("from here on the record has a line a second, and one for each runner that ends")
	s.quiet.Store(true)

	var served, refused, failed atomic.Int64
	var done atomic.Bool
	var all sync.WaitGroup
	for i := range callers {
		c := s.newClient()
		all.Go(func() {
			for k := 0; !done.Load(); k++ {
				a := c.send(n, fmt.Sprintf("%04x%08x", i, k), "POST", "/quick/x", 15*time.Second, "prompt", "Jujubewheel-Token-Count", "100,12")
				switch {
				case a.Status == http.StatusOK && a.Complete:
					served.Add(1)
					continue
				case a.Status == http.StatusServiceUnavailable:
					refused.Add(1)
				default:
					failed.Add(1)
				}
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	ready := n.watchReady()
	var lastTaken atomic.Int64 // when a new connection was last taken, in Unix nanoseconds
	lastTaken.Store(time.Now().UnixNano())
	since := func() time.Duration { return time.Since(time.Unix(0, lastTaken.Load())) }
	go func() {
		for k := 0; !done.Load(); k++ {
			if n.takesConnection(8, fmt.Sprintf("new%04x", k)) {
				lastTaken.Store(time.Now().UnixNano())
			}
			s.say("%d served, %d refused, %d failed; %d descriptors of the node are open; it says that it is ready: %v; a new connection was taken %.1f s ago",
				served.Load(), refused.Load(), failed.Load(), n.descriptors(), ready(), since().Seconds())
			time.Sleep(time.Second)
		}
	}()

	broken := ""
	for begin := time.Now(); time.Since(begin) < length && broken == ""; time.Sleep(gap) {
		if trouble {
			old := list[0]
			list = append(list[1:], start())
			go func() {
				time.Sleep(300 * time.Millisecond)
				old.leave(drain)
			}()
		}
		if d := since(); d > contact+time.Second && ready() {
			broken = fmt.Sprintf("RECOVER: the node says that it is ready and took no new connection for %.1f s, while eight clients tried", d.Seconds())
		}
	}
	s.say("%d runners were started; %d served, %d refused, %d failed", serial, served.Load(), refused.Load(), failed.Load())
	done.Store(true)
	n.kill()
	all.Wait()
	return broken
}

// descriptors returns how many descriptors the process of the node has open.
func (n *node) descriptors() int {
	list, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.cmd.Process.Pid))
	return len(list)
}

// watchReady asks once a second over a kept connection whether the node is ready, and returns the last answer.
func (n *node) watchReady() func() bool {
	var last atomic.Bool
	c := http.Client{Timeout: time.Second}
	ask := func() {
		res, err := c.Get("http://" + n.ready + "/v1/readyz")
		if err == nil {
			res.Body.Close()
		}
		last.Store(err == nil && res.StatusCode == http.StatusOK)
	}
	ask()
	go func() {
		for {
			time.Sleep(time.Second)
			ask()
		}
	}()
	return last.Load
}

// takesConnection reports whether a request of one of some clients, each over a new connection, is answered within a
// second.
func (n *node) takesConnection(clients int, id string) bool {
	var ok atomic.Bool
	var all sync.WaitGroup
	for i := range clients {
		all.Go(func() {
			c, err := net.DialTimeout("tcp", n.callers, time.Second)
			if err != nil {
				return
			}
			defer c.Close()
			_ = c.SetDeadline(time.Now().Add(time.Second))
			fmt.Fprintf(c, "GET /none/ HTTP/1.1\r\nHost: h.example\r\nJujubewheel-Request-Id: %s%d\r\nJujubewheel-Deadline-Ms: 5000\r\n\r\n", id, i)
			var b [16]byte
			if k, _ := c.Read(b[:]); k > 0 {
				ok.Store(true)
			}
		})
	}
	all.Wait()
	return ok.Load()
}
