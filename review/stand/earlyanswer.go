package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	batchHost   = "orders.example"
	pieceBytes  = 4 << 10
	pieces      = 26 // of an upload; the runner answers after answerAfter bytes
	answerAfter = 72 << 10
	piecePause  = 20 * time.Millisecond
	uploadPause = 200 * time.Millisecond // between the beginnings of two uploads
	// The dose of early answers: share of the answers of two in four runners, in episodes.
	earlyShare    = 0.02
	earlyEpisode  = 5 * time.Second
	earlyGap      = time.Second
	earlyEpisodes = 7
	// Each node has the usual traffic besides: so many clients with a small order each usualPause.
	usualClients = 3
	usualPause   = 100 * time.Millisecond
)

// orderConfig is a configuration with one route for requests that run at most once.
func orderConfig() map[string]any {
	return map[string]any{
		"Version": 12,
		"Routes": []any{map[string]any{
			"Name": "orders", "Host": batchHost, "Prefix": "/orders/", "Service": "order-desk", "Kind": "non_idempotent",
			"TimeoutMs": 4000, "GoalMs": 500, "Priority": 2, "MaxAttempts": 1,
		}},
		"Services": []any{map[string]any{"Name": "order-desk", "HealthPath": "/healthz", "MaxConns": 110, "WarmupS": 0, "WarmupPerS": 0}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 20000},
	}
}

// earlyAnswer: a client uploads a long body piece by piece. The runner answers before it has read all
// of it and reads on. The client sends the rest of its body, then its next request.
func earlyAnswer(f *fleet, s *store, rec *record, trouble bool) bool {
	s.set("op/config", orderConfig())
	early := &dose{length: earlyEpisode, gap: earlyGap, share: earlyShare, runners: map[string]bool{"i-order-1": true, "i-order-2": true}}
	work := answerWhole
	if trouble {
		work = func(x *runner, c net.Conn, r *http.Request) bool {
			if !early.answer(x, r.ContentLength > answerAfter) {
				return answerWhole(x, c, r)
			}
			rec.line("runner %s answers %s early", x.id, r.Header.Get("Jujubewheel-Request-Id"))
			if _, err := io.CopyN(io.Discard, r.Body, answerAfter); err != nil {
				return false
			}
			body := "enough\n"
			io.WriteString(c, x.head(r, len(body))+body)
			return true // the caller reads the rest of the body
		}
	}
	var runners []*runner
	for i := range 4 {
		runners = append(runners, startRunner(s, rec, fmt.Sprintf("i-order-%d", i+1), "order-desk", "amman-a", work))
	}
	var nodes []*node
	for range 3 {
		nodes = append(nodes, f.add("amman-a"))
	}
	for _, n := range nodes {
		f.start(n)
	}
	f.awaitReady(15 * time.Second)
	time.Sleep(3 * time.Second)
	sent := map[string]bool{}
	var mu sync.Mutex
	foreign := 0
	var wg, usual sync.WaitGroup
	done := make(chan struct{})
	for i, n := range nodes {
		for j := range usualClients {
			usual.Go(func() {
				usualTraffic(n.callers, fmt.Sprintf("%x%x", i+1, j), done, func(id string) {
					mu.Lock()
					defer mu.Unlock()
					sent[id] = true
				})
			})
		}
	}
	time.Sleep(time.Second)
	early.start()
	uploads := 0
	for end := time.Now().Add(earlyEpisodes * (earlyEpisode + earlyGap)); time.Now().Before(end); uploads++ {
		i := uploads
		wg.Go(func() {
			u := upload{rec: rec, addr: nodes[i%len(nodes)].callers, id: fmt.Sprintf("%016x", 0xa000+i)}
			mu.Lock()
			sent[u.id], sent[u.next()] = true, true
			mu.Unlock()
			if !u.run() {
				mu.Lock()
				foreign++
				mu.Unlock()
			}
		})
		time.Sleep(uploadPause)
	}
	wg.Wait()
	time.Sleep(500 * time.Millisecond)
	close(done)
	usual.Wait()
	smuggled := 0
	for _, x := range runners {
		for _, r := range x.allRuns() {
			if !sent[r.id] {
				smuggled++
				rec.line("UNASKED: runner %s has run %s %s, which no client sent", x.id, r.id, r.path)
			}
		}
	}
	spoiled, made := early.counts()
	sum := fmt.Sprintf("%d uploads, %d early answers in %d of two runners: %d requests run that no client sent, %d answers that belong to no request of the client",
		uploads, spoiled, made, smuggled, foreign)
	rec.line("%s", sum)
	fmt.Println(sum)
	return smuggled == 0
}

// usualTraffic sends small orders over a kept connection until done is closed.
func usualTraffic(addr, name string, done chan struct{}, sending func(id string)) {
	client := http.Client{Transport: &http.Transport{}, Timeout: 5 * time.Second}
	defer client.CloseIdleConnections()
	for i := 0; ; i++ {
		select {
		case <-done:
			return
		case <-time.After(usualPause):
		}
		id := fmt.Sprintf("d%s%012x", name, i)
		sending(id)
		r, _ := http.NewRequest("POST", "http://"+addr+"/orders/one", strings.NewReader("ok"))
		r.Host = batchHost
		r.Header.Set("Jujubewheel-Request-Id", id)
		r.Header.Set("Jujubewheel-Deadline-Ms", "4000")
		if res, err := client.Do(r); err == nil {
			io.Copy(io.Discard, res.Body)
			res.Body.Close()
		}
	}
}

// upload is a client's long request and the one that it sends next on the connection.
type upload struct {
	rec      *record
	addr, id string
}

func (u upload) next() string { return "b" + u.id[1:] }

// body returns the upload: a protocol of requests, as a till writes it, a piece for each.
func (u upload) body() []byte {
	var b bytes.Buffer
	for i := range pieces {
		head := fmt.Sprintf("POST /orders/confirm?n=%d HTTP/1.1\r\nHost: %s\r\nJujubewheel-Request-Id: c%s%02d\r\n"+
			"Jujubewheel-Deadline-Ms: 4000\r\n", i, batchHost, u.id[3:], i)
		rest := pieceBytes - len(head) - len("Content-Length: 0000\r\n\r\n")
		fmt.Fprintf(&b, "%sContent-Length: %04d\r\n\r\n%s", head, rest, strings.Repeat("x", rest))
	}
	return b.Bytes()
}

// run reports whether the client got only answers to its own requests.
func (u upload) run() bool {
	c, err := net.Dial("tcp", u.addr)
	must(err)
	defer c.Close()
	body := u.body()
	fmt.Fprintf(c, "POST /orders/batch HTTP/1.1\r\nHost: %s\r\nJujubewheel-Request-Id: %s\r\nJujubewheel-Deadline-Ms: 8000\r\nContent-Length: %d\r\n\r\n", batchHost, u.id, len(body))
	u.rec.line("client sends %s, %d bytes", u.id, len(body))
	type result struct {
		res  *http.Response
		body []byte
		err  error
	}
	answers := make(chan result, 4)
	go func() {
		b := bufio.NewReader(c)
		for {
			c.SetReadDeadline(time.Now().Add(8 * time.Second))
			res, err := http.ReadResponse(b, &http.Request{Method: "POST"})
			if err != nil {
				answers <- result{err: err}
				return
			}
			raw, err := io.ReadAll(res.Body)
			answers <- result{res, raw, err}
		}
	}()
	var first *result
	for i := range pieces {
		if _, err := c.Write(body[i*pieceBytes : (i+1)*pieceBytes]); err != nil {
			u.rec.line("client: the rest of %s can't be sent: %v", u.id, err)
			break
		}
		select {
		case a := <-answers:
			if first != nil {
				return u.judge(a.res, a.body, a.err, u.next())
			}
			first = &a
			if !u.judge(a.res, a.body, a.err, u.id) {
				return false
			}
			if a.err != nil || a.res.Close {
				return true // the node closes the connection, and the client sends no more on it
			}
		case <-time.After(piecePause):
		}
	}
	if first == nil {
		a := <-answers
		if !u.judge(a.res, a.body, a.err, u.id) {
			return false
		}
		if a.err != nil || a.res.Close {
			return true
		}
	}
	fmt.Fprintf(c, "POST /orders/one HTTP/1.1\r\nHost: %s\r\nJujubewheel-Request-Id: %s\r\nJujubewheel-Deadline-Ms: 8000\r\nContent-Length: 2\r\n\r\nok", batchHost, u.next())
	u.rec.line("client sends %s on the same connection", u.next())
	a := <-answers
	return u.judge(a.res, a.body, a.err, u.next())
}

// judge reports whether an answer may be the one to a request. A closed connection promises nothing.
func (u upload) judge(res *http.Response, body []byte, err error, id string) bool {
	if err != nil {
		u.rec.line("client: no answer to %s: %v", id, err)
		return true
	}
	got := res.Header.Get("Jujubewheel-Request-Id")
	u.rec.line("client: status %d with id %q where the answer to %s is due: %.60q", res.StatusCode, got, id, body)
	if got != id {
		u.rec.line("MIXED: the client got an answer that isn't the one to its request %s", id)
		return false
	}
	return true
}
