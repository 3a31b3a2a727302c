package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["resume"] = resume }

// resume plays clients that take a stream up at another node after their connection is broken.
func resume(trouble bool) string {
	const (
		clients = 40
		events  = 40
		gap     = 100 * time.Millisecond
		allowed = 400 * time.Millisecond
	)
	s := newSystem(map[string]string{"amman-a": "amman"})
	defer s.close()
	a, b := s.addNode("edge-amman-a-1", "amman-a"), s.addNode("edge-amman-a-2", "amman-a")
	spans := &spans{list: map[string][]*span{}}
	for i := range 4 {
		s.addRunner(fmt.Sprintf("i-%d", i), "menu-writer", "amman-a", 64, func(x *runner, w http.ResponseWriter, r *http.Request, _ []byte) {
			spans.run(x, r, func() { stream(events, gap)(x, w, r, nil) })
		})
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
	a.start()
	b.start()
	a.mustBeReady()
	b.mustBeReady()
	time.Sleep(12 * time.Second) // until the nodes know which version of the runners may have begun a stream

	var all sync.WaitGroup
	for i := range clients {
		all.Go(func() {
			time.Sleep(time.Duration(i) * 70 * time.Millisecond)
			id := fmt.Sprintf("c%02d", i)
			c, err := net.Dial("tcp", a.callers)
			must(err)
			defer c.Close()
			last := s.readEvents(c, id, "first", 5)
			switch {
			case i%2 == 0: // half of the connections stay
				s.log("client keeps %s-first", id)
				time.Sleep(events * gap)
				return
			case trouble:
				s.log("the connection of %s-first is broken at the client's side", id)
				loseSide(c)
			default:
				s.log("client closes the connection of %s-first", id)
				c.Close()
			}
			for k := 0; k < 5; k++ {
				again, err := net.Dial("tcp", b.callers)
				must(err)
				defer again.Close()
				if got := s.readEvents(again, id, fmt.Sprintf("again%d", k), events, "Last-Event-Id: "+last); got != last {
					return
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	all.Wait()
	time.Sleep(2 * time.Second)
	worst, count, resumed := time.Duration(0), 0, 0
	for i := 1; i < clients; i += 2 {
		d, ok := spans.overlap(fmt.Sprintf("c%02d", i))
		s.log("c%02d: went on at another runner: %v; the runner before worked on for %v", i, ok, d.Round(time.Millisecond))
		if ok {
			resumed++
		}
		if ok && d > allowed {
			count++
			worst = max(worst, d)
		}
	}
	s.log("%d streams went on at another runner", resumed)
	if resumed == 0 {
		panic("no stream went on at another runner")
	}
	if count > 0 {
		return fmt.Sprintf("TWICE: %d of %d streams went on at another runner while the runner before worked on for over 400 ms, up to %v", count, resumed, worst.Round(time.Millisecond))
	}
	return ""
}

// loseSide makes the system drop what comes for a connection, without a word to the other side.
func loseSide(c net.Conn) {
	raw, err := c.(*net.TCPConn).SyscallConn()
	must(err)
	must(raw.Control(func(fd uintptr) {
		must(syscall.AttachLsf(int(fd), []syscall.SockFilter{*syscall.LsfStmt(syscall.BPF_RET|syscall.BPF_K, 0)}))
	}))
}

// readEvents sends a request for a stream and reads up to a number of events. It returns the identifier of the last one,
// or the one that it began at if there was none.
func (s *system) readEvents(c net.Conn, id, attempt string, most int, more ...string) (last string) {
	for _, h := range more {
		last = strings.TrimPrefix(h, "Last-Event-Id: ")
	}
	_ = c.SetDeadline(time.Now().Add(6 * time.Second))
	id += "-" + attempt
	fmt.Fprintf(c, "POST /draft/x HTTP/1.1\r\nHost: h.example\r\nJujubewheel-Request-Id: %s\r\nJujubewheel-Deadline-Ms: 5000\r\nContent-Length: 6\r\n%s\r\nprompt",
		id, strings.Join(append(more, ""), "\r\n"))
	s.log("client sends %s %s", id, strings.Join(more, ", "))
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || res.StatusCode != http.StatusOK {
		s.log("client gets no stream for %s: %v", id, err)
		return last
	}
	r := bufio.NewReader(res.Body)
	n := 0
	for n < most {
		line, err := r.ReadString('\n')
		if v, ok := strings.CutPrefix(line, "id: "); ok {
			last = strings.TrimSpace(v)
			n++
		}
		if err == io.EOF {
			s.log("client has %s to its end, event %s", id, last)
			return last
		}
		if err != nil {
			s.log("the stream of %s ends after event %s: %v", id, last, err)
			return last
		}
	}
	s.log("client has event %s of %s", last, id)
	return last
}

// span is a time for which a runner worked on a stream.
type span struct {
	runner     string
	begin, end time.Time
}

// spans are those of each client's attempts.
type spans struct {
	mu   sync.Mutex
	list map[string][]*span
}

func (p *spans) run(x *runner, r *http.Request, work func()) {
	client, _, _ := strings.Cut(r.Header.Get("Jujubewheel-Request-Id"), "-")
	p.mu.Lock()
	v := &span{runner: x.id, begin: time.Now()}
	p.list[client] = append(p.list[client], v)
	p.mu.Unlock()
	work()
	p.mu.Lock()
	v.end = time.Now()
	p.mu.Unlock()
}

// overlap returns for how long the first runner of a client's stream worked on after another one had begun.
func (p *spans) overlap(client string) (d time.Duration, other bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.list[client]
	for _, v := range list[min(1, len(list)):] {
		if v.runner != list[0].runner {
			other = true
			d = max(d, list[0].end.Sub(v.begin))
		}
	}
	return max(d, 0), other
}
