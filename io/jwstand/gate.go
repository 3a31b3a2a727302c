package jwstand

import (
	"net"
	"sync"
)

// connSet tracks the open connections of one port, so that faults can pause,
// silence or reset them.
type connSet struct {
	mu      sync.Mutex
	open    map[*trackedConn]struct{}
	resumed chan struct{} // closed when the pause ends; nil while there is no pause
}

// trackedListener adds each connection that it accepts to a connSet.
type trackedListener struct {
	net.Listener
	conns *connSet
}

// Accept implements net.Listener.
func (l *trackedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.conns.add(conn), nil
}

// add starts to track a connection.
func (s *connSet) add(conn net.Conn) *trackedConn {
	c := &trackedConn{Conn: conn, set: s, silenced: make(chan struct{}), closed: make(chan struct{})}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil {
		s.open = make(map[*trackedConn]struct{})
	}
	s.open[c] = struct{}{}
	return c
}

// pause holds all bytes in both directions, or releases them.
func (s *connSet) pause(paused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if paused && s.resumed == nil {
		s.resumed = make(chan struct{})
	}
	if !paused && s.resumed != nil {
		close(s.resumed)
		s.resumed = nil
	}
}

// silence makes the connections that are open now discard all bytes, without an
// error, until they are closed.
func (s *connSet) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		c.silenceOnce.Do(func() { close(c.silenced) })
	}
}

// reset closes the open connections with a TCP reset.
func (s *connSet) reset() {
	s.mu.Lock()
	conns := s.open
	s.open = nil
	s.mu.Unlock()
	for c := range conns {
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // fails only on a closed connection
		}
		_ = c.Close()
	}
}

// resumedChan returns the channel that is closed when the pause ends, or nil if
// there is no pause.
func (s *connSet) resumedChan() chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.resumed
}

// trackedConn is a connection of a connSet.
type trackedConn struct {
	net.Conn
	set         *connSet
	silenceOnce sync.Once
	silenced    chan struct{} // closed once the connection discards all bytes
	closeOnce   sync.Once
	closed      chan struct{} // closed by Close
}

// Read implements net.Conn.
func (c *trackedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if !c.waitWhileHeld() {
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn. A silenced connection accepts bytes and discards
// them.
func (c *trackedConn) Write(b []byte) (int, error) {
	select {
	case <-c.silenced:
		return len(b), nil
	default:
	}
	if resumed := c.set.resumedChan(); resumed != nil {
		select {
		case <-resumed:
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

// waitWhileHeld waits while the connections are paused, and until the
// connection is closed once it is silenced. It returns false if the connection
// is closed.
func (c *trackedConn) waitWhileHeld() bool {
	select {
	case <-c.silenced:
		<-c.closed
		return false
	default:
	}
	resumed := c.set.resumedChan()
	if resumed == nil {
		return true
	}
	select {
	case <-resumed:
		return true
	case <-c.closed:
		return false
	}
}
