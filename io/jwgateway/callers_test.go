package jwgateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubewheel/core/jwstore"
	"jujubewheel/io/jwgateway"
)

// configureKeys writes a configuration in which callers need keys.
func configureKeys(feed *jwstore.MemoryFeed, version int, tenants string, routes ...string) {
	feed.Write("op/config", fmt.Appendf(nil, `{"Version":%d,"Routes":[%s],"Services":[{"Name":"s"}],"Tenants":[%s],
		"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":65536,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}`, version, strings.Join(routes, ","), tenants))
}

func key(k string) http.Header { return http.Header{"Authorization": {"Token " + k}} }

// A caller is identified by its key alone: a workspace name in its headers is ignored, and the key
// is not passed to the target.
func TestKeys(t *testing.T) {
	t.Parallel()
	var feed jwstore.MemoryFeed
	x := startTarget(t, &feed, "t1", "s", "north-a", respondText("done"))
	configureKeys(&feed, 1, `{"Name":"w1","ApiKeys":["k1","k2"],"Priority":3},{"Name":"w2","ApiKeys":["k3"]}`,
		route("/a/", "non_idempotent", `,"Priority":1`), route("/open/", "non_idempotent", `,"Public":true`))
	n := start(t, &feed, "n1", "north")
	sendUntil(t, n, "/open/x", served)
	cases := map[string]struct {
		path      string
		header    http.Header
		status    int
		workspace string // workspace passed to the target
		priority  string
	}{
		"first key":               {"/a/x", key("k1"), 200, "w1", "3"},
		"second key":              {"/a/x", key("k2"), 200, "w1", "3"},
		"priority of the entry":   {"/a/x", key("k3"), 200, "w2", "1"},
		"no key":                  {"/a/x", nil, 401, "", ""},
		"unknown key":             {"/a/x", key("k4"), 401, "", ""},
		"another scheme":          {"/a/x", http.Header{"Authorization": {"Basic k1"}}, 401, "", ""},
		"an invented name":        {"/a/x", http.Header{"Authorization": {"Token k1"}, "Jujubewheel-Tenant": {"w2"}}, 200, "w1", "3"},
		"a name without a key":    {"/a/x", http.Header{"Jujubewheel-Tenant": {"w2"}}, 401, "", ""},
		"public, no key":          {"/open/x", nil, 200, "", "0"},
		"public, unknown key":     {"/open/x", key("k4"), 200, "", "0"},
		"public, key":             {"/open/x", key("k3"), 200, "w2", "0"},
		"public, an invented one": {"/open/x", http.Header{"Jujubewheel-Tenant": {"w2"}}, 200, "", "0"},
		"no such entry":           {"/none/x", nil, 404, "", ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			before := len(x.requests())
			h := c.header.Clone()
			if h == nil {
				h = http.Header{}
			}
			h["Jujubewheel-Token-Count"] = []string{"10,20"}
			r, err := send(t, n, http.MethodPost, c.path, name, h, "body")
			assert.NilError(t, err)
			assert.Equal(t, r.status, c.status, r.body)
			got := x.requests()[before:]
			if c.status != http.StatusOK {
				assert.Equal(t, len(got), 0)
				return
			}
			assert.Equal(t, got[0].header.Get("Jujubewheel-Tenant"), c.workspace)
			assert.Equal(t, got[0].header.Get("Jujubewheel-Request-Priority"), c.priority)
			assert.Equal(t, got[0].header.Get("Authorization"), "")
		})
	}
}

// Without workspaces in the configuration, the Authorization header belongs to the callers and is
// passed to the target.
func TestWithoutKeys(t *testing.T) {
	t.Parallel()
	var feed jwstore.MemoryFeed
	x := startTarget(t, &feed, "t1", "s", "north-a", respondText("done"))
	configure(&feed, 1, route("/a/", "idempotent", ""))
	n := start(t, &feed, "n1", "north")
	sendUntil(t, n, "/a/x", served)
	_, err := send(t, n, http.MethodGet, "/a/x", "one", http.Header{"Authorization": {"Token k"}, "Jujubewheel-Tenant": {"w"}}, "")
	assert.NilError(t, err)
	all := x.requests()
	assert.Equal(t, all[len(all)-1].header.Get("Authorization"), "Token k")
	assert.Equal(t, all[len(all)-1].header.Get("Jujubewheel-Tenant"), "")
}

// statusOf returns the status of the answer to a caller with a key, 0 if there is none.
func statusOf(t *testing.T, n node, k string) int {
	t.Helper()
	r, err := send(t, n, http.MethodGet, "/a/x", "one", key(k), "")
	if err != nil {
		return 0
	}
	return r.status
}

// waitForStatus waits until a caller with a key gets a status.
func waitForStatus(t *testing.T, n node, k string, status int) {
	t.Helper()
	for range 1000 {
		if statusOf(t, n, k) == status {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("key %s: still %d, want %d", k, statusOf(t, n, k), status)
}

// A removed key is rejected and a restored one is accepted, also at a node that can't reach the
// store but reaches another node.
func TestKeyRemoved(t *testing.T) {
	t.Parallel()
	var feed jwstore.MemoryFeed
	startTarget(t, &feed, "t1", "s", "north-a", respondText("done"))
	with, without := `{"Name":"w","ApiKeys":["k1","k2"]}`, `{"Name":"w","ApiKeys":["k2"]}`
	configureKeys(&feed, 1, with, route("/a/", "idempotent", ""))
	connected := start(t, &feed, "n1", "north")
	link := &disconnectableFeed{Feed: &feed}
	isolated := start(t, link, "n2", "north", connected.nodes)
	for _, n := range []node{connected, isolated} {
		waitForStatus(t, n, "k1", http.StatusOK)
	}
	link.disconnected.Store(true)
	for version, step := range []struct {
		tenants string
		status  int
	}{{without, http.StatusUnauthorized}, {with, http.StatusOK}} {
		configureKeys(&feed, version+2, step.tenants, route("/a/", "idempotent", ""))
		for _, n := range []node{connected, isolated} {
			waitForStatus(t, n, "k1", step.status)
			assert.Equal(t, statusOf(t, n, "k2"), http.StatusOK)
		}
	}
}

// A node that can't reach the store must not answer an unknown key with 401, because the key
// may have been added in the meantime.
func TestUnknownKeyWhileCutOff(t *testing.T) {
	t.Parallel()
	var feed jwstore.MemoryFeed
	startTarget(t, &feed, "t1", "s", "north-a", respondText("done"))
	configureKeys(&feed, 1, `{"Name":"w","ApiKeys":["k1"]}`, route("/a/", "idempotent", ""))
	link := &disconnectableFeed{Feed: &feed}
	n := start(t, link, "n1", "north")
	waitForStatus(t, n, "k1", http.StatusOK)
	assert.Equal(t, statusOf(t, n, "k2"), http.StatusUnauthorized)
	link.disconnected.Store(true)
	waitForStatus(t, n, "k2", http.StatusServiceUnavailable)
	assert.Equal(t, statusOf(t, n, "k1"), http.StatusOK)
	configureKeys(&feed, 2, `{"Name":"w","ApiKeys":["k1","k2"]}`, route("/a/", "idempotent", ""))
	link.disconnected.Store(false)
	waitForStatus(t, n, "k2", http.StatusOK)
	waitForStatus(t, n, "k3", http.StatusUnauthorized)
}

// The homes of a workspace restrict a request in addition to those of the entry, and the
// workspace's name is forwarded to the other region.
func TestWorkspaceHomes(t *testing.T) {
	t.Parallel()
	var feed jwstore.MemoryFeed
	here := startTarget(t, &feed, "t1", "s", "north-a", respondText("north"))
	there := startTarget(t, &feed, "t2", "s", "south-a", respondText("south"))
	configureKeys(&feed, 1, `{"Name":"w1","ApiKeys":["k1"],"HomeRegions":["south"],"Priority":2},{"Name":"w2","ApiKeys":["k2"],"HomeRegions":["east"]},{"Name":"w3","ApiKeys":["k3"]}`,
		route("/b/", "non_idempotent", `,"HomeRegions":["south","north"]`), route("/a/", "idempotent", ""))
	n := start(t, &feed, "n1", "north")
	start(t, &feed, "n2", "south", n.nodes)
	waitForStatus(t, n, "k1", http.StatusOK)
	before := len(here.requests())
	r, err := send(t, n, http.MethodPost, "/b/x", "two", key("k1"), "body")
	assert.NilError(t, err)
	assert.Equal(t, r.body, "south")
	all := there.requests()
	got := all[len(all)-1].header
	assert.Equal(t, got.Get("Jujubewheel-Tenant"), "w1")
	assert.Equal(t, got.Get("Authorization"), "")
	r, err = send(t, n, http.MethodPost, "/b/x", "three", key("k2"), "body")
	assert.NilError(t, err)
	assert.Equal(t, r.status, http.StatusServiceUnavailable, "entry and workspace have no home region in common")
	assert.Equal(t, len(here.requests()), before)
}

// A workspace that exceeds its quota is rejected at once; other workspaces are not affected.
func TestOverQuota(t *testing.T) {
	t.Parallel()
	var feed jwstore.MemoryFeed
	feed.Write("jujubewheel/fleet", []byte(`{"nodes":1}`))
	startTarget(t, &feed, "t1", "s", "north-a", respondText("done"))
	configureKeys(&feed, 1, `{"Name":"hot","ApiKeys":["k1"],"Unit":"tokens","PlainTokens":5,"RatePerS":20,"Burst":20},{"Name":"calm","ApiKeys":["k2"]}`,
		route("/a/", "non_idempotent", ""), route("/w/", "idempotent", `,"Public":true`))
	n := startWith(t, &feed, "n1", "north", func(g *jwgateway.Gateway) {
		g.Settings.Gateway.Bounds.QuotaWindow = 8 * time.Second
		g.Settings.Gateway.Bounds.QuotaRatio = 0.1
	})
	sendUntil(t, n, "/w/x", served)
	var rejected atomic.Int64
	var wg sync.WaitGroup
	for i := range 40 {
		wg.Go(func() {
			r, err := send(t, n, http.MethodPost, "/a/x", fmt.Sprint("hot", i), key("k1"), "body")
			assert.Check(t, err)
			if r.status == http.StatusTooManyRequests {
				rejected.Add(1)
				assert.Check(t, r.header.Get("Retry-After") != "")
				return
			}
			assert.Check(t, r.status == http.StatusOK, r.body)
		})
	}
	wg.Wait()
	assert.Assert(t, rejected.Load() > 0)
	r, err := send(t, n, http.MethodPost, "/a/x", "calm", key("k2"), "body")
	assert.NilError(t, err)
	assert.Equal(t, r.status, http.StatusOK)
}

// A request that needs more units than its node's share of the quota gets units from the other
// node, which doesn't need them.
func TestQuotaUnitsFromAnotherNode(t *testing.T) {
	t.Parallel()
	var feed jwstore.MemoryFeed
	feed.Write("jujubewheel/fleet", []byte(`{"nodes":2}`))
	startTarget(t, &feed, "t1", "s", "north-a", respondText("done"))
	configureKeys(&feed, 1, `{"Name":"w","ApiKeys":["k1"],"Unit":"tokens","RatePerS":1000,"Burst":1000}`,
		route("/b/", "non_idempotent", ""), route("/a/", "idempotent", `,"Public":true`))
	setQuotaBounds := func(g *jwgateway.Gateway) {
		g.Settings.Gateway.Bounds.QuotaWindow = 8 * time.Second
		g.Settings.Gateway.Bounds.QuotaRatio = 0.1
	}
	first := startWith(t, &feed, "n1", "north", setQuotaBounds)
	second := startWith(t, &feed, "n2", "north", setQuotaBounds, first.nodes)
	for _, n := range []node{first, second} {
		sendUntil(t, n, "/a/x", served)
	}
	large := key("k1")
	large["Jujubewheel-Token-Count"] = []string{"300,100"}
	for i := range 200 {
		r, err := send(t, second, http.MethodPost, "/b/x", fmt.Sprint("large", i), large, "body")
		assert.NilError(t, err)
		if r.status == http.StatusOK {
			return
		}
		assert.Equal(t, r.status, http.StatusTooManyRequests, r.body)
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatal("the other node transferred no quota units")
}
