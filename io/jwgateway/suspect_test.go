package jwgateway_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"gotest.tools/v3/assert"

	"jujubewheel/core/jwstore"
	"jujubewheel/core/jwsuspect"
	"jujubewheel/io/jwgateway"
)

// A request crashes each target that starts to run it, and its caller sends it repeatedly to all
// nodes. Without quarantine it would take down the whole service.
func TestRequestThatCrashesTargets(t *testing.T) {
	t.Parallel()
	var feed jwstore.MemoryFeed
	var crashes atomic.Int32
	startCrashingTargets(t, &feed, &crashes, "north", 6)
	configure(&feed, 1, route("/a/", "idempotent", ""))
	nodes := []node{start(t, &feed, "n1", "north"), start(t, &feed, "n2", "north")}
	waitForDirectory(t, nodes[0], "north", nodes...)
	waitForDirectory(t, nodes[1], "north", nodes...)
	for i := range 10 {
		r, err := send(t, nodes[i%2], http.MethodPost, "/a/x", fmt.Sprint("bad", i), nil, "the poison")
		assert.NilError(t, err)
		assert.Assert(t, r.status == http.StatusBadGateway || r.status == http.StatusServiceUnavailable, r.status)
		if i == 0 {
			// The other node learns of the crash with the next exchange.
			sendUntil(t, nodes[1], "/a/x", served)
			for rejected := false; !rejected; {
				r, err := send(t, nodes[1], http.MethodPost, "/a/x", "again", nil, "the poison")
				assert.NilError(t, err)
				rejected = r.status == http.StatusServiceUnavailable
			}
		}
	}
	// The exchange may have been in flight when the second node sent the request once.
	assert.Assert(t, crashes.Load() <= 4, "%d targets crashed", crashes.Load())
	for i := range 20 {
		r, err := send(t, nodes[i%2], http.MethodPost, "/a/x", fmt.Sprint("good", i), nil, fmt.Sprint("innocent", i))
		assert.NilError(t, err)
		assert.Equal(t, r.status, http.StatusOK)
	}
}

// startCrashingTargets starts targets of service s that serve all requests but those whose body
// contains "poison", which crash them.
func startCrashingTargets(t *testing.T, feed *jwstore.MemoryFeed, crashes *atomic.Int32, region string, n int) {
	for i := range n {
		var s *httptest.Server
		s = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			if strings.Contains(string(body), "poison") {
				crashes.Add(1)
				_ = s.Listener.Close()
				panic(http.ErrAbortHandler)
			}
			w.Header().Set("Jujubewheel-Request-Id", r.Header.Get("Jujubewheel-Request-Id"))
			w.Header().Set("Jujubewheel-Server-Seal", "seal")
		}))
		s.Config.ErrorLog = nil
		t.Cleanup(s.CloseClientConnections)
		register(feed, fmt.Sprint(region, "-t", i), "s", s.Listener.Addr().String(), region+"-a", "ready")
	}
}

// The caller of a request that crashes its targets sends it again from another address each time.
func TestCrashingRequestFromOtherAddresses(t *testing.T) {
	t.Parallel()
	var feed jwstore.MemoryFeed
	var crashes atomic.Int32
	startCrashingTargets(t, &feed, &crashes, "north", 12)
	configure(&feed, 1, route("/a/", "idempotent", ""))
	n := start(t, &feed, "n1", "north")
	waitForDirectory(t, n, "north", n)
	for i := range 8 {
		from := netip.AddrFrom4([4]byte{127, 0, 0, byte(2 + i)})
		r, err := sendFrom(t, from, n, http.MethodPost, "/a/x", fmt.Sprint("bad", i), nil, "the poison")
		assert.NilError(t, err)
		assert.Assert(t, r.status == http.StatusBadGateway || r.status == http.StatusServiceUnavailable, r.status)
	}
	assert.Equal(t, crashes.Load(), int32(2))
}

// logLines collects the log of a node.
type logLines struct {
	mu    sync.Mutex
	lines []string
}

func (l *logLines) logger() logr.Logger {
	return funcr.New(func(_, line string) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.lines = append(l.lines, line)
	}, funcr.Options{})
}

// waitFor waits until a line contains the text.
func (l *logLines) waitFor(t *testing.T, text string) {
	t.Helper()
	eventually(t, func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return slices.ContainsFunc(l.lines, func(line string) bool { return strings.Contains(line, text) })
	})
}

// startLogging starts a gateway and returns its log, too.
func startLogging(t *testing.T, feed jwstore.Feed, name, region string, change ...func(*jwgateway.Gateway)) (node, *logLines) {
	t.Helper()
	log := &logLines{}
	return startWith(t, feed, name, region, func(g *jwgateway.Gateway) {
		g.Log = log.logger()
		for _, c := range change {
			c(g)
		}
	}), log
}

// crash sends the crashing request until the node rejects it as quarantined.
func crash(t *testing.T, n node, path string) {
	t.Helper()
	for i := 0; ; i++ {
		r, err := send(t, n, http.MethodPost, path, fmt.Sprint("bad", i), nil, "the poison")
		assert.NilError(t, err)
		if r.status == http.StatusServiceUnavailable && strings.Contains(r.body, "two targets") {
			// Before the quarantine ends, a retry would be rejected again.
			seconds, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
			assert.NilError(t, err)
			assert.Assert(t, seconds > (jwsuspect.DefaultQuarantine-10*time.Second).Seconds(), seconds)
			return
		}
		assert.Assert(t, i < 20, "not quarantined")
	}
}

// A request with two home regions crashes targets of one, and then is sent to the other one.
func TestCrashingRequestAtItsOtherHome(t *testing.T) {
	t.Parallel()
	var feed jwstore.MemoryFeed
	var north, south atomic.Int32
	startCrashingTargets(t, &feed, &north, "north", 4)
	startCrashingTargets(t, &feed, &south, "south", 4)
	configure(&feed, 1, route("/a/", "idempotent", `,"HomeRegions":["north","south"]`))
	n1 := start(t, &feed, "n1", "north")
	n2, log := startLogging(t, &feed, "n2", "south")
	waitForDirectory(t, n1, "south", n2)
	waitForDirectory(t, n2, "north", n1)
	crash(t, n1, "/a/x")
	assert.Equal(t, north.Load(), int32(2))
	log.waitFor(t, `"request barred"`)
	crash(t, n2, "/a/x")
	assert.Equal(t, south.Load(), int32(0))
}

// Long requests that begin alike, with the same long instructions, must not be barred for one of them.
func TestLongRequestsThatBeginAlike(t *testing.T) {
	t.Parallel()
	var feed jwstore.MemoryFeed
	var crashes atomic.Int32
	startCrashingTargets(t, &feed, &crashes, "north", 6)
	configureLargeBodies(&feed, maxBody, "")
	n := start(t, &feed, "n1", "north")
	waitForDirectory(t, n, "north", n)
	long := strings.Repeat("instructions ", 10_000)
	for i := range 3 {
		_, err := send(t, n, http.MethodPost, "/w/x", fmt.Sprint("bad", i), nil, long+"the poison")
		assert.NilError(t, err)
	}
	r, err := send(t, n, http.MethodPost, "/w/x", "good", nil, long+"a harmless question")
	assert.NilError(t, err)
	assert.Equal(t, r.status, http.StatusOK, r.body)
	assert.Equal(t, crashes.Load(), int32(2))
}

// A node that starts long after the crashes is sent the request that caused them.
func TestCrashingRequestAtNodeThatStartsLater(t *testing.T) {
	t.Parallel()
	var feed jwstore.MemoryFeed
	var crashes atomic.Int32
	startCrashingTargets(t, &feed, &crashes, "north", 6)
	configure(&feed, 1, route("/a/", "idempotent", ""))
	n1 := start(t, &feed, "n1", "north")
	n2 := start(t, &feed, "n2", "north")
	waitForDirectory(t, n1, "north", n1, n2)
	crash(t, n1, "/a/x")
	time.Sleep(time.Second) // several exchanges
	n3, log := startLogging(t, &feed, "n3", "north")
	waitForDirectory(t, n3, "north", n1, n2, n3)
	log.waitFor(t, `"request barred"`)
	crash(t, n3, "/a/x")
	assert.Equal(t, crashes.Load(), int32(2))
}

// In a large region nodes learn of each other's crashes through relays only, one crash at each.
func TestCrashingRequestThroughRelay(t *testing.T) {
	t.Parallel()
	var feed jwstore.MemoryFeed
	var crashes atomic.Int32
	startCrashingTargets(t, &feed, &crashes, "north", 6)
	configure(&feed, 1, route("/a/", "non_idempotent", ""))
	var nodes []node
	var logs []*logLines
	for i := range 4 {
		n, log := startLogging(t, &feed, fmt.Sprint("n", i), "north", withRelayThreshold(2))
		nodes, logs = append(nodes, n), append(logs, log)
	}
	for _, n := range nodes {
		waitForDirectory(t, n, "north", nodes...)
	}
	for i := range 2 {
		_, err := send(t, nodes[1+i], http.MethodPost, "/a/x", fmt.Sprint("bad", i), nil, "the poison")
		assert.NilError(t, err)
	}
	for _, log := range logs {
		log.waitFor(t, `"request barred"`)
	}
	for _, n := range nodes {
		crash(t, n, "/a/x")
	}
	assert.Equal(t, crashes.Load(), int32(2))
}
