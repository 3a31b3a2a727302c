package jwgateway

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubewheel/core/jwmember"
	"jujubewheel/io/jwsettings"
)

// In a large region reports of nodes that reach the store come less often. A node that can't reach
// it must not probe targets between two of them.
func TestSyncedPeerIsKnownBetweenReports(t *testing.T) {
	cases := map[string]struct {
		nodes int
		age   time.Duration
		want  bool
	}{
		"small region, between reports":     {nodes: 3, age: 300 * time.Millisecond, want: true},
		"small region, reports are missing": {nodes: 3, age: 600 * time.Millisecond},
		"large region, between reports":     {nodes: 330, age: 900 * time.Millisecond, want: true},
		"large region, reports are missing": {nodes: 330, age: 1100 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := &Gateway{Settings: &jwsettings.Settings{Region: "r"}}
			g.members.Self = jwmember.Member{Name: "self", Region: "r"}
			now := time.Now()
			for i := range c.nodes - 1 {
				g.members.Put(now, jwmember.Member{Name: fmt.Sprint("n", i), Region: "r"})
			}
			g.store.syncedPeerSeen.Store(now.Add(-c.age).UnixNano())
			assert.Equal(t, g.syncedPeerKnown(now), c.want)
		})
	}
}
