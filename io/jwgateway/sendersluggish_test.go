package jwgateway_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubewheel/core/jwstore"
	"jujubewheel/io/jwgateway"
)

// A node that has forwarded a stream is stopping and closes each connection after its answer, so that a question about
// the stream takes a new one, which takes long: its stream must not be ended as that of a silent node.
func TestStreamOfStoppingSenderGoesOn(t *testing.T) {
	t.Parallel()
	const grace, connectTime = 8 * time.Second, 600 * time.Millisecond
	var runs runTimes
	var feed jwstore.MemoryFeed
	startVersion(t, &feed, "t1", "north-a", "v1", runs.serve)
	configure(&feed, 1, strings.Replace(slowRoute("/a/", "stream", `,"Resumable":true`), `"TimeoutMs":120000`, `"TimeoutMs":7000`, 1))
	heartbeat(t, &feed)
	lasting := func(g *jwgateway.Gateway) { g.Settings.Gateway.Bounds.Grace = grace }
	away := startWith(t, &feed, "n-away", "north", func(g *jwgateway.Gateway) {
		lasting(g)
		g.Nodes.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			time.Sleep(connectTime)
			var d net.Dialer
			return d.DialContext(ctx, network, address)
		}
	})
	sender := startWith(t, &feed, "n-sender", "south", lasting)
	waitForDirectory(t, away, "south", sender)
	sendUntil(t, sender, "/a/w", served)
	body := openUntilServed(t, sender, "s1", "")
	defer body.Close()
	go sender.stop()
	began, last := time.Now(), 0
	for s := bufio.NewScanner(body); time.Since(began) < grace/2; {
		assert.Assert(t, s.Scan(), "the stream ended after event %d: %v", last, s.Err())
		_, _ = fmt.Sscanf(s.Text(), "id: %d", &last)
	}
}
