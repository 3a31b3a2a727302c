package jwforward

import (
	"net/netip"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"
)

// Short requests follow each other on one connection. If each started a prober
// of its own, a busy node would send more and more probes, until the links
// between regions carried little else.
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
	assert.Assert(t, runtime.NumGoroutine() <= before+2, "%d goroutines more", runtime.NumGoroutine()-before)
}
