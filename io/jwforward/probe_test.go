package jwforward

import (
	"net/netip"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"
)

// Short requests follow each other on one connection. If each started its own
// probing goroutine, a busy node would send ever more probes, until they used up
// most of the links between regions.
func TestOneProberPerConnection(t *testing.T) {
	p := &Pool{}
	defer p.Close()
	addr := netip.MustParseAddrPort("127.0.0.1:1")
	_, conn, err := p.client(addr)
	assert.NilError(t, err)
	before := runtime.NumGoroutine()
	for range 100 {
		p.trackCall(addr, conn)()
	}
	assert.Assert(t, runtime.NumGoroutine() <= before+2, "%d additional goroutines", runtime.NumGoroutine()-before)
}
