package jwgateway_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/pkg/errors"

	"jujubewheel/core/jwclock"
	"jujubewheel/core/jwstore"
	"jujubewheel/io/jwconn"
	"jujubewheel/io/jwgateway"
)

// Bounds of the platform: a change must be in force inForceAfter after it was written, at nodes that nothing
// has disturbed for calmAfter.
const (
	inForceAfter = 5 * time.Second
	calmAfter    = 6 * time.Second
)

var errLinkTimeout = errors.Wrap(jwstore.ErrUnavailable, "i/o timeout")

// testNetwork connects nodes with each other and with the store. Links that are cut deliver nothing, and
// connections over them stay silent afterwards.
type testNetwork struct {
	mu         sync.Mutex
	regionOf   map[string]string     // by node
	nodeAt     map[netip.Addr]string // nodes by address
	cutNodes   map[string]bool       // from everything
	cutRegions map[string]bool       // from the other regions and from the store
	apart      map[string]bool       // nodes cut off from all other nodes, but not from the store
	oneWay     map[string]bool       // nodes that get no answers of other nodes
	cutPairs   map[[2]string]bool    // regions cut off from each other
	noStore    map[string]bool       // nodes that the store doesn't answer
	busyStore  map[string]bool       // nodes that the store rejects
	quiet      bool                  // watches hear nothing
	lost       float64               // part of the store's answers that is lost
	changes    int                   // of the links so far
}

// set changes the links.
func (n *testNetwork) set(change func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change()
	n.changes++
}

// between reports whether two nodes are cut off from each other, and how often links have changed.
func (n *testNetwork) between(a, b string) (cut bool, changes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	ra, rb := n.regionOf[a], n.regionOf[b]
	cut = n.cutNodes[a] || n.cutNodes[b] || n.apart[a] || n.apart[b] || n.cutPairs[[2]string{ra, rb}] || n.cutPairs[[2]string{rb, ra}]
	return cut || ra != rb && (n.cutRegions[ra] || n.cutRegions[rb]), n.changes
}

// toStore reports whether a node is cut off from the store, and whether it is rejected.
func (n *testNetwork) toStore(node string) (cut, busy bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cutNodes[node] || n.noStore[node] || n.cutRegions[n.regionOf[node]], n.busyStore[node]
}

func (n *testNetwork) losesAnswer(watch bool) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return watch && n.quiet || rand.Float64() < n.lost
}

// dialer returns the Dial function of a node's connections to other nodes.
func (n *testNetwork) dialer(from string) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		n.mu.Lock()
		to := n.nodeAt[netip.MustParseAddrPort(address).Addr()]
		n.mu.Unlock()
		if cut, _ := n.between(from, to); cut {
			ctx, cancel := context.WithTimeout(ctx, jwconn.DefaultDialTimeout)
			defer cancel()
			<-ctx.Done()
			return nil, errLinkTimeout
		}
		c, err := (&net.Dialer{Timeout: jwconn.DefaultDialTimeout}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &linkConn{Conn: c, network: n, from: from, to: to, closed: make(chan struct{})}, nil
	}
}

// linkConn is a connection that turns silent once its link is cut.
type linkConn struct {
	net.Conn
	network  *testNetwork
	from, to string
	silent   atomic.Bool
	closed   chan struct{}
	once     sync.Once
}

func (c *linkConn) check() bool {
	if cut, _ := c.network.between(c.from, c.to); cut {
		c.silent.Store(true)
	}
	return c.silent.Load()
}

func (c *linkConn) Read(b []byte) (int, error) {
	k, err := c.Conn.Read(b)
	c.network.mu.Lock()
	deaf := c.network.oneWay[c.from]
	c.network.mu.Unlock()
	if deaf {
		c.silent.Store(true)
	}
	if c.check() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return k, err
}

func (c *linkConn) Write(b []byte) (int, error) {
	if c.check() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (c *linkConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// linkFeed is the store as a node reaches it.
type linkFeed struct {
	jwstore.Feed
	network *testNetwork
	node    string
}

const storeCallTimeout = 2 * time.Second

// call makes a call whose answer may not come.
func (f *linkFeed) call(ctx context.Context, watch bool, limit time.Duration, do func(context.Context)) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	cut, busy := f.network.toStore(f.node)
	if cut {
		jwclock.Sleep(ctx, jwconn.DefaultDialTimeout)
		return errLinkTimeout
	}
	if busy {
		return jwstore.ErrUnavailable
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		do(ctx)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		<-done
		return errors.Wrap(jwstore.ErrUnavailable, ctx.Err().Error())
	}
	if cut, _ := f.network.toStore(f.node); cut || f.network.losesAnswer(watch) {
		<-ctx.Done()
		return errors.Wrap(jwstore.ErrUnavailable, ctx.Err().Error())
	}
	return nil
}

func (f *linkFeed) Range(ctx context.Context, prefix, after string) (p jwstore.Page, err error) {
	if lost := f.call(ctx, false, storeCallTimeout, func(ctx context.Context) { p, err = f.Feed.Range(ctx, prefix, after) }); lost != nil {
		return jwstore.Page{}, lost
	}
	return p, err
}

func (f *linkFeed) Watch(ctx context.Context, prefix string, after jwstore.Revision, wait time.Duration) (events []jwstore.Event, revision jwstore.Revision, err error) {
	if lost := f.call(ctx, true, wait+storeCallTimeout, func(ctx context.Context) { events, revision, err = f.Feed.Watch(ctx, prefix, after, wait) }); lost != nil {
		return nil, 0, lost
	}
	return events, revision, err
}

func (f *linkFeed) Grant(ctx context.Context, ttl time.Duration) (l jwstore.Lease, d time.Duration, err error) {
	if lost := f.call(ctx, false, storeCallTimeout, func(ctx context.Context) { l, d, err = f.Feed.Grant(ctx, ttl) }); lost != nil {
		return 0, 0, lost
	}
	return l, d, err
}

func (f *linkFeed) Renew(ctx context.Context, lease jwstore.Lease) (err error) {
	if lost := f.call(ctx, false, storeCallTimeout, func(ctx context.Context) { err = f.Feed.Renew(ctx, lease) }); lost != nil {
		return lost
	}
	return err
}

func (f *linkFeed) Set(ctx context.Context, key string, value []byte, lease jwstore.Lease) (err error) {
	if lost := f.call(ctx, false, storeCallTimeout, func(ctx context.Context) { err = f.Feed.Set(ctx, key, value, lease) }); lost != nil {
		return lost
	}
	return err
}

func (f *linkFeed) End(ctx context.Context, lease jwstore.Lease) error {
	return f.call(ctx, false, time.Second, func(ctx context.Context) { _ = f.Feed.End(ctx, lease) })
}

// soakNode is a node of a soak, in one process after the other.
type soakNode struct {
	name, region, dataCentre string

	mu      sync.Mutex
	running node
	boot    *atomic.Int64 // time since boot that the node sees
	log     *soakLog
	calmAt  time.Time // when it was disturbed last
	readsAt time.Time // until when the store turns it away
}

// disturb records that the node is disturbed until a time.
func (n *soakNode) disturb(until time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if until.After(n.calmAt) {
		n.calmAt = until
	}
}

// turnAway records that the store turns the node away until a time.
func (n *soakNode) turnAway(until time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if until.After(n.readsAt) {
		n.readsAt = until
	}
}

// reads reports whether nothing has kept the node from the store for calmAfter before a time.
func (n *soakNode) reads(at time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return at.Sub(n.readsAt) > calmAfter
}

// calm reports whether nothing has disturbed the node for calmAfter before a time.
func (n *soakNode) calm(at time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return at.Sub(n.calmAt) > calmAfter
}

// soakLog keeps the last lines of a node.
type soakLog struct {
	mu    sync.Mutex
	lines []string
}

func (l *soakLog) add(line string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, time.Now().Format("05.000 ")+line)
	if len(l.lines) > 400 {
		l.lines = l.lines[1:]
	}
}

func (l *soakLog) tail(n int) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for _, line := range l.lines[max(len(l.lines)-n, 0):] {
		if len(line) > 300 {
			line = line[:300]
		}
		out = append(out, line)
	}
	return strings.Join(out, "\n")
}

// soak plays random faults over nodes while routes are added.
type soak struct {
	t       *testing.T
	rand    *rand.Rand
	feed    *jwstore.MemoryFeed
	network *testNetwork
	nodes   []*soakNode
	log     soakLog

	mu      sync.Mutex
	routes  []string
	written []time.Time // of each version
	calmAt  time.Time   // when the store was disturbed last
	late    int
	checks  atomic.Int64
}

func (s *soak) disturbStore(until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if until.After(s.calmAt) {
		s.calmAt = until
	}
}

func (s *soak) storeCalm(at time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return at.Sub(s.calmAt) > calmAfter
}

// addRoute writes a configuration with one more route.
func (s *soak) addRoute() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.routes = append(s.routes, route(fmt.Sprintf("/v%d/", len(s.routes)+1), "idempotent", ""))
	configure(s.feed, len(s.routes), s.routes...)
	s.written = append(s.written, time.Now())
}

// startNode starts a process of a node. Its seeds are the addresses of some others.
func (s *soak) startNode(n *soakNode) {
	var seeds []netip.AddrPort
	for _, other := range s.nodes {
		if other != n && other.running.nodes.IsValid() && len(seeds) < 3 {
			seeds = append(seeds, other.running.nodes)
		}
	}
	boot, log := new(atomic.Int64), new(soakLog)
	running := startWith(s.t, &linkFeed{s.feed, s.network, n.name}, n.name, n.region, func(g *jwgateway.Gateway) {
		g.Settings.DataCentre = n.dataCentre
		g.RelayThreshold = 4
		g.Nodes.Dial = s.network.dialer(n.name)
		g.TimeSinceBoot = func() time.Duration { return time.Duration(boot.Load()) + time.Since(soakStart) }
		g.Log = funcr.New(func(_, args string) { log.add(args) }, funcr.Options{Verbosity: 0})
	}, seeds...)
	s.network.set(func() { s.network.nodeAt[running.nodes.Addr()] = n.name })
	n.mu.Lock()
	defer n.mu.Unlock()
	n.running, n.boot, n.log = running, boot, log
}

var soakStart = time.Now()

// check sends a request for a route that must be in force to a node.
func (s *soak) check(n *soakNode) {
	now := time.Now()
	s.mu.Lock()
	version := 0
	for i, at := range s.written {
		if now.Sub(at) > inForceAfter {
			version = i + 1
		}
	}
	s.mu.Unlock()
	if version == 0 || !n.calm(now) || !s.storeCalm(now) {
		return
	}
	n.mu.Lock()
	running, log := n.running, n.log
	n.mu.Unlock()
	r, err := send(s.t, running, http.MethodGet, fmt.Sprintf("/v%d/x", version), fmt.Sprintf("c%d", now.UnixNano()), nil, "")
	s.checks.Add(1)
	late := err == nil && (r.status == http.StatusNotFound || strings.Contains(r.body, "outdated") && n.reads(now))
	if !late || !n.calm(now) || !s.storeCalm(now) {
		return
	}
	s.mu.Lock()
	s.late++
	first := s.late <= 3
	age := now.Sub(s.written[version-1])
	s.mu.Unlock()
	if first {
		s.t.Errorf("%s: %d %s at %s for version %d, written %s before\nfaults:\n%s\nlog of %s:\n%s",
			n.name, r.status, strings.TrimSpace(r.body), now.Format("05.000"), version, age, s.log.tail(30), n.name, log.tail(60))
	}
}

// fault is something that happens to nodes or to the store for a while.
type fault struct {
	name  string
	begin func(s *soak, d time.Duration)
}

func (s *soak) pick(share float64) []*soakNode {
	var list []*soakNode
	for _, n := range s.nodes {
		if s.rand.Float64() < share {
			list = append(list, n)
		}
	}
	return list
}

func (s *soak) during(d time.Duration, on, off func()) {
	s.network.set(on)
	time.AfterFunc(d, func() { s.network.set(off) })
}

func (s *soak) note(format string, args ...any) { s.log.add(fmt.Sprintf(format, args...)) }

func (s *soak) eachNode(name string, list []*soakNode, d time.Duration, set map[string]bool) {
	for _, n := range list {
		n.disturb(time.Now().Add(d))
		s.note("%s %s %s", name, n.name, d)
		s.during(d, func() { set[n.name] = true }, func() { delete(set, n.name) })
	}
}

// turnAway makes the store reject some nodes, or not answer them. They count as undisturbed, because the
// others reach it.
func (s *soak) turnAway(name string, set map[string]bool, d time.Duration) {
	list := s.pick([]float64{0.2, 0.35, 0.6}[s.rand.IntN(3)])
	for _, n := range list {
		n.turnAway(time.Now().Add(d))
	}
	s.eachOf(name, list, set, d)
}

func (s *soak) eachOf(name string, list []*soakNode, set map[string]bool, d time.Duration) {
	for _, n := range list {
		s.note("%s %s %s", name, n.name, d)
		s.during(d, func() { set[n.name] = true }, func() { delete(set, n.name) })
	}
}

var soakFaults = []fault{
	{"no store", func(s *soak, d time.Duration) { s.turnAway("no store", s.network.noStore, d) }},
	{"busy store", func(s *soak, d time.Duration) { s.turnAway("busy store", s.network.busyStore, d) }},
	{"apart", func(s *soak, d time.Duration) { s.eachOf("apart", s.pick(0.15), s.network.apart, d) }},
	{"one way", func(s *soak, d time.Duration) { s.eachOf("one way", s.pick(0.15), s.network.oneWay, d) }},
	{"cut pair", func(s *soak, d time.Duration) {
		pair := [][2]string{{"south", "east"}, {"north", "south"}, {"north", "east"}}[s.rand.IntN(3)]
		s.note("cut pair %v %s", pair, d)
		s.during(d, func() { s.network.cutPairs[pair] = true }, func() { delete(s.network.cutPairs, pair) })
	}},
	{"cut node", func(s *soak, d time.Duration) { s.eachNode("cut", s.pick(0.15), d, s.network.cutNodes) }},
	{"cut region", func(s *soak, d time.Duration) {
		region := []string{"south", "east"}[s.rand.IntN(2)]
		s.note("cut region %s %s", region, d)
		for _, n := range s.nodes {
			if n.region == region {
				n.disturb(time.Now().Add(d))
			}
		}
		s.during(d, func() { s.network.cutRegions[region] = true }, func() { delete(s.network.cutRegions, region) })
	}},
	{"store down", func(s *soak, d time.Duration) {
		s.note("store down %s", d)
		s.disturbStore(time.Now().Add(d))
		s.feed.SetError(jwstore.ErrUnavailable)
		time.AfterFunc(d, func() { s.feed.SetError(nil) })
	}},
	{"answers lost", func(s *soak, d time.Duration) {
		s.note("answers lost %s", d)
		s.disturbStore(time.Now().Add(d))
		s.during(d, func() { s.network.lost = 0.6 }, func() { s.network.lost = 0 })
	}},
	{"history lost", func(s *soak, _ time.Duration) {
		s.note("history lost")
		s.disturbStore(time.Now().Add(time.Second))
		s.during(time.Second, func() { s.network.quiet = true }, func() { s.network.quiet = false })
		time.AfterFunc(time.Second, s.feed.Compact)
	}},
	{"history lost at once", func(s *soak, _ time.Duration) {
		s.note("history lost at once")
		s.feed.Compact()
	}},
	{"kill", func(s *soak, _ time.Duration) {
		for _, n := range s.pick([]float64{0.15, 0.5}[s.rand.IntN(2)]) {
			s.kill(n)
		}
	}},
	{"pause", func(s *soak, _ time.Duration) {
		for _, n := range s.pick(0.2) {
			n.disturb(time.Now())
			s.note("pause %s", n.name)
			n.boot.Add(int64(time.Hour))
		}
	}},
}

// kill ends a process without a planned stop that others notice, and starts the next one.
func (s *soak) kill(n *soakNode) {
	s.note("kill %s", n.name)
	n.disturb(time.Now().Add(200 * time.Millisecond))
	old := n.running
	s.network.set(func() {
		delete(s.network.nodeAt, old.nodes.Addr())
		s.network.nodeAt[old.nodes.Addr()] = "dead"
		s.network.cutNodes["dead"] = true
	})
	go old.stop()
	s.startNode(n)
	n.disturb(time.Now())
}

// Routes are added while nodes, links, the store and its history fail at random. A node that nothing has
// disturbed for a while must not answer 404 for a route that has been in force for longer than it may take,
// and a node that reaches the store must know it.
func TestAddedRoutesAreInForce(t *testing.T) {
	seed, length := uint64(1), 20*time.Second
	if v, err := strconv.ParseUint(os.Getenv("JUJUBE_SEED"), 10, 64); err == nil {
		seed = v
	}
	if d, err := time.ParseDuration(os.Getenv("JUJUBE_SOAK")); err == nil {
		length = d
	}
	plays := 4
	if v, err := strconv.Atoi(os.Getenv("JUJUBE_PLAYS")); err == nil {
		plays = v
	}
	for i := range plays {
		t.Run(fmt.Sprint("seed ", seed+uint64(i)), func(t *testing.T) {
			t.Parallel()
			playSoak(t, seed+uint64(i), length)
		})
	}
}

func playSoak(t *testing.T, seed uint64, length time.Duration) {
	s := &soak{
		t: t, rand: rand.New(rand.NewPCG(seed, 0)), feed: &jwstore.MemoryFeed{},
		network: &testNetwork{
			regionOf: map[string]string{}, nodeAt: map[netip.Addr]string{}, cutNodes: map[string]bool{}, cutRegions: map[string]bool{},
			noStore: map[string]bool{}, busyStore: map[string]bool{}, apart: map[string]bool{}, oneWay: map[string]bool{}, cutPairs: map[[2]string]bool{},
		},
	}
	if s.rand.IntN(2) == 0 {
		s.feed.PageSize = 20
	}
	for _, dc := range []string{"north-a", "north-b", "south-a", "south-b", "east-a"} {
		for i := range 2 + s.rand.IntN(2) {
			region, _, _ := strings.Cut(dc, "-")
			n := &soakNode{name: fmt.Sprintf("%s-%d", dc, i+1), region: region, dataCentre: dc}
			s.network.regionOf[n.name] = region
			s.nodes = append(s.nodes, n)
		}
	}
	x := startTarget(t, s.feed, "t1", "s", "north-a", respondText("fine"))
	for i := range 40 {
		register(s.feed, fmt.Sprint("u", i), "other", "127.0.0.1:9", "north-a", "ready")
	}
	s.addRoute()
	for _, n := range s.nodes {
		s.startNode(n)
		n.disturb(time.Now())
	}
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	var running sync.WaitGroup
	running.Go(func() { // targets register again and again
		for ctx.Err() == nil {
			register(s.feed, "t1", "s", x.addr, "north-a", "ready")
			for i := range 8 {
				register(s.feed, fmt.Sprint("u", i), "other", "127.0.0.1:9", "north-a", "ready")
			}
			jwclock.Sleep(ctx, 300*time.Millisecond)
		}
	})
	pauses := rand.New(rand.NewPCG(seed, 1))
	running.Go(func() {
		for ctx.Err() == nil {
			jwclock.Sleep(ctx, time.Second+time.Duration(pauses.IntN(3000))*time.Millisecond)
			s.addRoute()
		}
	})
	for _, n := range s.nodes {
		running.Go(func() {
			for ctx.Err() == nil {
				s.check(n)
				jwclock.Sleep(ctx, 150*time.Millisecond)
			}
		})
	}
	for ctx.Err() == nil {
		for range 1 + s.rand.IntN(3) {
			f := soakFaults[s.rand.IntN(len(soakFaults))]
			f.begin(s, 500*time.Millisecond+time.Duration(s.rand.IntN([]int{8000, 20000}[s.rand.IntN(2)]))*time.Millisecond)
			jwclock.Sleep(ctx, time.Duration(s.rand.IntN(1500))*time.Millisecond)
		}
		jwclock.Sleep(ctx, time.Duration(1000+s.rand.IntN(11000))*time.Millisecond)
	}
	running.Wait()
	t.Logf("%d checks, %d routes", s.checks.Load(), len(s.routes))
	if s.late > 0 {
		t.Errorf("%d answers too late", s.late)
	}
}
