package jwgateway

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"jujubewheel/core/jwentry"
	"jujubewheel/core/jwinstance"
	"jujubewheel/core/jwstore"
)

// countingRecords decodes configurations that consist of their version only, and counts them.
type countingRecords struct{ decoded int }

func (*countingRecords) IsConfig(key string) bool         { return key == "op/config" }
func (*countingRecords) Evacuation(string) (string, bool) { return "", false }
func (*countingRecords) TargetID(string) (string, bool)   { return "", false }

func (r *countingRecords) Config(value []byte) (*jwentry.Config, error) {
	r.decoded++
	c := &jwentry.Config{}
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
	assert.Equal(t, r.decoded, 2)
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
