package jwgateway

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"
	"testing"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"jujubewheel/core/jwinstance"
	"jujubewheel/core/jwmember"
	"jujubewheel/core/jwstore"
	"jujubewheel/io/jwsettings"
)

// jsonRecords decodes targets from plain JSON.
type jsonRecords struct{ countingRecords }

func (*jsonRecords) TargetID(key string) (string, bool) { return strings.CutPrefix(key, "targets/") }

func (*jsonRecords) Target(_ string, value []byte) (in jwinstance.Instance, err error) {
	return in, json.Unmarshal(value, &in)
}

// BenchmarkStoreRestore measures the full read that a node makes after the store was restored from
// an older copy.
func BenchmarkStoreRestore(b *testing.B) {
	for _, size := range []struct{ nodes, targets int }{{300, 3000}, {970, 3200}} {
		b.Run(fmt.Sprintf("%d nodes", size.nodes), func(b *testing.B) {
			var feed jwstore.MemoryFeed
			feed.PageSize = 500
			bytes := 0
			write := func(key string, v any) {
				value, err := json.Marshal(v)
				assert.NilError(b, err)
				feed.Write(key, value)
				bytes += len(key) + len(value)
			}
			address := netip.MustParseAddrPort("10.0.0.1:8000")
			for i := range size.nodes {
				name := fmt.Sprintf("edge-region-a-%d", i)
				write(nodePrefix+name, jwmember.Member{Name: name, Region: "r", DataCentre: "r-a", Callers: address, Nodes: address, Serving: true})
			}
			for i := range size.targets {
				id := fmt.Sprintf("i-%010d", i)
				write("targets/"+id, jwinstance.Instance{ID: id, Service: "s", Address: address, DataCentre: "r-a", Region: "r", Slots: 24})
			}
			g := &Gateway{Feed: &feed, Records: &jsonRecords{}, Log: logr.Discard(), Settings: &jwsettings.Settings{Node: "self"}, registrationChanged: make(chan struct{}, 1)}
			g.metrics = newMetrics(nil)
			w := newStoreWatcher(g)
			_, err := w.readOnce(context.Background())
			assert.NilError(b, err)
			calls := (size.nodes+size.targets)/feed.PageSize + 2 // one partial page and the watch that fails
			b.ReportAllocs()
			for b.Loop() {
				feed.Restore(feed.Snapshot())
				w.resetRevision()
				_, err := w.readOnce(context.Background())
				assert.NilError(b, err)
			}
			b.ReportMetric(float64(bytes), "bytes-read/op")
			b.ReportMetric(float64(calls), "calls/op")
		})
	}
}
