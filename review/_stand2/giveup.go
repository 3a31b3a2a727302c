package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["giveup"] = giveUp }

// giveUp plays clients of whom some leave before their deadline.
func giveUp(trouble bool) string {
	const (
		slots   = 16
		callers = 30
		size    = 110000
		// clients leave for some seconds at a time, as give_up does
		episodes = 6
		episode  = 5 * time.Second
		between  = time.Second
	)
	s := newSystem(map[string]string{"sapporo-a": "sapporo"})
	defer s.close()
	n := s.addNode("edge-sapporo-a-1", "sapporo-a")
	x := s.addNoting("i-1", "draft-model", "sapporo-a", slots, stream(9, 200*time.Millisecond))
	s.config(map[string]any{
		"Version": 3,
		"Services": []any{map[string]any{
			"Name": "draft-model", "HealthPath": "/healthz", "MaxConns": 570, "WarmupS": 0, "WarmupPerS": 0,
			"Engine": map[string]any{"Slots": slots, "KvCapacity": 212365, "Stride": 6},
		}},
		"Routes": []any{map[string]any{
			"Name": "reminder-draft", "Host": "h.example", "Prefix": "/draft/", "Kind": "stream", "TimeoutMs": 5000,
			"GoalMs": 2000, "GapAimMs": 300, "Priority": 1, "Service": "draft-model", "MaxAttempts": 2, "Resumable": true, "Sticky": true,
		}},
		"Limits": limits,
	})
	n.start()
	n.mustBeReady()
	var done atomic.Bool
	var all sync.WaitGroup
	var statuses sync.Map
	body := strings.Repeat("x", size)
	begin := time.Now()
	for i := range callers {
		c := s.newClient()
		all.Go(func() {
			time.Sleep(time.Duration(i) * 60 * time.Millisecond)
			for k := 0; !done.Load(); k++ {
				a := c.send(n, fmt.Sprintf("a%03x%08x", i, k), "POST", "/draft/x", 5*time.Second, body, "Jujubewheel-Token-Count", "2000,54")
				v, _ := statuses.LoadOrStore(a.Status, new(atomic.Int64))
				v.(*atomic.Int64).Add(1)
				if a.Status != http.StatusOK {
					time.Sleep(300 * time.Millisecond)
				}
			}
		})
	}
	left := map[string]time.Time{} // when a client closed its connection
	var mu sync.Mutex
	if trouble {
		for i := range 10 {
			all.Go(func() {
				time.Sleep(time.Duration(i) * 97 * time.Millisecond)
				for k := 0; !done.Load(); k++ {
					if time.Since(begin)%(episode+between) >= episode-200*time.Millisecond {
						time.Sleep(20 * time.Millisecond)
						continue
					}
					id := fmt.Sprintf("b%03x%08x", i, k)
					c, err := net.Dial("tcp", n.callers)
					must(err)
					fmt.Fprintf(c, "POST /draft/x HTTP/1.1\r\nHost: h.example\r\nJujubewheel-Request-Id: %s\r\nJujubewheel-Deadline-Ms: 5000\r\nJujubewheel-Token-Count: 2000,54\r\nContent-Length: %d\r\n\r\n", id, size)
					_, err = c.Write([]byte(body))
					must(err)
					s.log("client has sent %s", id)
					time.Sleep(150 * time.Millisecond)
					c.Close()
					mu.Lock()
					left[id] = time.Now()
					mu.Unlock()
					s.log("client closes the connection of %s", id)
					time.Sleep(850 * time.Millisecond)
				}
			})
		}
	}
	time.Sleep(episodes * (episode + between))
	done.Store(true)
	all.Wait()
	time.Sleep(2 * time.Second)
	late := 0
	for id, at := range left {
		if reached, ok := x.at(id); ok && reached.Sub(at) > 500*time.Millisecond {
			late++
		}
	}
	statuses.Range(func(k, v any) bool { s.log("%v: %d answers", k, v.(*atomic.Int64).Load()); return true })
	s.log("%d clients left; %d requests reached the runner over 0.5 s later", len(left), late)
	if late > 3 {
		return fmt.Sprintf("GONE: %d requests reached a runner over 0.5 s after their client had closed its connection", late)
	}
	return ""
}

// notingRunner notes when the head of a request reached it.
type notingRunner struct {
	*runner
	mu  sync.Mutex
	ids map[string]time.Time
}

func (s *system) addNoting(id, service, zone string, slots int, work work) *notingRunner {
	x := &notingRunner{
		runner: &runner{
			s: s, id: id, service: service, zone: zone, version: "v1", born: time.Now().UnixMilli(), slots: slots, state: "ready",
			stop: make(chan struct{}), work: work, pace: true,
		},
		ids: map[string]time.Time{},
	}
	x.addr = serve("127.0.0.1:0", x).String()
	go x.beat()
	return x
}

// ServeHTTP implements http.Handler.
func (x *notingRunner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x.mu.Lock()
	x.ids[r.Header.Get("Jujubewheel-Request-Id")] = time.Now()
	x.mu.Unlock()
	x.runner.ServeHTTP(w, r)
}

func (x *notingRunner) at(id string) (time.Time, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	at, ok := x.ids[id]
	return at, ok
}
