package jwgateway_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubewheel/core/jwstore"
	"jujubewheel/io/jwgateway"
	"jujubewheel/io/jwlog"
)

// refuse answers that the request was not run.
func refuse(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Jujubewheel-Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// lockedBuffer is a buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// The log must show why a request was sent again, or not.
func TestRetryIsLogged(t *testing.T) {
	t.Parallel()
	var feed jwstore.MemoryFeed
	startTarget(t, &feed, "t1", "s", "north-a", refuse)
	startTarget(t, &feed, "t2", "s", "north-a", refuse)
	configure(&feed, 1, route("/a/", "idempotent", ""))
	var log lockedBuffer
	n := startWith(t, &feed, "n1", "north", func(g *jwgateway.Gateway) {
		g.Settings.Gateway.Bounds.RetryRatio, g.Settings.Gateway.Bounds.RetrySlack = 2, 0
		g.Decisions = jwlog.NewDecisions(&log, &log, "n1")
	})
	sendUntil(t, n, "/a/x", func(r reply) bool { return strings.Contains(r.body, "refused by the target") })
	eventually(t, func() bool {
		return strings.Contains(log.String(), `"sends":2,"retry":"no repeat is left","retriesLeft":0.2,"windowRequests":1,"windowRetries":1,"budgetNodes":1`)
	})
}

// All targets of a service refuse or break off, and requests go from region to region: the nodes of
// all regions together must stay within the retry budget.
func TestRetriesOfAllRegionsStayWithinBudget(t *testing.T) {
	t.Parallel()
	abort := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	fail := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }
	cases := map[string]struct {
		serve   http.HandlerFunc
		targets map[string]int // by data centre
	}{
		"targets refuse":                       {refuse, map[string]int{"north-a": 6, "south-a": 6, "east-a": 6}},
		"targets break off":                    {abort, map[string]int{"north-a": 2, "south-a": 2, "east-a": 2}},
		"targets fail":                         {fail, map[string]int{"north-a": 2, "south-a": 2, "east-a": 2}},
		"targets refuse, a region has none":    {refuse, map[string]int{"south-a": 9, "east-a": 9}},
		"targets break off, a region has none": {abort, map[string]int{"south-a": 3, "east-a": 3}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const ratio, slack, perNode = 0.2, 3, 60
			var feed jwstore.MemoryFeed
			var targets []*target
			for dataCentre, count := range c.targets {
				for i := range count {
					targets = append(targets, startTarget(t, &feed, fmt.Sprint(dataCentre, i), "s", dataCentre, c.serve))
				}
			}
			configure(&feed, 1, route("/a/", "idempotent", ""))
			var nodes []node
			for _, region := range []string{"north", "south", "east"} {
				nodes = append(nodes, startWith(t, &feed, "n-"+region, region, func(g *jwgateway.Gateway) {
					g.Settings.Gateway.Bounds.RetryRatio, g.Settings.Gateway.Bounds.RetrySlack = ratio, slack
				}))
			}
			for i, region := range []string{"north", "south", "east"} {
				waitForDirectory(t, nodes[i], region, nodes[i])
			}
			var wg sync.WaitGroup
			for i, n := range nodes {
				wg.Go(func() {
					for j := range perNode {
						_, _ = send(t, n, http.MethodGet, "/a/x", fmt.Sprintf("r%d-%d", i, j), nil, "")
						time.Sleep(40 * time.Millisecond)
					}
				})
			}
			wg.Wait()
			arrivals := make(map[string]int)
			for _, x := range targets {
				for _, r := range x.requests() {
					arrivals[r.header.Get("Jujubewheel-Request-Id")]++
				}
			}
			retries, maxArrivals := 0, 0
			for _, n := range arrivals {
				retries += n - 1
				maxArrivals = max(maxArrivals, n)
			}
			t.Logf("%d of %d requests arrived, %d retries, one request %d times", len(arrivals), perNode*len(nodes), retries, maxArrivals)
			assert.Assert(t, len(arrivals) > perNode)
			assert.Assert(t, retries <= int(ratio*perNode*float64(len(nodes))+slack), "%d retries", retries)
		})
	}
}

// Targets break off, so that each arrival may have run: nodes of several regions together must not
// send a request to more targets than its entry allows.
func TestAttemptsOfAllRegionsAreLimited(t *testing.T) {
	t.Parallel()
	var feed jwstore.MemoryFeed
	var targets []*target
	for _, dataCentre := range []string{"south-a", "east-a"} {
		for i := range 3 {
			targets = append(targets, startTarget(t, &feed, fmt.Sprint(dataCentre, i), "s", dataCentre,
				func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
		}
	}
	configure(&feed, 1, route("/a/", "idempotent", ""))
	n := start(t, &feed, "n1", "north")
	start(t, &feed, "n2", "south")
	start(t, &feed, "n3", "east")
	sendUntil(t, n, "/a/x", func(r reply) bool { return r.status == http.StatusBadGateway })
	for i := range 100 {
		_, err := send(t, n, http.MethodGet, "/a/x", fmt.Sprint("r", i), nil, "")
		assert.NilError(t, err)
		time.Sleep(20 * time.Millisecond)
	}
	arrivals := make(map[string]int)
	for _, x := range targets {
		for _, r := range x.requests() {
			arrivals[r.header.Get("Jujubewheel-Request-Id")]++
		}
	}
	assert.Assert(t, len(arrivals) > 5)
	const maxAttempts = 2
	for id, n := range arrivals {
		assert.Assert(t, n <= maxAttempts, "%q reached %d targets%s", id, n, strays(targets))
	}
}

// strays describes the requests without an identifier that targets have received, which no test sends.
func strays(targets []*target) string {
	text := ""
	for _, x := range targets {
		for _, r := range x.requests() {
			if r.header.Get("Jujubewheel-Request-Id") == "" {
				text += fmt.Sprintf("\n%s got %s %v", x.id, r.path, r.header)
			}
		}
	}
	return text
}

// The answer to a forwarded request is lost after the other node has sent it to as many targets as its entry allows: it must
// not reach one more.
func TestLostForwardUsesUpItsAttempts(t *testing.T) {
	t.Parallel()
	for _, kind := range []string{"idempotent", "stream"} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			var feed jwstore.MemoryFeed
			var arrivals atomic.Int32
			reached := make(chan struct{}, 10)
			for i := range 4 {
				startTarget(t, &feed, fmt.Sprint("t", i), "s", "north-a", func(_ http.ResponseWriter, r *http.Request) {
					if r.URL.Path != "/a/x" {
						return
					}
					if arrivals.Add(1) == 1 {
						panic(http.ErrAbortHandler)
					}
					reached <- struct{}{}
					<-r.Context().Done()
				})
			}
			configure(&feed, 1, slowRoute("/a/", kind, `,"Resumable":true`))
			var link requestLink
			n := startWith(t, &feed, "n1", "south", func(g *jwgateway.Gateway) {
				g.Nodes.Dial = link.dial
				manyRetries(g)
			})
			others := []node{startWith(t, &feed, "n2", "north", manyRetries), startWith(t, &feed, "n3", "north", manyRetries)}
			waitForDirectory(t, n, "north", others...)
			sendUntil(t, n, "/a/w", served)
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				_, _ = send(t, n, http.MethodGet, "/a/x", "one", http.Header{"Jujubewheel-Deadline-Ms": {"60000"}}, "")
			}()
			<-reached
			_ = link.carrier.Load().Close()
			select {
			case <-ended:
			case <-reached: // one more than its entry allows
			}
			assert.Equal(t, arrivals.Load(), int32(2))
		})
	}
}

// manyRetries gives a node so large a budget that the number of attempts alone limits its retries.
func manyRetries(g *jwgateway.Gateway) { g.Settings.Gateway.Bounds.RetrySlack = 1e6 }

// requestLink keeps the last connection on which the request "one" was sent.
type requestLink struct{ carrier atomic.Pointer[requestConn] }

type requestConn struct {
	net.Conn
	link *requestLink
}

func (l *requestLink) dial(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &requestConn{c, l}, nil
}

func (c *requestConn) Write(b []byte) (int, error) {
	if bytes.Contains(b, []byte("Jujubewheel-Request-Id: one\r\n")) {
		c.link.carrier.Store(c)
	}
	return c.Conn.Write(b)
}
