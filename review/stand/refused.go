package main

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	refusedFor     = 75 * time.Second
	refusedClients = 24
	refusedPause   = 50 * time.Millisecond // of a client between two requests
	// The dose of refusals: share of the requests of all three runners, in episodes.
	refusedShare   = 0.45
	refusedEpisode = 4 * time.Second
	refusedGap     = time.Second
)

func hashOf(b []byte) string {
	h := sha256.Sum256(b)
	return hex.EncodeToString(h[:8])
}

// refusedBody: clients send long bodies in chunks. Runners that are full refuse a part of the requests
// at once, as not run, and the node sends these to another runner.
func refusedBody(f *fleet, s *store, rec *record, trouble bool) bool {
	s.set("op/config", orderConfig())
	var mu sync.Mutex
	sent := map[string]string{} // hash of each request's body
	sizes := map[string]int{}
	changed, whole, refusals := 0, 0, 0
	work := func(x *runner, c net.Conn, r *http.Request) bool {
		id := r.Header.Get("Jujubewheel-Request-Id")
		body, err := io.ReadAll(r.Body)
		if err != nil {
			rec.line("runner %s: the body of %s broke off: %v", x.id, id, err)
			return false
		}
		mu.Lock()
		if hashOf(body) == sent[id] {
			whole++
		} else {
			changed++
			rec.line("UNASKED: runner %s has run %s with a body of %d bytes, the client sent %d", x.id, id, len(body), sizes[id])
		}
		mu.Unlock()
		answer := "done\n"
		io.WriteString(c, x.head(r, len(answer))+answer)
		return true
	}
	refused := &dose{length: refusedEpisode, gap: refusedGap, share: refusedShare, runners: map[string]bool{"i-order-1": true, "i-order-2": true, "i-order-3": true}}
	for i := range 3 {
		x := startRunner(s, rec, fmt.Sprintf("i-order-%d", i+1), "order-desk", "amman-a", work)
		if trouble {
			x.refuse = func(c net.Conn, r *http.Request) bool {
				if !refused.answer(x, rand.Float64() < 0.6) {
					return false
				}
				id := r.Header.Get("Jujubewheel-Request-Id")
				mu.Lock()
				refusals++
				mu.Unlock()
				fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nJujubewheel-Request-Id: %s\r\nJujubewheel-Not-Run: 1\r\n\r\n", id)
				return true
			}
		}
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
	refused.start()
	end := time.Now().Add(refusedFor)
	statuses := map[string]int{}
	var wg sync.WaitGroup
	for k := range refusedClients {
		wg.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				id := fmt.Sprintf("%08x%08x", 0xa000+k, i)
				body := []byte(strings.Repeat(id+" order\n", 10000))[:80_000+rand.Intn(30_000)]
				mu.Lock()
				sent[id], sizes[id] = hashOf(body), len(body)
				mu.Unlock()
				time.Sleep(refusedPause)
				status := sendChunked(nodes[(k+i)%len(nodes)].callers, id, body)
				mu.Lock()
				statuses[status]++
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	_, made := refused.counts()
	sum := fmt.Sprintf("answers %v, %d runs with the client's body, %d with another, %d refusals of %d requests in the episodes", statuses, whole, changed, refusals, made)
	rec.line("%s", sum)
	fmt.Println(sum)
	return changed == 0
}

// sendChunked sends a request with a body in chunks and returns the status of its answer.
func sendChunked(addr, id string, body []byte) string {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return "no connection"
	}
	defer c.Close()
	go func() {
		const chunk = 8 << 10
		var b bytes.Buffer
		fmt.Fprintf(&b, "POST /orders/batch HTTP/1.1\r\nHost: %s\r\nJujubewheel-Request-Id: %s\r\nJujubewheel-Deadline-Ms: 8000\r\nTransfer-Encoding: chunked\r\n\r\n", batchHost, id)
		for p := body; len(p) > 0; p = p[min(chunk, len(p)):] {
			n := min(chunk, len(p))
			fmt.Fprintf(&b, "%x\r\n%s\r\n", n, p[:n])
		}
		b.WriteString("0\r\n\r\n")
		c.Write(b.Bytes())
	}()
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
	res, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: "POST"})
	if err != nil {
		return "no answer"
	}
	io.Copy(io.Discard, res.Body)
	return strconv.Itoa(res.StatusCode)
}
