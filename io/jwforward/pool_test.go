package jwforward

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Hosts are replaced every day and their addresses are not used again. A pool
// that kept a connection to each would go on trying to reconnect to all of them.
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
	assert.Assert(t, p.conns[fresh] != nil) // a call on it may be about to begin
}
