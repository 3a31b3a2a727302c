package jwgateway_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubewheel/core/jwstore"
)

const (
	// crashesBeforeBound is after how many crashes of a part, and contactTime how long after the last of
	// them, at most maxLateArrivals more requests with the part may reach targets.
	crashesBeforeBound = 5
	contactTime        = 6 * time.Second
	maxLateArrivals    = 3

	badPart = "bad1"
)

// crashingTargets are targets that a request with badPart ends, each time that one begins to answer it.
type crashingTargets struct {
	feed        *jwstore.MemoryFeed
	crashAfter  int         // events of the answer before the crash
	mended      atomic.Bool // nothing crashes them any more
	mu          sync.Mutex
	arrived     []time.Time // requests with badPart
	crashed     []time.Time
	incarnation int
	closed      bool
	servers     sync.WaitGroup
}

// run runs a target at an address until it crashes, and then a new one there, until close.
func (c *crashingTargets) run(t *testing.T, dataCentre string, addr netip.AddrPort) {
	l, err := net.Listen("tcp", addr.String())
	if err != nil {
		t.Error(err)
		return
	}
	addr = netip.MustParseAddrPort(l.Addr().String())
	c.mu.Lock()
	c.incarnation++
	id := fmt.Sprint("t", c.incarnation)
	c.mu.Unlock()
	s := &http.Server{}
	var once sync.Once
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.serve(w, r, id, func() {
			once.Do(func() {
				c.mu.Lock()
				defer c.mu.Unlock()
				c.crashed = append(c.crashed, time.Now())
				_ = s.Close()
				c.feed.Write("servers/"+id, nil)
				if c.closed {
					return
				}
				c.servers.Go(func() {
					time.Sleep(1500 * time.Millisecond)
					c.run(t, dataCentre, addr)
				})
			})
		})
	})
	register(c.feed, id, "s", addr.String(), dataCentre, "ready")
	c.servers.Go(func() { _ = s.Serve(l) })
	t.Cleanup(func() { _ = s.Close() })
}

func (c *crashingTargets) serve(w http.ResponseWriter, r *http.Request, id string, crash func()) {
	w.Header().Set("Jujubewheel-Request-Id", r.Header.Get("Jujubewheel-Request-Id"))
	w.Header().Set("Jujubewheel-Server-Seal", "seal-"+id)
	w.Header().Set("Content-Type", "text/event-stream")
	bad := strings.Contains(r.Header.Get("Jujubewheel-Prompt-Prefix"), badPart) && !c.mended.Load()
	if bad {
		c.mu.Lock()
		c.arrived = append(c.arrived, time.Now())
		c.mu.Unlock()
	}
	for i := 1; i <= 6; i++ {
		time.Sleep(50 * time.Millisecond)
		if bad && i > c.crashAfter {
			crash()
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, event(i, id))
		_ = http.NewResponseController(w).Flush()
	}
}

// lateArrivals returns how many requests with badPart arrived after the bound, and when it began.
func (c *crashingTargets) lateArrivals() (n int, from time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.crashed) < crashesBeforeBound {
		return 0, time.Time{}
	}
	from = c.crashed[crashesBeforeBound-1].Add(contactTime)
	for _, at := range c.arrived {
		if at.After(from) {
			n++
		}
	}
	return n, from
}

// close stops the targets from starting again.
func (c *crashingTargets) close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
}

// Requests that are all different share a part of their prompts, and each of them crashes the target that
// begins to answer it, at any node.
func TestPartOfPromptThatCrashesTargets(t *testing.T) {
	cases := map[string]struct {
		bad        func(i int) string // parts before the last one
		crashAfter int
	}{
		"the only shared part":                     {func(int) string { return badPart + ":200" }, 0},
		"the second part":                          {func(int) string { return "a0:200," + badPart + ":100" }, 0},
		"the second part, within the answer":       {func(int) string { return "a0:200," + badPart + ":100" }, 2},
		"the third part, of any session":           {func(i int) string { return fmt.Sprintf("a0:200,5e%x:100,%s:50", i%20, badPart) }, 0},
		"the first part, before parts of sessions": {func(i int) string { return fmt.Sprintf("%s:200,5e%x:100", badPart, i%20) }, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			targets := &crashingTargets{feed: new(jwstore.MemoryFeed), crashAfter: c.crashAfter}
			configure(targets.feed, 1, route("/a/", "stream", `,"Resumable":true,"Sticky":true`))
			for i := range 16 {
				targets.run(t, []string{"north-a", "south-a"}[i%2], netip.AddrPortFrom(ownAddress(), 0))
			}
			var nodes []node
			var seeds []netip.AddrPort
			for i := range 4 {
				n := start(t, targets.feed, fmt.Sprint("n", i), []string{"north", "south"}[i%2], seeds...)
				nodes, seeds = append(nodes, n), append(seeds, n.nodes)
			}
			for i, n := range nodes {
				waitForDirectory(t, n, []string{"north", "south"}[i%2], nodes[i%2], nodes[i%2+2])
			}
			var callers sync.WaitGroup
			defer callers.Wait()
			defer targets.close()
			var mu sync.Mutex
			sound, served := 0, 0
			started := time.Now()
			var from time.Time
			for i := 0; time.Since(started) < 15*time.Second; i++ {
				late, at := targets.lateArrivals()
				assert.Assert(t, late <= maxLateArrivals, "%d more requests with the part reached targets", late)
				from = at
				n := nodes[rand.N(len(nodes))]
				isBad := i%5 == 0
				parts := fmt.Sprintf("a0:200,5e%x:100", i%20)
				if isBad {
					parts = c.bad(i)
				}
				h := http.Header{
					"Jujubewheel-Prompt-Prefix": {fmt.Sprintf("%s,%x:50", parts, 1<<20+i)}, "Jujubewheel-Token-Count": {"350,30"},
				}
				counts := !isBad && !from.IsZero() && time.Now().After(from)
				callers.Go(func() {
					r, err := send(t, n, http.MethodPost, "/a/x", fmt.Sprint("r", i), h, fmt.Sprint("body", i))
					mu.Lock()
					defer mu.Unlock()
					if counts {
						sound++
						if err == nil && r.status == http.StatusOK {
							served++
						}
					}
				})
				time.Sleep(40 * time.Millisecond)
			}
			targets.close()
			callers.Wait()
			t.Logf("%d targets crashed", len(targets.crashed))
			if !from.IsZero() {
				assert.Assert(t, 2*served >= sound, "%d of %d sound requests were served", served, sound)
			}
		})
	}
}

// A part is barred though it no longer crashes targets. Whichever node its trials belong to, and whether
// or not the targets are in that node's region, the bar must end.
func TestWrongBarEnds(t *testing.T) {
	t.Parallel()
	targets := &crashingTargets{feed: new(jwstore.MemoryFeed)}
	configure(targets.feed, 1, route("/a/", "stream", `,"Sticky":true`))
	for range 4 {
		targets.run(t, "north-a", netip.AddrPortFrom(ownAddress(), 0))
	}
	north := start(t, targets.feed, "n1", "north")
	nodes := []node{north, start(t, targets.feed, "e1", "east", north.nodes), start(t, targets.feed, "e2", "east", north.nodes)}
	waitForDirectory(t, nodes[0], "north", nodes[0])
	waitForDirectory(t, nodes[1], "east", nodes[1:]...)
	requests := 0
	status := func(n node, part string) int {
		requests++
		r, err := send(t, n, http.MethodPost, "/a/x", fmt.Sprint("r", requests), http.Header{
			"Jujubewheel-Prompt-Prefix": {fmt.Sprintf("%s:200,%x:50", part, 1<<20+requests)}, "Jujubewheel-Token-Count": {"250,30"},
		}, fmt.Sprint("body", requests))
		if err != nil {
			return 0
		}
		return r.status
	}
	crashes := func() int {
		targets.mu.Lock()
		defer targets.mu.Unlock()
		return len(targets.crashed)
	}
	parts := []string{badPart + "1", badPart + "2", badPart + "3", badPart + "4", badPart + "5"}
	for _, part := range parts {
		for before := crashes(); crashes() < before+3; {
			status(north, part)
			time.Sleep(150 * time.Millisecond)
		}
		eventually(t, func() bool { return status(north, part) == http.StatusServiceUnavailable })
	}
	targets.mended.Store(true)
	targets.close()
	for _, part := range parts {
		eventually(t, func() bool {
			for _, n := range nodes {
				if status(n, part) == http.StatusOK {
					return true
				}
			}
			return false
		})
	}
}
