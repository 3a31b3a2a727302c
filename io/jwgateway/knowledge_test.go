package jwgateway

import (
	"context"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"jujubewheel/core/jwinstance"
	"jujubewheel/core/jwmember"
	"jujubewheel/core/jwstore"
	"jujubewheel/io/jwsettings"
)

const evacuationPrefix = "op/evacuate/"

// evacuationRecords decodes evacuations, and configurations like countingRecords.
type evacuationRecords struct{ countingRecords }

func (*evacuationRecords) Evacuation(key string) (string, bool) {
	return strings.CutPrefix(key, evacuationPrefix)
}

func (*evacuationRecords) TargetID(key string) (string, bool) {
	return strings.CutPrefix(key, "servers/")
}

func (*evacuationRecords) Target(id string, value []byte) (jwinstance.Instance, error) {
	return jwinstance.Instance{ID: id, Service: string(value), Region: "north", Slots: 1}, nil
}

// newReader returns a node that reads a store only when the test says so.
func newReader(feed jwstore.Feed, name string) *Gateway {
	g := &Gateway{
		Settings: &jwsettings.Settings{Node: name, Region: "north", DataCentre: "north-a"},
		Feed:     feed, Records: &evacuationRecords{}, Log: logr.Discard(), registrationChanged: make(chan struct{}, 1),
		startTime: time.Now(), metrics: newMetrics(nil),
	}
	g.pauseDetector.Limit = pauseLimit
	g.pauseDetector.Reset()
	g.members.Self = jwmember.Member{Name: name, Region: "north", DataCentre: "north-a", Serving: true, Start: 1}
	g.targets.Node, g.targets.Region = name, "north"
	g.storeWatcher = newStoreWatcher(g)
	return g
}

// read makes a node read the store, or its changes.
func read(t *testing.T, g *Gateway) {
	t.Helper()
	_, err := g.storeWatcher.readOnce(context.Background())
	assert.NilError(t, err)
}

var peerAddress = netip.MustParseAddrPort("127.0.0.1:9")

// The store came back from a copy older than an evacuation, which operators have written again. A node
// that learns of that from another node's view must not end the evacuation when its hold ends.
func TestEvacuationWrittenAgainOutlivesItsHold(t *testing.T) {
	var feed jwstore.MemoryFeed
	feed.Write("op/config", []byte("1"))
	feed.Write(nodePrefix+"peer", []byte(`{"name":"peer"}`))
	old := feed.Snapshot()
	feed.Write(evacuationPrefix+"north-b", nil)
	g, peer := newReader(&feed, "n1"), newReader(&feed, "peer")
	read(t, g)
	feed.Restore(old)
	g.storeWatcher.resetRevision()
	read(t, g)
	assert.DeepEqual(t, g.targets.Evacuated(), []string{"north-b"})
	feed.Write(evacuationPrefix+"north-b", nil)
	read(t, peer)
	now := time.Now()
	g.applyView(now, peer.viewSince(now, 0, 0), peerAddress)
	g.storeWatcher.endHeldEvacuations(now.Add(2 * restoredEvacuationHold))
	assert.DeepEqual(t, g.targets.Evacuated(), []string{"north-b"})
}

// Another node's view arrives after this node has read a later change of the store. The view must not
// undo that change.
func TestOlderViewUndoesNoEvacuation(t *testing.T) {
	cases := map[string]struct {
		before, after func(*jwstore.MemoryFeed)
		want          []string
	}{
		"begun since": {
			before: func(*jwstore.MemoryFeed) {},
			after:  func(f *jwstore.MemoryFeed) { f.Write(evacuationPrefix+"north-b", nil) },
			want:   []string{"north-b"},
		},
		"ended since": {
			before: func(f *jwstore.MemoryFeed) { f.Write(evacuationPrefix+"north-b", nil) },
			after:  func(f *jwstore.MemoryFeed) { f.Remove(evacuationPrefix + "north-b") },
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var feed jwstore.MemoryFeed
			feed.Write("op/config", []byte("1"))
			c.before(&feed)
			g, peer := newReader(&feed, "n1"), newReader(&feed, "peer")
			read(t, peer)
			v := peer.viewSince(time.Now(), 0, 0)
			c.after(&feed)
			read(t, g)
			g.applyView(time.Now(), v, peerAddress)
			assert.DeepEqual(t, g.targets.Evacuated(), c.want)
		})
	}
}
