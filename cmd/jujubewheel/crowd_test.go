package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"jujubewheel/core/jwstore"
)

const (
	crowdMemoryMB    = 64   // that the process may use
	crowdSize        = 400  // callers
	crowdDescriptors = 3900 // that the process may have open
	crowdMaxBody     = 4 << 20
	crowdAnswer      = 2 << 20         // length of a long answer
	crowdWriteTime   = 3 * time.Second // after which a caller has sent what it can
)

// metadataStore serves a jwstore.MemoryFeed by the interface of the platform's store.
type metadataStore struct{ feed jwstore.MemoryFeed }

func (s *metadataStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	answer := func(v any) { _ = json.NewEncoder(w).Encode(v) }
	type item struct {
		Key       string
		Value     []byte `json:",omitempty"`
		Revision  jwstore.Revision
		Tombstone bool `json:",omitempty"`
	}
	switch {
	case r.URL.Path == "/v1/kv-range":
		p, err := s.feed.Range(r.Context(), q.Get("Prefix"), q.Get("after"))
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		items := []item{}
		for _, i := range p.Items {
			items = append(items, item{Key: i.Key, Value: i.Value, Revision: i.Version})
		}
		answer(map[string]any{"items": items, "HasMore": p.More, "StoreRevision": p.Revision})
	case r.URL.Path == "/v1/kv-watch":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("WaitMs"))
		list, revision, err := s.feed.Watch(r.Context(), q.Get("Prefix"), jwstore.Revision(after), time.Duration(wait)*time.Millisecond)
		if err != nil {
			http.Error(w, err.Error(), http.StatusGone)
			return
		}
		events := []item{}
		for _, e := range list {
			events = append(events, item{Key: e.Key, Value: e.Value, Revision: e.Revision, Tombstone: e.Deleted})
		}
		answer(map[string]any{"events": events, "StoreRevision": revision})
	case r.URL.Path == "/v1/kv-txn":
		var txn struct{ Puts []item }
		if err := json.NewDecoder(r.Body).Decode(&txn); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		for _, p := range txn.Puts {
			s.feed.Write(p.Key, p.Value)
		}
		answer(map[string]any{"Revision": 1})
	default: // leases, which don't end
		answer(map[string]any{"Lease": 1, "TtlMs": 60000})
	}
}

// gatewayProcess is a node with a gateway, as a process, with stand-ins for the store and one target.
type gatewayProcess struct {
	*process
	callers, ready, directory netip.AddrPort
}

// startGateway starts a node whose settings have more in their gateway section.
func startGateway(t *testing.T, more string) *gatewayProcess {
	t.Helper()
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Jujubewheel-Request-Id", r.Header.Get("Jujubewheel-Request-Id"))
		w.Header().Set("Jujubewheel-Server-Seal", "seal")
		switch r.URL.Path {
		case "/a/long":
			_, _ = w.Write(make([]byte, crowdAnswer))
		case "/s/x":
			w.Header().Set("Content-Type", "text/event-stream")
			for i := 0; i < crowdAnswer && r.Context().Err() == nil; i += 1 << 10 {
				fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i>>10+1, strings.Repeat("x", 1<<10))
			}
		default:
			_, _ = io.WriteString(w, "done")
		}
	}))
	t.Cleanup(target.Close)
	store := &metadataStore{}
	store.feed.Write("servers/t1", fmt.Appendf(nil, `{"Service":"s","Addr":%q,"Zone":"north-a","Version":"v1","Slots":64,"State":"ready","WarmupLeftMs":0,"Seq":1,"born":1}`, target.Listener.Addr()))
	store.feed.Write("op/config", fmt.Appendf(nil, `{"Version":1,"Services":[{"Name":"s","WarmupS":0,"WarmupPerS":0}],
		"Routes":[{"Name":"r","Host":"h.example","Prefix":"/a/","Kind":"idempotent","TimeoutMs":60000,"GoalMs":1000,"Service":"s","MaxAttempts":2},
			{"Name":"s","Host":"h.example","Prefix":"/s/","Kind":"stream","TimeoutMs":60000,"GoalMs":1000,"Service":"s","MaxAttempts":1}],
		"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":%d,"HeaderTimeoutMs":60000,"IdleTimeoutMs":60000}}`, crowdMaxBody))
	front := httptest.NewServer(store)
	t.Cleanup(front.Close)
	g := &gatewayProcess{callers: freeAddress(t), ready: freeAddress(t), directory: freeAddress(t)}
	file := filepath.Join(t.TempDir(), "node.jsonc")
	settings := fmt.Sprintf(`{"node":"n1","region":"north","dataCentre":"north-a","gateway":{
		"listen":{"callers":%q,"ready":%q,"directory":%q,"nodes":%q},"store":{"address":%q},
		"dataCentres":[{"name":"north-a","region":"north"}],"memoryMB":%d%s}}`,
		g.callers, g.ready, g.directory, freeAddress(t), front.Listener.Addr(), crowdMemoryMB, more)
	assert.NilError(t, os.WriteFile(file, []byte(settings), 0o600))
	g.process = startProgram(t, "jujubewheel", "serve", file)
	g.waitServed()
	return g
}

// freeAddress returns an address at which nothing listens.
func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	return netip.MustParseAddrPort(l.Addr().String())
}

// waitServed waits until an ordinary request is served.
func (g *gatewayProcess) waitServed() {
	g.t.Helper()
	poll.WaitOn(g.t, func(poll.LogT) poll.Result {
		req, err := http.NewRequest(http.MethodPost, "http://"+g.callers.String()+"/a/x", strings.NewReader("ordinary"))
		assert.NilError(g.t, err)
		req.Host = "h.example"
		req.Header.Set("Jujubewheel-Request-Id", "ordinary")
		req.Header.Set("Jujubewheel-Deadline-Ms", "5000")
		tr := &http.Transport{DisableKeepAlives: true}
		res, err := tr.RoundTrip(req)
		if err != nil {
			return poll.Continue("%v", err)
		}
		defer res.Body.Close()
		text, err := io.ReadAll(res.Body)
		if res.StatusCode != http.StatusOK || err != nil || string(text) != "done" {
			return poll.Continue("%d %q %v", res.StatusCode, text, err)
		}
		return poll.Success()
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(20*time.Millisecond))
}

// checkWithin checks that the process lives, its peak memory and its open descriptors.
func (g *gatewayProcess) checkWithin(descriptors int) {
	g.t.Helper()
	select {
	case <-g.ended:
		g.t.Fatal("the process has ended")
	default:
	}
	proc := fmt.Sprintf("/proc/%d/", g.cmd.Process.Pid)
	status, err := os.ReadFile(proc + "status")
	assert.NilError(g.t, err)
	var peakKB int
	for s := bufio.NewScanner(bytes.NewReader(status)); s.Scan(); {
		_, _ = fmt.Sscanf(s.Text(), "VmHWM: %d kB", &peakKB)
	}
	fds, err := os.ReadDir(proc + "fd")
	assert.NilError(g.t, err)
	g.t.Logf("peak memory %d MB, %d descriptors", peakKB>>10, len(fds))
	assert.Check(g.t, peakKB > 0 && peakKB>>10 < crowdMemoryMB, "peak memory %d MB", peakKB>>10)
	assert.Check(g.t, len(fds) < descriptors, "%d descriptors", len(fds))
}

// crowd connects callers that each send a text, as much as is taken of it, and stay open until the test ends. It returns
// once all have sent what they can.
func crowd(t *testing.T, at netip.AddrPort, send func(io.Writer) error) {
	t.Helper()
	var all sync.WaitGroup
	for range crowdSize {
		c, err := net.Dial("tcp", at.String())
		if err != nil {
			continue // rejected
		}
		t.Cleanup(func() { c.Close() })
		_ = c.SetWriteDeadline(time.Now().Add(crowdWriteTime))
		all.Go(func() { _ = send(c) })
	}
	all.Wait()
}

// head returns the head of a request.
func head(path, more string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nJujubewheel-Request-Id: crowd\r\nJujubewheel-Deadline-Ms: 60000\r\n" + more
}

// Callers that nobody controls send requests of legal size in crowds and don't end them, or send more than they may: the
// process must stay within its memory and descriptors, and go on serving ordinary callers.
func TestCrowdsOfCallers(t *testing.T) {
	text := func(parts ...string) func(string) func(io.Writer) error {
		return func(path string) func(io.Writer) error {
			return func(w io.Writer) error {
				_, err := io.WriteString(w, head(path, strings.Join(parts, "")))
				return err
			}
		}
	}
	repeated := func(more, unit string, n int) func(string) func(io.Writer) error {
		return func(path string) func(io.Writer) error {
			return func(w io.Writer) error {
				b := bufio.NewWriterSize(w, 64<<10)
				_, err := b.WriteString(head(path, more))
				for i := 0; i < n && err == nil; i++ {
					_, err = b.WriteString(unit)
				}
				if err != nil {
					return err
				}
				return b.Flush()
			}
		}
	}
	fields := strings.Repeat("a:\r\n", 3900)
	body := func(length, missing int) func(string) func(io.Writer) error {
		return repeated(fmt.Sprintf("Content-Length: %d\r\n\r\n", length), "x", length-missing)
	}
	shapes := map[string]func(path string) func(io.Writer) error{
		"many fields":                    text(fields, "Content-Length: 100\r\n\r\n", strings.Repeat("x", 90)),
		"many fields, no end":            text(fields),
		"more fields than allowed":       text(strings.Repeat("a:\r\n", 32000)),
		"long bodies":                    body(crowdMaxBody, 8),
		"short bodies":                   body(60<<10, 10),
		"bodies over the limit":          body(3*crowdMaxBody, 8),
		"chunks over the limit":          repeated("Transfer-Encoding: chunked\r\n\r\n", "1000\r\n"+strings.Repeat("x", 0x1000)+"\r\n", 3*crowdMaxBody/0x1000),
		"chunks of one byte":             repeated("Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", 60<<10),
		"requests ahead, no answer read": func(path string) func(io.Writer) error { return repeated("\r\n", head(path, "\r\n"), 10000)(path) },
		"long answers, not read":         func(string) func(io.Writer) error { return text("\r\n")("/a/long") },
		"streams, not read":              func(string) func(io.Writer) error { return text("\r\n")("/s/x") },
		"nothing":                        func(string) func(io.Writer) error { return func(io.Writer) error { return nil } },
	}
	places := map[string]func(*gatewayProcess) (netip.AddrPort, string){
		"entry":     func(g *gatewayProcess) (netip.AddrPort, string) { return g.callers, "/a/x" },
		"no entry":  func(g *gatewayProcess) (netip.AddrPort, string) { return g.callers, "/none/x" },
		"ready":     func(g *gatewayProcess) (netip.AddrPort, string) { return g.ready, "/v1/readyz" },
		"directory": func(g *gatewayProcess) (netip.AddrPort, string) { return g.directory, "/v1/resolve" },
	}
	everywhere := []string{"many fields", "more fields than allowed", "long bodies", "requests ahead, no answer read"}
	for shape, send := range shapes {
		for place, where := range places {
			if place != "entry" && !slices.Contains(everywhere, shape) {
				continue
			}
			t.Run(shape+", "+place, func(t *testing.T) {
				g := startGateway(t, "")
				at, path := where(g)
				crowd(t, at, send(path))
				g.waitServed()
				g.checkWithin(crowdDescriptors)
			})
		}
	}
}

// More callers connect than the process may have descriptors: it must keep some for targets and ordinary callers.
func TestCrowdsStayWithinDescriptors(t *testing.T) {
	const descriptors = 300
	for name, send := range map[string]func(io.Writer) error{
		"nothing is sent": func(io.Writer) error { return nil },
		"half a head": func(w io.Writer) error {
			_, err := io.WriteString(w, head("/a/x", ""))
			return err
		},
		"half a body": func(w io.Writer) error {
			_, err := io.WriteString(w, head("/a/x", "Content-Length: 10\r\n\r\nx"))
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := startGateway(t, fmt.Sprintf(`,"descriptors":%d`, descriptors))
			crowd(t, g.callers, send)
			g.waitServed()
			g.checkWithin(descriptors)
		})
	}
}
