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
	probeInterval         = time.Second             // while a connection has calls
	probeTimeout          = 1500 * time.Millisecond // longer than a short pause of a process
	excludedProbeInterval = 250 * time.Millisecond  // between probes of a node that is left out
	// doubtFor bounds how long a node is left out after a probe failed, should
	// no later one tell that it answers again.
	maxExclusion = 10 * time.Second
)

// way is the connection to one node, and what is known of it.
//
// A connection can go silent for good, or carry bytes one way only, and gRPC's
// own pings tell after 13 s at best: meanwhile each caller whose request was
// sent on waits that long, and all who follow as well. A small call every
// second, made while others wait, tells sooner; and nothing more is sent to a
// node that left one unanswered until it answers again.
type peerConn struct {
	used  time.Time // when it was last asked for
	conn  *grpc.ClientConn
	calls int // that wait for the node
	// tended tells that a goroutine probes the connection. Without it, each
	// call that finds no other would start one, and a busy connection would
	// gather more and more of them.
	probed bool
}

// doubtful tells whether a node left a probe unanswered.
func (p *Pool) isExcluded(addr netip.AddrPort) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().Before(p.excludedUntil[addr])
}

// watch probes the connection of a call until done is called.
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

// tend probes while there are calls.
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

// check probes a connection once and gives it up if there is no answer.
func (p *Pool) probeOrReplace(addr netip.AddrPort, conn *grpc.ClientConn) bool {
	if probe(conn) {
		return true
	}
	if p.replace(addr, conn) {
		go p.excludeUntilAnswer(addr)
	}
	return false
}

// leaveOut sends a node nothing more until it answers a probe.
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

// probe asks for changes that no node has.
func probe(conn *grpc.ClientConn) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	_, err := jwwire.NewNodeClient(conn).Changes(ctx, &jwwire.ChangesRequest{After: math.MaxUint64, Most: 1})
	return err == nil
}
