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
	probeEvery   = time.Second             // while a connection has calls
	probeTimeout = 1500 * time.Millisecond // longer than a short pause of a process
	probePause   = 250 * time.Millisecond  // between probes of a node that is left out
	// doubtFor bounds how long a node is left out after a probe failed, should
	// no later one tell that it answers again.
	doubtFor = 10 * time.Second
)

// way is the connection to one node, and what is known of it.
//
// A connection can go silent for good, or carry bytes one way only, and gRPC's
// own pings tell after 13 s at best: meanwhile each caller whose request was
// sent on waits that long, and all who follow as well. A small call every
// second, made while others wait, tells sooner; and nothing more is sent to a
// node that left one unanswered until it answers again.
type way struct {
	used  time.Time // when it was last asked for
	conn  *grpc.ClientConn
	calls int // that wait for the node
	// tended tells that a goroutine probes the connection. Without it, each
	// call that finds no other would start one, and a busy connection would
	// gather more and more of them.
	tended bool
}

// doubtful tells whether a node left a probe unanswered.
func (p *Pool) doubtful(addr netip.AddrPort) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().Before(p.doubts[addr])
}

// watch probes the connection of a call until done is called.
func (p *Pool) watch(addr netip.AddrPort, conn *grpc.ClientConn) (done func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.ways[addr]
	if w == nil || w.conn != conn {
		return func() {}
	}
	w.calls++
	if !w.tended {
		w.tended = true
		go p.tend(addr, w)
	}
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		w.calls--
	}
}

// tend probes while there are calls.
func (p *Pool) tend(addr netip.AddrPort, w *way) {
	for {
		time.Sleep(probeEvery)
		p.mu.Lock()
		w.tended = w.calls > 0 && p.ways[addr] == w
		tended := w.tended
		p.mu.Unlock()
		if !tended || !p.check(addr, w.conn) {
			return
		}
	}
}

// check probes a connection once and gives it up if there is no answer.
func (p *Pool) check(addr netip.AddrPort, conn *grpc.ClientConn) bool {
	if probe(conn) {
		return true
	}
	if p.replace(addr, conn) {
		go p.leaveOut(addr)
	}
	return false
}

// leaveOut sends a node nothing more until it answers a probe.
func (p *Pool) leaveOut(addr netip.AddrPort) {
	until := time.Now().Add(doubtFor)
	p.mu.Lock()
	if p.doubts == nil {
		p.doubts = make(map[netip.AddrPort]time.Time)
	}
	p.doubts[addr] = until
	p.mu.Unlock()
	for time.Now().Before(until) {
		_, conn, err := p.client(addr)
		if err != nil || probe(conn) {
			break
		}
		p.replace(addr, conn)
		time.Sleep(probePause)
	}
	p.mu.Lock()
	delete(p.doubts, addr)
	p.mu.Unlock()
}

// probe asks for changes that no node has.
func probe(conn *grpc.ClientConn) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	_, err := jwwire.NewNodeClient(conn).Changes(ctx, &jwwire.ChangesRequest{After: math.MaxUint64, Most: 1})
	return err == nil
}
