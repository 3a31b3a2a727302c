package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["burst"] = burst }

// burst plays many users who come at once, with requests that are all in order.
func burst(trouble bool) string {
	const (
		usual   = 320 // clients, each of which sends a request each period
		factor  = 2.5
		period  = 2200 * time.Millisecond
		size    = 100000
		length  = 20 * time.Second
		during  = 10 * time.Second // of the burst, which begins after length/4
		runners = 12
	)
	s := newSystem(map[string]string{"amman-a": "amman"})
	defer s.close()
	n := s.addNode("edge-amman-a-1", "amman-a")
	for i := range runners {
		s.addRunner(fmt.Sprintf("i-%04d", i), "menu-writer", "amman-a", 64, stream(10, 210*time.Millisecond))
	}
	s.config(map[string]any{
		"Version":  3,
		"Services": []any{map[string]any{"Name": "menu-writer", "HealthPath": "/healthz", "MaxConns": 370, "WarmupS": 0, "WarmupPerS": 0}},
		"Routes": []any{map[string]any{
			"Name": "menu-draft", "Host": "h.example", "Prefix": "/draft/", "Kind": "stream", "TimeoutMs": 5000,
			"GoalMs": 1000, "GapAimMs": 300, "Priority": 1, "Service": "menu-writer", "MaxAttempts": 2, "Resumable": true,
		}},
		"Limits": limits,
	})
	n.start()
	n.mustBeReady()
	s.log("from here on the record has the requests that weren't served, and a line a second")
	s.quiet.Store(true)

	body := strings.Repeat("x", size)
	var sent, served, promised, denied, other atomic.Int64
	var ended sync.Map // by id: requests without a complete answer
	use := func(client, k int, c *client) {
		id := fmt.Sprintf("%04x%08x", client, k)
		sent.Add(1)
		a := c.send(n, id, "POST", "/draft/x", 5*time.Second, body)
		switch {
		case a.Status == http.StatusOK && a.Complete:
			served.Add(1)
			return
		case a.Status == http.StatusServiceUnavailable || a.Status == http.StatusTooManyRequests || a.Status == http.StatusRequestTimeout:
			promised.Add(1)
		case a.Status >= 300 && a.Status < 500:
			denied.Add(1)
			s.say("%s is ended with status %d: %q", id, a.Status, a.Body)
		default:
			other.Add(1)
			ended.Store(id, a)
			s.say("%s ends with status %d: %v", id, a.Status, a.Err)
		}
		c.http.CloseIdleConnections() // the next request comes over a new connection
	}
	begin := time.Now()
	var all sync.WaitGroup
	run := func(from, to int, until time.Duration) {
		for i := from; i < to; i++ {
			all.Go(func() {
				c := s.newClient()
				defer c.http.CloseIdleConnections()
				// The clients' requests are spread evenly over the period, however they end.
				next := time.Now().Add(time.Duration(i*37%100) * period / 100)
				for k := 0; ; k++ {
					time.Sleep(time.Until(next))
					if time.Since(begin) >= until {
						return
					}
					use(i, k, c)
					for next = next.Add(period); time.Now().After(next); {
						next = next.Add(period)
					}
				}
			})
		}
	}
	run(0, usual, length)
	if trouble {
		time.AfterFunc(length/4, func() { run(usual, int(factor*usual), length/4+during) })
	}
	for time.Since(begin) < length+3*time.Second {
		time.Sleep(time.Second)
		s.say("%d sent, %d served, %d refused with a promise, %d ended with another 3xx or 4xx, %d else", sent.Load(), served.Load(), promised.Load(), denied.Load(), other.Load())
	}
	all.Wait()
	lost := 0
	s.mu.Lock()
	for _, r := range s.runs {
		if v, ok := ended.Load(r.ID); ok {
			a := v.(answer)
			s.say("%s was run by %s %.3f s after it was sent, and its connection ended after %.3f s: status %d, %d bytes, %v",
				r.ID, r.Runner, r.At.Sub(a.Sent).Seconds(), a.At.Sub(a.Sent).Seconds(), a.Status, len(a.Body), a.Err)
			lost++
		}
	}
	s.mu.Unlock()
	s.say("%d requests were passed on to a runner and their connection was closed without an answer", lost)
	if k := denied.Load(); float64(k) > 5+float64(sent.Load())/500 {
		return fmt.Sprintf("DENIED: %d of %d requests, all in order, were ended with a 4xx of the node", k, sent.Load())
	}
	return ""
}
