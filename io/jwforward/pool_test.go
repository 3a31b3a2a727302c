package jwforward

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Hosts are replaced every day and their addresses never come back. A pool that
// kept a connection to each would try all of them again and again for good.
func TestIdleConnectionsAreRemoved(t *testing.T) {
	p := &Pool{}
	defer p.Close()
	old, fresh := netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2")
	for _, a := range []netip.AddrPort{old, fresh} {
		_, _, err := p.client(a)
		assert.NilError(t, err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.conns[old].used = now.Add(-time.Hour)
	p.closeIdleConns(now)
	assert.Assert(t, p.conns[old] == nil)
	assert.Assert(t, p.conns[fresh] != nil) // its call may be about to begin
}
