package jwstand

import (
	"net"
	"sync"
)

// gate holds the open connections of one port, so that faults reach them.
type gate struct {
	mu     sync.Mutex
	conns  map[*gateConn]struct{}
	paused chan struct{} // closed when the pause is lifted, nil without one
}

// gateListener hands its connections to a gate.
type gateListener struct {
	net.Listener
	gate *gate
}

// Accept implements net.Listener.
func (l *gateListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.gate.add(conn), nil
}

func (g *gate) add(conn net.Conn) *gateConn {
	c := &gateConn{Conn: conn, gate: g, silenced: make(chan struct{}), closed: make(chan struct{})}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.conns == nil {
		g.conns = make(map[*gateConn]struct{})
	}
	g.conns[c] = struct{}{}
	return c
}

// pause holds or lets go of every byte.
func (g *gate) pause(on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if on && g.paused == nil {
		g.paused = make(chan struct{})
	}
	if !on && g.paused != nil {
		close(g.paused)
		g.paused = nil
	}
}

// silence makes the connections that are open now swallow all bytes.
func (g *gate) silence() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.conns {
		c.once.Do(func() { close(c.silenced) })
	}
}

// reset ends the open connections without a proper close.
func (g *gate) reset() {
	g.mu.Lock()
	conns := g.conns
	g.conns = nil
	g.mu.Unlock()
	for c := range conns {
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // fails only on a connection that is closed
		}
		_ = c.Close()
	}
}

func (g *gate) hold() chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.paused
}

// gateConn is one connection of a gate.
type gateConn struct {
	net.Conn
	gate     *gate
	once     sync.Once
	silenced chan struct{}
	ending   sync.Once
	closed   chan struct{}
}

// Read implements net.Conn.
func (c *gateConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if !c.pass() {
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn; a silenced connection takes bytes and drops them.
func (c *gateConn) Write(b []byte) (int, error) {
	select {
	case <-c.silenced:
		return len(b), nil
	default:
	}
	if hold := c.gate.hold(); hold != nil {
		select {
		case <-hold:
		case <-c.closed:
			return 0, net.ErrClosed
		}
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *gateConn) Close() error {
	c.ending.Do(func() { close(c.closed) })
	c.gate.mu.Lock()
	delete(c.gate.conns, c)
	c.gate.mu.Unlock()
	return c.Conn.Close()
}

// pass waits while the gate is paused, and for good once the connection is
// silenced; it returns false when the connection is closed.
func (c *gateConn) pass() bool {
	select {
	case <-c.silenced:
		<-c.closed
		return false
	default:
	}
	hold := c.gate.hold()
	if hold == nil {
		return true
	}
	select {
	case <-hold:
		return true
	case <-c.closed:
		return false
	}
}
