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
	longBody    = 4_000_000 // the configuration allows 4,194,304
	readBefore  = 64 << 10
	answerBytes = 60 << 10
	sentBefore  = 20 << 10 // of the answer, before the runner breaks off
	breakAfter  = 250 * time.Millisecond
	longPause   = 300 * time.Millisecond // between the beginnings of two long requests
	// The dose of answers that break off: share of the answers of two in four runners, in episodes.
	resetShare    = 0.05
	resetEpisode  = 5 * time.Second
	resetGap      = time.Second
	resetEpisodes = 10
)

// wholeAnswer returns the body of a runner's answer to a request.
func wholeAnswer(id string) []byte {
	return []byte(strings.Repeat("receipt "+id+"\n", answerBytes/(len(id)+9)))
}

// answerLong reads the whole request and answers with a length.
func answerLong(x *runner, c net.Conn, r *http.Request) bool {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return false
	}
	body := wholeAnswer(r.Header.Get("Jujubewheel-Request-Id"))
	c.Write(append([]byte(x.head(r, len(body))), body...))
	return true
}

// resetAnswer: a runner answers a long request before it has read all of it, with an answer that has no
// length and ends with its connection. It breaks off in the middle: its connection is reset.
func resetAnswer(f *fleet, s *store, rec *record, trouble bool) bool {
	s.set("op/config", orderConfig())
	reset := &dose{length: resetEpisode, gap: resetGap, share: resetShare, runners: map[string]bool{"i-order-1": true, "i-order-2": true}}
	work := func(x *runner, c net.Conn, r *http.Request) bool {
		id := r.Header.Get("Jujubewheel-Request-Id")
		if !reset.answer(x, r.ContentLength == longBody) {
			return answerLong(x, c, r)
		}
		if _, err := io.CopyN(io.Discard, r.Body, readBefore); err != nil {
			return false
		}
		body := wholeAnswer(id)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nConnection: close\r\nJujubewheel-Request-Id: %s\r\nJujubewheel-Server-Seal: %s.%s\r\n\r\n", id, x.id, id)
		if !trouble {
			c.Write(body)
			io.Copy(io.Discard, r.Body) // reads on
			x.rec.line("runner %s has answered %s: %d bytes, and closes", x.id, id, len(body))
			return false
		}
		c.Write(body[:sentBefore])
		time.Sleep(breakAfter)
		x.rec.line("runner %s breaks off its answer to %s: %d of %d bytes sent, connection reset", x.id, id, sentBefore, len(body))
		c.(*net.TCPConn).SetLinger(0) // a connection that is closed with unread bytes is reset
		return false
	}
	for i := range 4 {
		startRunner(s, rec, fmt.Sprintf("i-order-%d", i+1), "order-desk", "amman-a", work)
	}
	var nodes []*node
	for range 4 {
		nodes = append(nodes, f.add("amman-a"))
	}
	for _, n := range nodes {
		f.start(n)
	}
	f.awaitReady(15 * time.Second)
	time.Sleep(3 * time.Second)
	var wg, usual sync.WaitGroup
	var mu sync.Mutex
	done := make(chan struct{})
	for i, n := range nodes[2:] { // the long requests go to the first two nodes
		for j := range 2 * usualClients {
			usual.Go(func() { usualTraffic(n.callers, fmt.Sprintf("%x%x", i+1, j), done, func(string) {}) })
		}
	}
	time.Sleep(time.Second)
	reset.start()
	truncated, whole, other, requests := 0, 0, 0, 0
	for end := time.Now().Add(resetEpisodes * (resetEpisode + resetGap)); time.Now().Before(end); requests++ {
		i := requests
		wg.Go(func() {
			id := fmt.Sprintf("%016x", 0xa000+i)
			rec.line("client sends %s, %d bytes", id, longBody)
			status, body, err := sendLong(nodes[i%2].callers, id)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil && status/100 == 2 && bytes.Equal(body, wholeAnswer(id)):
				whole++
				rec.line("client: status %d, the whole answer to %s", status, id)
			case err == nil && status/100 == 2:
				truncated++
				rec.line("MIXED: status %d to %s, complete for the client, with %d of the answer's %d bytes", status, id, len(body), len(wholeAnswer(id)))
			default:
				other++
				rec.line("client: status %d to %s, %v", status, id, err)
			}
		})
		time.Sleep(longPause)
	}
	wg.Wait()
	close(done)
	usual.Wait()
	spoiled, made := reset.counts()
	sum := fmt.Sprintf("%d long requests, %d answers without a length in %d of two runners: %d whole answers, %d truncated ones that look complete, %d failures",
		requests, spoiled, made, whole, truncated, other)
	rec.line("%s", sum)
	fmt.Println(sum)
	if !trouble && whole < requests {
		panic(cantRun{fmt.Errorf("%d of %d requests were answered", whole, requests)})
	}
	return truncated == 0
}

// sendLong sends a long request on a connection of its own and returns the answer. err is set if the
// answer isn't complete.
func sendLong(addr, id string) (status int, body []byte, err error) {
	c, err := net.Dial("tcp", addr)
	must(err)
	defer c.Close()
	go func() {
		fmt.Fprintf(c, "POST /orders/batch HTTP/1.1\r\nHost: %s\r\nJujubewheel-Request-Id: %s\r\nJujubewheel-Deadline-Ms: 8000\r\nContent-Length: %d\r\n\r\n", batchHost, id, longBody)
		c.Write(bytes.Repeat([]byte("order 1\n"), longBody/8))
	}()
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
	res, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: "POST"})
	if err != nil {
		return 0, nil, err
	}
	body, err = io.ReadAll(res.Body)
	return res.StatusCode, body, err
}
