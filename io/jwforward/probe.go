package jwforward

import (
	"context"
	"math"
	"net/netip"
	"time"

	"google.golang.org/grpc"

	"jujubewheel/io/jwwire"
)

const (
	probeInterval         = time.Second             // between probes of a connection that has calls
	probeTimeout          = 1500 * time.Millisecond // longer than a short pause of a process
	excludedProbeInterval = 250 * time.Millisecond  // between probes of an excluded node
	// maxExclusion is the longest time for which a node is excluded after a
	// failed probe, if no later probe succeeds.
	maxExclusion = 10 * time.Second
)

// peerConn is the connection to one node and its state.
//
// A connection can stop responding permanently, or carry bytes in one direction
// only. gRPC's own pings detect that after 13 s at the earliest; until then,
// every forwarded request would wait that long, and so would all later ones. A
// probe, which is a small call made every second while other calls wait, detects
// it sooner. A node that does not answer a probe is excluded: it is sent no
// requests until it answers one.
type peerConn struct {
	used  time.Time // when client last returned it
	conn  *grpc.ClientConn
	calls int // calls in flight that trackCall counted
	// probed is true while a goroutine probes the connection. Without it, each
	// call that finds no other call in flight would start a goroutine, and they
	// would accumulate on a busy connection.
	probed bool
}

// isExcluded reports whether a node is excluded because it did not answer a
// probe.
func (p *Pool) isExcluded(addr netip.AddrPort) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().Before(p.excludedUntil[addr])
}

// trackCall counts a call on a connection until done is called. The connection
// is probed while it has calls.
func (p *Pool) trackCall(addr netip.AddrPort, conn *grpc.ClientConn) (done func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.conns[addr]
	if c == nil || c.conn != conn {
		return func() {}
	}
	c.calls++
	if !c.probed {
		c.probed = true
		go p.probeWhileBusy(addr, c)
	}
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		c.calls--
	}
}

// probeWhileBusy probes a connection every probeInterval while it has calls. It
// returns when there are none left, or when the connection was replaced.
func (p *Pool) probeWhileBusy(addr netip.AddrPort, c *peerConn) {
	for {
		time.Sleep(probeInterval)
		p.mu.Lock()
		c.probed = c.calls > 0 && p.conns[addr] == c
		probed := c.probed
		p.mu.Unlock()
		if !probed || !p.probeOrReplace(addr, c.conn) {
			return
		}
	}
}

// probeOrReplace probes a connection once. If there is no answer, it replaces
// the connection, excludes the node and returns false.
func (p *Pool) probeOrReplace(addr netip.AddrPort, conn *grpc.ClientConn) bool {
	if probe(conn) {
		return true
	}
	if p.replace(addr, conn) {
		go p.excludeUntilAnswer(addr)
	}
	return false
}

// excludeUntilAnswer excludes a node until it answers a probe, but for
// at most maxExclusion.
func (p *Pool) excludeUntilAnswer(addr netip.AddrPort) {
	until := time.Now().Add(maxExclusion)
	p.mu.Lock()
	if p.excludedUntil == nil {
		p.excludedUntil = make(map[netip.AddrPort]time.Time)
	}
	p.excludedUntil[addr] = until
	p.mu.Unlock()
	for time.Now().Before(until) {
		_, conn, err := p.client(addr)
		if err != nil || probe(conn) {
			break
		}
		p.replace(addr, conn)
		time.Sleep(excludedProbeInterval)
	}
	p.mu.Lock()
	delete(p.excludedUntil, addr)
	p.mu.Unlock()
}

// probe reports whether a node answers a small call in time. The call asks for
// catalogue changes after the highest revision, which no node has.
func probe(conn *grpc.ClientConn) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	_, err := jwwire.NewNodeClient(conn).Changes(ctx, &jwwire.ChangesRequest{After: math.MaxUint64, Most: 1})
	return err == nil
}
