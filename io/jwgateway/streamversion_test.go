package jwgateway_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
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

// registerVersion registers a target with the version of its software.
func registerVersion(feed *jwstore.MemoryFeed, id, addr, dataCentre, version, state string, born int) {
	feed.Write("servers/"+id, fmt.Appendf(nil, `{"Service":"s","Addr":%q,"Zone":%q,"Version":%q,"Slots":8,"State":%q,"WarmupLeftMs":0,"Seq":1,"born":%d}`,
		addr, dataCentre, version, state, born))
}

// startVersion starts a target of a version.
func startVersion(t *testing.T, feed *jwstore.MemoryFeed, id, dataCentre, version string, serve http.HandlerFunc) *target {
	t.Helper()
	x := startTarget(t, feed, id, "s", dataCentre, serve)
	registerVersion(feed, id, x.addr, dataCentre, version, "ready", 1)
	return x
}

// breaking streams two events whose data is the version, from the one after Last-Event-Id, and breaks
// off unless these were the last of count.
func breaking(version string, count int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		w.Header().Set("Content-Type", "text/event-stream")
		for i := last + 1; i <= min(last+2, count); i++ {
			_, _ = io.WriteString(w, event(i, version))
		}
		if last+2 < count {
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
	}
}

func event(id int, version string) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", id, version) }

// The log must show the version of a target, and which stream a request continues.
func TestVersionIsLogged(t *testing.T) {
	t.Parallel()
	var feed jwstore.MemoryFeed
	startVersion(t, &feed, "t1", "north-a", "v7", breaking("v7", 4))
	configure(&feed, 1, route("/a/", "stream", `,"Resumable":true`))
	var log lockedBuffer
	n := startWith(t, &feed, "n1", "north", func(g *jwgateway.Gateway) { g.Decisions = jwlog.NewDecisions(&log, &log, "n1") })
	sendUntil(t, n, "/a/x", served)
	_, _ = send(t, n, http.MethodGet, "/a/x", "r2", http.Header{"Last-Event-Id": {"2"}, "Resumes": {"r1"}}, "")
	eventually(t, func() bool {
		return strings.Contains(log.String(), `"targetVersion":"v7"`) && strings.Contains(log.String(), `"lastEvent":"2","firstRequest":"r1"`)
	})
}

// heartbeat writes the registrations of targets again and again, so that nodes know that their view of
// the store is recent.
func heartbeat(t *testing.T, feed *jwstore.MemoryFeed) {
	t.Helper()
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-done:
				return
			case <-time.After(100 * time.Millisecond):
				feed.Write("beat", fmt.Append(nil, i))
			}
		}
	})
	t.Cleanup(func() { close(done); wg.Wait() })
}

// takenUpStream is a stream at a caller, over all its tries.
type takenUpStream struct {
	first    string // request that brought the first event
	last     int    // last event received
	versions map[string]bool
	whole    bool
}

// try sends a request for the stream to a node. It returns whether it brought events, and the status.
func (s *takenUpStream) try(t *testing.T, n node, id string) (goesOn bool, status int) {
	t.Helper()
	h := http.Header{}
	if s.last > 0 {
		h["Last-Event-Id"] = []string{strconv.Itoa(s.last)}
		h["Resumes"] = []string{s.first}
	}
	r, err := send(t, n, http.MethodGet, "/a/x", id, h, "")
	if err != nil || r.status != http.StatusOK {
		return false, r.status
	}
	for part := range strings.SplitSeq(r.body, "\n\n") {
		if part == "" {
			continue
		}
		number, version, _ := strings.Cut(strings.TrimPrefix(part, "id: "), "\ndata: ")
		i, err := strconv.Atoi(number)
		assert.NilError(t, err)
		assert.Equal(t, i, s.last+1)
		if s.first == "" {
			s.first, s.versions = id, make(map[string]bool)
		}
		s.last, goesOn = i, true
		s.versions[version] = true
	}
	s.whole = r.err == nil
	return goesOn, r.status
}

// versionedFleet is a fleet before targets of several versions.
type versionedFleet struct {
	feed    *jwstore.MemoryFeed
	nodes   []node
	regions map[string][]node
	targets []*target
}

// startVersions starts nodes in each region, and two targets of each version in north and south, whose
// streams have count events.
func startVersions(t *testing.T, nodesPerRegion int, versions []string, count int) *versionedFleet {
	t.Helper()
	f := &versionedFleet{feed: new(jwstore.MemoryFeed), regions: make(map[string][]node)}
	for _, dataCentre := range []string{"north-a", "south-a"} {
		for _, v := range versions {
			for i := range 2 {
				f.targets = append(f.targets, startVersion(t, f.feed, fmt.Sprint(dataCentre, v, i), dataCentre, v, breaking(v, count)))
			}
		}
	}
	configure(f.feed, 1, route("/a/", "stream", `,"Resumable":true`))
	heartbeat(t, f.feed)
	for _, region := range []string{"north", "south", "east"} {
		for i := range nodesPerRegion {
			n := start(t, f.feed, fmt.Sprint("n-", region, i), region)
			f.nodes, f.regions[region] = append(f.nodes, n), append(f.regions[region], n)
		}
	}
	for region, list := range f.regions {
		for _, n := range list {
			waitForDirectory(t, n, region, list...)
		}
	}
	return f
}

// Targets of several versions serve a service side by side and streams break off: a stream must go on
// at the version that began it, within an answer and when its caller takes it up again at any node.
func TestStreamsGoOnAtTheirVersion(t *testing.T) {
	t.Parallel()
	const count, streams, tries = 12, 60, 6
	nodes := startVersions(t, 2, []string{"v1", "v2", "v3"}, count).nodes
	r := rand.New(rand.NewPCG(1, 1))
	begun, mixed, resumed, wentOn := 0, 0, 0, 0
	play := func(i int, at []node) {
		var s takenUpStream
		for try := range tries {
			taken := s.last > 0
			goesOn, _ := s.try(t, at[r.IntN(len(at))], fmt.Sprintf("s%d-%d", i, try))
			if taken {
				resumed++
				if goesOn {
					wentOn++
				}
			}
			if s.whole && s.last == count {
				break
			}
		}
		if s.last > 0 {
			begun++
		}
		if len(s.versions) > 1 {
			mixed++
		}
	}
	for i := range streams {
		play(i, nodes)
	}
	t.Logf("%d of %d streams begun, %d hold events of several versions, %d of %d tries went on", begun, streams, mixed, wentOn, resumed)
	assert.Assert(t, begun > streams/2)
	assert.Equal(t, mixed, 0)
	assert.Assert(t, 2*wentOn*streams >= resumed*begun, "%d of %d tries went on", wentOn, resumed)
}

// Nodes or the store are gone after streams began: these go on at their version at the nodes that are
// left, in the same region or in another one.
func TestStreamsGoOnAfterALoss(t *testing.T) {
	t.Parallel()
	const count, streams = 12, 30
	stop := func(nodes ...node) {
		for _, n := range nodes {
			n.stop()
		}
	}
	cases := map[string]struct {
		lose   func(f *versionedFleet)
		resume func(f *versionedFleet) []node
	}{
		"nothing": {
			func(*versionedFleet) {},
			func(f *versionedFleet) []node { return f.regions["north"][1:] },
		},
		"their node": {
			func(f *versionedFleet) { stop(f.regions["north"][0]) },
			func(f *versionedFleet) []node { return f.regions["north"][1:] },
		},
		"their node and another one of its region": {
			func(f *versionedFleet) { stop(f.regions["north"][:2]...) },
			func(f *versionedFleet) []node { return f.regions["north"][2:] },
		},
		"their region": {
			func(f *versionedFleet) { stop(f.regions["north"]...) },
			func(f *versionedFleet) []node { return append(f.regions["south"], f.regions["east"]...) },
		},
		"the store": {
			func(f *versionedFleet) { f.feed.SetError(jwstore.ErrUnavailable) },
			func(f *versionedFleet) []node { return f.regions["north"][1:] },
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startVersions(t, 3, []string{"v1", "v2"}, count)
			var list []*takenUpStream
			for i := range streams {
				var s takenUpStream
				s.try(t, f.nodes[0], fmt.Sprint("s", i))
				if s.last > 0 {
					list = append(list, &s)
				}
			}
			assert.Assert(t, len(list) > streams/2)
			time.Sleep(100 * time.Millisecond)
			c.lose(f)
			wentOn, nodes := 0, c.resume(f)
			for i, s := range list {
				if goesOn, _ := s.try(t, nodes[i%len(nodes)], fmt.Sprint("t", i)); goesOn {
					wentOn++
				}
				assert.Equal(t, len(s.versions), 1)
			}
			t.Logf("%d of %d went on", wentOn, len(list))
			assert.Assert(t, 2*wentOn >= len(list), "%d of %d went on", wentOn, len(list))
		})
	}
}

// The version that began a stream isn't known, or has no target left: the stream is rejected at once as
// not run, so that its caller can begin anew.
func TestStreamOfUnknownVersionIsRejected(t *testing.T) {
	t.Parallel()
	f := startVersions(t, 2, []string{"v1", "v2"}, 4)
	for name, h := range map[string]http.Header{
		"unknown request": {"Last-Event-Id": {"2"}, "Resumes": {"nobody"}},
		"no request":      {"Last-Event-Id": {"2"}},
	} {
		for i, n := range f.nodes {
			id := fmt.Sprintf("%s %d", name, i)
			r, err := send(t, n, http.MethodGet, "/a/x", id, h, "")
			assert.NilError(t, err)
			assert.Equal(t, r.status, http.StatusServiceUnavailable, r.body)
			assert.Assert(t, r.header.Get("Retry-After") != "")
			for _, x := range f.targets {
				for _, got := range x.requests() {
					assert.Assert(t, got.header.Get("Jujubewheel-Request-Id") != id)
				}
			}
		}
	}
}

func TestStreamWithoutTargetOfItsVersionIsRejected(t *testing.T) {
	t.Parallel()
	var feed jwstore.MemoryFeed
	startVersion(t, &feed, "t1", "north-a", "v1", breaking("v1", 12))
	configure(&feed, 1, route("/a/", "stream", `,"Resumable":true`))
	heartbeat(t, &feed)
	n := start(t, &feed, "n1", "north")
	var s takenUpStream
	for i := 0; s.last == 0; i++ {
		s.try(t, n, fmt.Sprint("s", i))
		time.Sleep(10 * time.Millisecond)
	}
	x := startVersion(t, &feed, "t2", "north-a", "v2", breaking("v2", 12))
	feed.Remove("servers/t1")
	eventually(t, func() bool {
		var other takenUpStream
		other.try(t, n, fmt.Sprint("o", time.Now().UnixNano()))
		return other.versions["v2"]
	})
	before := len(x.requests())
	_, status := s.try(t, n, "again")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, len(x.requests()), before)
}

// All targets have one version for longer than a stream lasts: a stream goes on although no node knows
// who began it.
func TestStreamOfOnlyVersionGoesOn(t *testing.T) {
	t.Parallel()
	for _, n := range startVersions(t, 2, []string{"v1"}, 4).nodes {
		s := takenUpStream{first: "nobody", last: 2, versions: map[string]bool{}}
		eventually(t, func() bool {
			goesOn, _ := s.try(t, n, fmt.Sprint("s", time.Now().UnixNano()))
			return goesOn
		})
		assert.Equal(t, s.last, 4)
	}
}

// cutFeed is a store that one node may be cut off from.
type cutFeed struct {
	*jwstore.MemoryFeed
	cut atomic.Bool
}

func (f *cutFeed) Range(ctx context.Context, prefix, after string) (jwstore.Page, error) {
	if f.cut.Load() {
		return jwstore.Page{}, jwstore.ErrUnavailable
	}
	return f.MemoryFeed.Range(ctx, prefix, after)
}

func (f *cutFeed) Watch(ctx context.Context, prefix string, after jwstore.Revision, maxWait time.Duration) ([]jwstore.Event, jwstore.Revision, error) {
	events, revision, err := f.MemoryFeed.Watch(ctx, prefix, after, maxWait)
	if f.cut.Load() {
		return nil, 0, jwstore.ErrUnavailable
	}
	return events, revision, err
}

// A node that is cut off from the store doesn't learn of a new version: a stream that another node began
// there must not go on at the version that this one takes for the only one.
func TestStreamAtANodeThatIsBehind(t *testing.T) {
	t.Parallel()
	const count = 12
	feed := &jwstore.MemoryFeed{}
	startVersion(t, feed, "t1", "north-a", "v1", breaking("v1", count))
	configure(feed, 1, route("/a/", "stream", `,"Resumable":true`))
	heartbeat(t, feed)
	behind := &cutFeed{MemoryFeed: feed}
	n1, n2 := start(t, behind, "n1", "north"), start(t, feed, "n2", "north")
	waitForDirectory(t, n1, "north", n1, n2)
	waitForDirectory(t, n2, "north", n1, n2)
	// Both nodes know that v1 has been the only version for long enough.
	for _, n := range []node{n1, n2} {
		eventually(t, func() bool {
			s := takenUpStream{first: "nobody", last: 2, versions: map[string]bool{}}
			goesOn, _ := s.try(t, n, fmt.Sprint("s", time.Now().UnixNano()))
			return goesOn
		})
	}
	behind.cut.Store(true)
	startVersion(t, feed, "t2", "north-a", "v2", breaking("v2", count))
	wentOn, taken := 0, 0
	for i := 0; taken < 10 && i < 1000; i++ {
		var s takenUpStream
		s.try(t, n2, fmt.Sprint("a", i))
		if !s.versions["v2"] {
			time.Sleep(5 * time.Millisecond) // n2 has yet to learn of the new target
			continue
		}
		taken++
		if goesOn, _ := s.try(t, n1, fmt.Sprint("b", i)); goesOn {
			wentOn++
		}
		assert.Equal(t, len(s.versions), 1)
	}
	assert.Equal(t, taken, 10)
	t.Logf("%d of %d went on at their version", wentOn, taken)
}

// All nodes are lost at once, and with them what they knew of streams. A stream goes on at the nodes that
// start after them if the service had one version only.
func TestStreamsAfterAllNodesAreLost(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		versions []string
		status   int
	}{
		"one version":  {[]string{"v1"}, http.StatusOK},
		"two versions": {[]string{"v1", "v2"}, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startVersions(t, 1, c.versions, 12)
			eventually(t, func() bool { return f.feed.Has("jujubewheel/versions") })
			var s takenUpStream
			s.try(t, f.nodes[0], "first")
			assert.Assert(t, s.last > 0)
			for _, n := range f.nodes {
				n.stop()
			}
			n := start(t, f.feed, "n-new", "north")
			sendUntil(t, n, "/a/x", served)
			goesOn, status := s.try(t, n, "again")
			assert.Equal(t, status, c.status)
			assert.Equal(t, goesOn, c.status == http.StatusOK)
			assert.Equal(t, len(s.versions), 1)
		})
	}
}

// A version that has had no target for as long as its streams may last is no longer stored.
func TestStoredVersionsFollowTargets(t *testing.T) {
	t.Parallel()
	feed := &jwstore.MemoryFeed{}
	startVersion(t, feed, "t1", "north-a", "v1", breaking("v1", 12))
	configure(feed, 1, route("/a/", "stream", `,"Resumable":true`))
	heartbeat(t, feed)
	start(t, feed, "n1", "north")
	stored := func(want string) {
		t.Helper()
		eventually(t, func() bool {
			p, err := feed.Range(t.Context(), "jujubewheel/versions", "")
			return err == nil && len(p.Items) == 1 && string(p.Items[0].Value) == want
		})
	}
	stored(`{"s":["v1"]}`)
	startVersion(t, feed, "t2", "north-a", "v2", breaking("v2", 12))
	stored(`{"s":["v1","v2"]}`)
	feed.Remove("servers/t1")
	stored(`{"s":["v2"]}`)
}

// versionRefusingFeed is a store that doesn't take the versions of services while refuses is set.
type versionRefusingFeed struct {
	*jwstore.MemoryFeed
	refuses *atomic.Bool
}

func (f versionRefusingFeed) Set(ctx context.Context, key string, value []byte, lease jwstore.Lease) error {
	if key == "jujubewheel/versions" && f.refuses.Load() {
		return jwstore.ErrUnavailable
	}
	return f.MemoryFeed.Set(ctx, key, value, lease)
}

// A release comes, begins streams and is taken back while the store doesn't take the list of versions; then all
// nodes are lost. A stream must not go on at the version that the nodes which start then take for the only one.
func TestStreamsOfAVersionThatWasNotStored(t *testing.T) {
	t.Parallel()
	for name, oldLeaves := range map[string]bool{"beside the old version": false, "in place of the old version": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const count = 12
			refuses := new(atomic.Bool)
			feed := versionRefusingFeed{&jwstore.MemoryFeed{}, refuses}
			old := startVersion(t, feed.MemoryFeed, "t1", "north-a", "v1", breaking("v1", count))
			configure(feed.MemoryFeed, 1, route("/a/", "stream", `,"Resumable":true`))
			heartbeat(t, feed.MemoryFeed)
			nodes := []node{start(t, feed, "n1", "north"), start(t, feed, "n2", "north")}
			waitForDirectory(t, nodes[0], "north", nodes...)
			eventually(t, func() bool { return feed.Has("jujubewheel/versions") })
			refuses.Store(true)
			startVersion(t, feed.MemoryFeed, "t2", "north-a", "v2", breaking("v2", count))
			if oldLeaves {
				feed.Remove("servers/t1")
			}
			var begun []*takenUpStream
			for i := range 100 {
				s := &takenUpStream{}
				s.try(t, nodes[i%2], fmt.Sprint("first", i))
				if s.last > 0 {
					begun = append(begun, s)
				}
				time.Sleep(10 * time.Millisecond)
			}
			feed.Remove("servers/t2")
			registerVersion(feed.MemoryFeed, "t1", old.addr, "north-a", "v1", "ready", 1)
			for _, n := range nodes {
				n.stop()
			}
			refuses.Store(false)
			n := start(t, feed, "n-new", "north")
			sendUntil(t, n, "/a/x", served)
			wentOn := 0
			for i, s := range begun {
				if goesOn, _ := s.try(t, n, fmt.Sprint("again", i)); goesOn {
					wentOn++
				}
				assert.Equal(t, len(s.versions), 1, "stream %d", i)
			}
			t.Logf("%d of %d go on", wentOn, len(begun))
			if !oldLeaves {
				assert.Equal(t, wentOn, 100)
			}
		})
	}
}

// A version whose first target has just been registered is used as soon as the store has it, also if the node that writes
// the list is turned away.
func TestAnotherNodeStoresAVersion(t *testing.T) {
	t.Parallel()
	const count = 12
	feed, refuses := &jwstore.MemoryFeed{}, new(atomic.Bool)
	startVersion(t, feed, "t1", "north-a", "v1", breaking("v1", count))
	configure(feed, 1, route("/a/", "stream", `,"Resumable":true`))
	heartbeat(t, feed)
	n1, n2 := start(t, versionRefusingFeed{feed, refuses}, "n1", "north"), start(t, feed, "n2", "north")
	waitForDirectory(t, n1, "north", n1, n2)
	waitForDirectory(t, n2, "north", n1, n2)
	eventually(t, func() bool { return feed.Has("jujubewheel/versions") })
	refuses.Store(true)
	startVersion(t, feed, "t2", "north-a", "v2", breaking("v2", count))
	i := 0
	eventually(t, func() bool {
		i++
		var s takenUpStream
		s.try(t, n1, fmt.Sprint("s", i))
		return s.versions["v2"]
	})
}
