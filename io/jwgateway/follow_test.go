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

// countedRecords decodes configurations that hold nothing but their version.
type countedRecords struct{ decoded int }

func (*countedRecords) IsConfig(key string) bool         { return key == "op/config" }
func (*countedRecords) Evacuation(string) (string, bool) { return "", false }
func (*countedRecords) TargetID(string) (string, bool)   { return "", false }

func (r *countedRecords) Config(value []byte) (*jwentry.Config, error) {
	r.decoded++
	c := &jwentry.Config{}
	_, err := fmt.Sscan(string(value), &c.Version)
	return c.Index(), err
}

func (*countedRecords) Target(string, []byte) (jwinstance.Instance, error) {
	return jwinstance.Instance{}, nil
}

// Operators change the configuration many times within a second, each time
// with hundreds of entries. A node that decodes all of them holds up requests.
func TestQuickSuccessionOfConfigurations(t *testing.T) {
	var feed jwstore.MemoryFeed
	r := &countedRecords{}
	g := &Gateway{Feed: &feed, Records: r, Log: logr.Discard(), changed: make(chan struct{}, 1)}
	f := &follower{g: g}
	feed.Write("op/config", []byte("1"))
	_, err := f.step(context.Background())
	assert.NilError(t, err)
	for v := 2; v <= 25; v++ {
		feed.Write("op/config", fmt.Append(nil, v))
	}
	_, err = f.step(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, g.entries.Version(), uint64(25))
	assert.Equal(t, r.decoded, 2)
}

// A fleet of eighty nodes asks the store as often as one of forty: the calls of a
// day are priced, and were the dearest thing of it.
func TestPauseGrowsWithTheFleet(t *testing.T) {
	cases := map[string]struct {
		nodes int
		want  time.Duration
	}{
		"alone":   {1, followPause},
		"small":   {40, followPause},
		"eighty":  {80, 2 * followPause},
		"hundred": {300, mostFollowPause},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, pauseOf(c.nodes), c.want)
		})
	}
}

// The store turns a third of a large fleet away for ten seconds. Each call counts, and
// the more nodes there are the more seldom each asks, up to a second.
func TestRetriesGrowWithTheFleet(t *testing.T) {
	cases := map[string]struct {
		nodes int
		want  time.Duration
	}{
		"one":    {1, followRetry},
		"forty":  {followNodes, followRetry},
		"eighty": {2 * followNodes, 2 * followRetry},
		"many":   {1000, mostRetry},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, spread(followRetry, c.nodes, mostRetry), c.want)
		})
	}
}
