package jwgateway

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"jujubewheel/core/jwentry"
	"jujubewheel/core/jwfact"
	"jujubewheel/core/jwinstance"
	"jujubewheel/core/jwmember"
	"jujubewheel/core/jwstore"
	"jujubewheel/io/jwsettings"
)

// countingRecords decodes configurations that consist of their version only, and counts them.
type countingRecords struct{ decoded atomic.Int32 }

func (*countingRecords) IsConfig(key string) bool         { return key == "op/config" }
func (*countingRecords) Evacuation(string) (string, bool) { return "", false }
func (*countingRecords) TargetID(string) (string, bool)   { return "", false }

func (r *countingRecords) Config(value []byte) (*jwentry.Config, error) {
	r.decoded.Add(1)
	c := &jwentry.Config{Raw: value}
	_, err := fmt.Sscan(string(value), &c.Version)
	return c.Index(), err
}

func (*countingRecords) Target(string, []byte) (jwinstance.Instance, error) {
	return jwinstance.Instance{}, nil
}

// Operators change the configuration many times within a second, each time with hundreds of
// entries. A node that decodes every one of them would delay requests.
func TestOnlyLastConfigurationIsDecoded(t *testing.T) {
	var feed jwstore.MemoryFeed
	r := &countingRecords{}
	g := &Gateway{Feed: &feed, Records: r, Log: logr.Discard(), registrationChanged: make(chan struct{}, 1)}
	g.bounds.Store(&jwsettings.Bounds{ConfigInForce: jwsettings.DefaultConfigInForce})
	w := newStoreWatcher(g)
	feed.Write("op/config", []byte("1"))
	_, err := w.readOnce(context.Background())
	assert.NilError(t, err)
	for v := 2; v <= 25; v++ {
		feed.Write("op/config", fmt.Append(nil, v))
	}
	_, err = w.readOnce(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, g.entries.Version(), uint64(25))
	assert.Equal(t, r.decoded.Load(), int32(2))
}

// A fleet of eighty nodes calls the store as often as one of forty, because the store charges for
// each call and these calls are the highest cost of a day.
func TestWatchPauseGrowsWithFleet(t *testing.T) {
	cases := map[string]struct {
		nodes int
		want  time.Duration
	}{
		"alone":  {1, minWatchPause},
		"small":  {40, minWatchPause},
		"eighty": {80, 2 * minWatchPause},
		"many":   {300, maxWatchPause},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, watchPauseFor(c.nodes), c.want)
		})
	}
}

// The store rejects a third of a large fleet for ten seconds. Each call counts, so the wait
// between retries grows with the fleet, up to one second.
func TestRetryWaitGrowsWithFleet(t *testing.T) {
	cases := map[string]struct {
		nodes int
		want  time.Duration
	}{
		"one":    {1, watchRetry},
		"forty":  {scaleNodes, watchRetry},
		"eighty": {2 * scaleNodes, 2 * watchRetry},
		"many":   {1000, maxStoreRetry},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, scaleWait(watchRetry, c.nodes, maxStoreRetry), c.want)
		})
	}
}

// viewFeed is a store during whose watch the node applies the view of another node.
type viewFeed struct {
	*jwstore.MemoryFeed
	applyView func(at jwstore.Revision)
}

func (f *viewFeed) Watch(ctx context.Context, prefix string, after jwstore.Revision, maxWait time.Duration) ([]jwstore.Event, jwstore.Revision, error) {
	events, revision, err := f.MemoryFeed.Watch(ctx, prefix, after, maxWait)
	if f.applyView != nil {
		f.applyView(revision)
		f.applyView = nil
	}
	return events, revision, err
}

// A relay applies a view while its watch of the store is in flight. The changes that the view already
// had are not applied again, so nodes that know less must not take what the relay keeps for all changes.
func TestRelayKeepsNoGapAfterAView(t *testing.T) {
	feed := &viewFeed{MemoryFeed: new(jwstore.MemoryFeed)}
	g := &Gateway{
		Settings: &jwsettings.Settings{Node: "n1", Region: "north", DataCentre: "north-a"},
		Feed:     feed, Records: &countingRecords{}, Log: logr.Discard(), registrationChanged: make(chan struct{}, 1),
	}
	g.bounds.Store(&jwsettings.Bounds{ConfigInForce: jwsettings.DefaultConfigInForce})
	g.pauseDetector.Limit = pauseLimit
	g.pauseDetector.Reset()
	g.members.RelayThreshold = 1
	g.members.Self = jwmember.Member{Name: "n1", Region: "north", DataCentre: "north-a", Serving: true, Start: 1}
	w := newStoreWatcher(g)
	g.storeWatcher = w
	feed.Write("first", nil)
	_, err := w.readOnce(context.Background())
	assert.NilError(t, err)
	assert.Assert(t, g.readsForOthers(time.Now()))
	read := func() {
		t.Helper()
		_, err := w.readOnce(context.Background())
		assert.NilError(t, err)
	}
	feed.Write("op/config", []byte("1"))
	read()
	known := w.currentRevision() // of a node that knows as much as the relay did before the view
	feed.Write("op/config", []byte("2"))
	feed.applyView = func(at jwstore.Revision) {
		w.applyView(time.Now(), view{Revision: at, Facts: []jwfact.Fact{{Key: nodePrefix + "n1", Value: []byte(`{"name":"n1"}`), Revision: 1}}}, "n2")
	}
	read()
	feed.Write("op/config", []byte("3"))
	read()
	c := g.changesAfter(time.Now(), known)
	assert.Assert(t, c.Lost, "%d changes after %d look complete up to %d", len(c.Events), known, c.To)
	assert.Assert(t, !g.changesAfter(time.Now(), w.currentRevision()).Lost)
}

// A node must not take its configuration for newer than it is: an answer may have been on its way for long.
func TestWatchedUntil(t *testing.T) {
	start := time.Now()
	const wait = time.Second
	cases := map[string]struct {
		took   time.Duration
		events int
		want   time.Duration // after the start
	}{
		"a change, at once":          {10 * time.Millisecond, 1, 0},
		"a change, late answer":      {3 * time.Second, 1, 0},
		"no change":                  {wait, 0, wait},
		"no change, late answer":     {3 * time.Second, 0, wait},
		"no change, answered sooner": {wait / 2, 0, wait / 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, watchedUntil(start, start.Add(c.took), wait, c.events).Sub(start), c.want)
		})
	}
}
