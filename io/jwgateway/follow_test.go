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

// countingRecords decodes configurations that hold nothing but their version.
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

// Operators change the configuration many times within a second, each time
// with hundreds of entries. A node that decodes all of them holds up requests.
func TestOnlyLastConfigurationIsDecoded(t *testing.T) {
	var feed jwstore.MemoryFeed
	r := &countingRecords{}
	g := &Gateway{Feed: &feed, Records: r, Log: logr.Discard(), registrationChanged: make(chan struct{}, 1)}
	w := &storeWatcher{g: g}
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

// A fleet of eighty nodes asks the store as often as one of forty: the calls of a
// day are priced, and were the dearest thing of it.
func TestWatchPauseGrowsWithFleet(t *testing.T) {
	cases := map[string]struct {
		nodes int
		want  time.Duration
	}{
		"alone":   {1, minWatchPause},
		"small":   {40, minWatchPause},
		"eighty":  {80, 2 * minWatchPause},
		"hundred": {300, maxWatchPause},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, watchPauseFor(c.nodes), c.want)
		})
	}
}

// The store turns a third of a large fleet away for ten seconds. Each call counts, and
// the more nodes there are the more seldom each asks, up to a second.
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
