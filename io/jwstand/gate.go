package jwstand

import (
	"net"
	"sync"
)

// paused holds the open connections of one port, so that faults reach them.
type paused struct {
	mu     sync.Mutex
	open  map[*trackedConn]struct{}
	resumed chan struct{} // closed when the pause is lifted, nil without one
}

// trackedListener hands its connections to a gate.
type trackedListener struct {
	net.Listener
	conns *paused
}

// Accept implements net.Listener.
func (l *trackedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.conns.add(conn), nil
}

func (g *paused) add(conn net.Conn) *trackedConn {
	c := &trackedConn{Conn: conn, set: g, silenced: make(chan struct{}), closed: make(chan struct{})}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.open == nil {
		g.open = make(map[*trackedConn]struct{})
	}
	g.open[c] = struct{}{}
	return c
}

// pause holds or lets go of every byte.
func (g *paused) pause(on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if on && g.resumed == nil {
		g.resumed = make(chan struct{})
	}
	if !on && g.resumed != nil {
		close(g.resumed)
		g.resumed = nil
	}
}

// silence makes the connections that are open now swallow all bytes.
func (g *paused) silence() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.open {
		c.silenceOnce.Do(func() { close(c.silenced) })
	}
}

// reset ends the open connections without a proper close.
func (g *paused) reset() {
	g.mu.Lock()
	conns := g.open
	g.open = nil
	g.mu.Unlock()
	for c := range conns {
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // fails only on a connection that is closed
		}
		_ = c.Close()
	}
}

func (g *paused) resumedChan() chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.resumed
}

// trackedConn is one connection of a gate.
type trackedConn struct {
	net.Conn
	set     *paused
	silenceOnce     sync.Once
	silenced chan struct{}
	closeOnce   sync.Once
	closed   chan struct{}
}

// Read implements net.Conn.
func (c *trackedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if !c.waitWhileHeld() {
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn; a silenced connection takes bytes and drops them.
func (c *trackedConn) Write(b []byte) (int, error) {
	select {
	case <-c.silenced:
		return len(b), nil
	default:
	}
	if hold := c.set.resumedChan(); hold != nil {
		select {
		case <-hold:
		case <-c.closed:
			return 0, net.ErrClosed
		}
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	c.set.mu.Lock()
	delete(c.set.open, c)
	c.set.mu.Unlock()
	return c.Conn.Close()
}

// waitWhileHeld waits while the gate is paused, and for good once the connection is
// silenced; it returns false when the connection is closed.
func (c *trackedConn) waitWhileHeld() bool {
	select {
	case <-c.silenced:
		<-c.closed
		return false
	default:
	}
	hold := c.set.resumedChan()
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
