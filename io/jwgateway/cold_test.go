package jwgateway_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubewheel/core/jwstore"
	"jujubewheel/io/jwgateway"
)

// The bound of cold targets in these tests, with the bounds that startWith sets: 2 x 1.5 + 3.
const (
	coldService = `{"Name":"s","HealthPath":"/healthz","WarmupS":3,"WarmupPerS":2}`
	coldWarmup  = 3 * time.Second
	coldBound   = 6
)

// coldTarget is a target that can be stopped and started again at the address that it had.
type coldTarget struct {
	id   string
	addr netip.AddrPort

	mu        sync.Mutex
	server    *http.Server
	coldUntil time.Time
	arrived   []time.Time          // requests of callers while it was cold
	arrivedAt map[string]time.Time // the same by request
	served    int                  // all requests of callers
}

// up starts the target, which is cold for a time.
func (x *coldTarget) up(t *testing.T, cold time.Duration) {
	t.Helper()
	l, err := net.Listen("tcp", x.addr.String())
	assert.NilError(t, err)
	x.addr = netip.MustParseAddrPort(l.Addr().String())
	s := &http.Server{Handler: http.HandlerFunc(x.serve)}
	x.mu.Lock()
	x.server, x.coldUntil = s, time.Now().Add(cold)
	x.mu.Unlock()
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
}

// down ends the target and all of its connections.
func (x *coldTarget) down() {
	x.mu.Lock()
	defer x.mu.Unlock()
	_ = x.server.Close()
}

func (x *coldTarget) serve(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	x.mu.Lock()
	left := x.coldUntil.Sub(now)
	if r.URL.Path != "/healthz" {
		x.served++
		if left > 0 {
			x.arrived = append(x.arrived, now)
			if x.arrivedAt == nil {
				x.arrivedAt = make(map[string]time.Time)
			}
			x.arrivedAt[r.Header.Get("Jujubewheel-Request-Id")] = now
		}
	}
	x.mu.Unlock()
	if r.URL.Path == "/healthz" {
		w.Header().Set("Jujubewheel-Instance-Id", x.id)
		if left > 0 {
			w.Header().Set("Jujubewheel-Cold-Ms", strconv.FormatInt(left.Milliseconds(), 10))
		}
		return
	}
	w.Header().Set("Jujubewheel-Request-Id", r.Header.Get("Jujubewheel-Request-Id"))
	w.Header().Set("Jujubewheel-Server-Seal", "seal-"+x.id)
}

// register writes the registration of an incarnation of the target.
func (x *coldTarget) register(feed *jwstore.MemoryFeed, born int, cold time.Duration) {
	feed.Write("servers/"+x.id, fmt.Appendf(nil,
		`{"Service":"s","Addr":%q,"Zone":"north-a","Slots":8,"State":"ready","WarmupLeftMs":%d,"Seq":1,"born":%d}`, x.addr.String(), cold.Milliseconds(), born))
}

// maxInASecond returns the most requests that arrived within a second while the target was cold.
func (x *coldTarget) maxInASecond() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	most := 0
	for i, at := range x.arrived {
		n, _ := slices.BinarySearchFunc(x.arrived, at.Add(time.Second), time.Time.Compare)
		most = max(most, n-i)
	}
	return most
}

func (x *coldTarget) servedRequests() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.served
}

// startLoad sends requests to the nodes in turn, one every interval, until the test ends.
func startLoad(t *testing.T, interval time.Duration, nodes ...node) {
	ctx, cancel := context.WithCancel(context.Background())
	var sent sync.WaitGroup
	t.Cleanup(func() { cancel(); sent.Wait() })
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	sent.Go(func() {
		tick := time.NewTicker(interval)
		defer tick.Stop()
		for i := 0; ctx.Err() == nil; i++ {
			<-tick.C
			sent.Go(func() {
				req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+nodes[i%len(nodes)].callers.String()+"/a/x", nil)
				if err != nil {
					return
				}
				req.Host = "h.example"
				req.Header.Set("Jujubewheel-Request-Id", fmt.Sprint("load", i))
				req.Header.Set("Jujubewheel-Deadline-Ms", "2000")
				if res, err := client.Do(req); err == nil {
					_ = res.Body.Close()
				}
			})
		}
	})
}

// startColdSystem starts two nodes and two targets, of which the first is returned, under load.
func startColdSystem(t *testing.T, feed *jwstore.MemoryFeed) *coldTarget {
	t.Helper()
	x := &coldTarget{id: "t1", addr: netip.AddrPortFrom(ownAddress(), 0)}
	x.up(t, 0)
	x.register(feed, 1, 0)
	startTarget(t, feed, "t2", "s", "north-a", func(http.ResponseWriter, *http.Request) { time.Sleep(20 * time.Millisecond) })
	configureService(feed, 1, coldService, route("/a/", "idempotent", ""))
	nodes := []node{start(t, feed, "n1", "north"), start(t, feed, "n2", "north")}
	for _, n := range nodes {
		waitForDirectory(t, n, "north", nodes...)
	}
	startLoad(t, 5*time.Millisecond, nodes...)
	eventually(t, func() bool { return x.servedRequests() > 100 })
	return x
}

// A target restarts under the identifier that it had. Before its registration shows that it is cold,
// it gets what a warm one gets.
func TestTargetThatRestartsIsCold(t *testing.T) {
	const restart = 1500 * time.Millisecond
	cases := map[string]struct {
		down     time.Duration
		announce func(feed *jwstore.MemoryFeed, x *coldTarget)
	}{
		"registered as it starts":             {restart, func(feed *jwstore.MemoryFeed, x *coldTarget) { x.register(feed, 2, coldWarmup) }},
		"cut off from the store":              {restart, func(*jwstore.MemoryFeed, *coldTarget) {}},
		"the store is away meanwhile":         {restart, func(feed *jwstore.MemoryFeed, _ *coldTarget) { feed.SetError(jwstore.ErrUnavailable) }},
		"back before a connection is refused": {0, func(*jwstore.MemoryFeed, *coldTarget) {}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var feed jwstore.MemoryFeed
			x := startColdSystem(t, &feed)
			x.down()
			time.Sleep(c.down)
			x.up(t, coldWarmup)
			c.announce(&feed, x)
			time.Sleep(coldWarmup)
			assert.Assert(t, x.maxInASecond() <= coldBound, "%d requests in one second", x.maxInASecond())
		})
	}
}

// sentRequests records when requests were written to connections.
type sentRequests struct {
	mu sync.Mutex
	at map[string]time.Time // by identifier
}

// recordedConn is a connection whose writes are recorded.
type recordedConn struct {
	*net.TCPConn
	sent *sentRequests
}

func (c recordedConn) Write(p []byte) (int, error) {
	if _, after, ok := strings.Cut(string(p), "Jujubewheel-Request-Id: "); ok {
		id, _, _ := strings.Cut(after, "\r\n")
		c.sent.mu.Lock()
		c.sent.at[id] = time.Now()
		c.sent.mu.Unlock()
	}
	return c.TCPConn.Write(p)
}

// dialSlowly opens connections after up to delay.
func (s *sentRequests) dialSlowly(delay time.Duration) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		time.Sleep(rand.N(delay))
		var d net.Dialer
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return recordedConn{c.(*net.TCPConn), s}, nil
	}
}

// maxInASecond returns the most requests that were sent and arrived at a cold target within one second.
func (s *sentRequests) maxInASecond(x *coldTarget) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	x.mu.Lock()
	defer x.mu.Unlock()
	most := 0
	for _, from := range s.at {
		n := 0
		for id, arrived := range x.arrivedAt {
			if !s.at[id].Before(from) && arrived.Before(from.Add(time.Second)) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// Requests to a cold target are written later than the target was chosen, since opening a connection
// takes a while. Nodes that can't see each other then send more within a second than they chose to.
func TestColdTargetWithSlowConnections(t *testing.T) {
	t.Parallel()
	const nodes, dialDelay = 3, 290 * time.Millisecond
	var feed jwstore.MemoryFeed
	x := &coldTarget{id: "t1", addr: netip.AddrPortFrom(ownAddress(), 0)}
	x.up(t, time.Minute)
	x.register(&feed, 1, time.Minute)
	configureService(&feed, 1, coldService, route("/a/", "idempotent", ""))
	sent := &sentRequests{at: make(map[string]time.Time)}
	var cut atomic.Bool
	list := make([]node, nodes)
	for i := range list {
		list[i] = startWith(t, &feed, fmt.Sprint("n", i), "north", func(g *jwgateway.Gateway) {
			g.Targets.Dial = sent.dialSlowly(dialDelay)
			g.Targets.IdleTimeout = time.Nanosecond // so that each request needs a connection
			g.Nodes.IdleTimeout = time.Nanosecond
			g.Nodes.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
				if cut.Load() {
					return nil, syscall.EHOSTUNREACH
				}
				var d net.Dialer
				return d.DialContext(ctx, network, address)
			}
		})
	}
	for _, n := range list {
		waitForDirectory(t, n, "north", list...)
	}
	startLoad(t, 10*time.Millisecond, list...)
	eventually(t, func() bool { return x.servedRequests() > 0 })
	cut.Store(true)
	time.Sleep(12 * time.Second)
	assert.Assert(t, sent.maxInASecond(x) <= coldBound, "%d requests in one second", sent.maxInASecond(x))
}
