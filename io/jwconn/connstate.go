package jwconn

import (
	"net"
	"syscall"
)

// ConnState says whether a connection on which no call is in flight can be used for one.
type ConnState string

// States of a connection.
const (
	ConnOpen   ConnState = "open"
	ConnClosed ConnState = "closed" // by the peer
	ConnDirty  ConnState = "dirty"  // bytes have arrived that belong to no call
)

// StateOf returns the state of a connection as the system knows it now, also while another goroutine waits in a read.
// One that isn't the system's counts as open.
func StateOf(c net.Conn) ConnState {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return ConnOpen
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return ConnDirty
	}
	state := ConnDirty
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		switch n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT); {
		case err == syscall.EAGAIN:
			state = ConnOpen
		case n <= 0:
			state = ConnClosed
		}
	})
	if err != nil {
		return ConnDirty
	}
	return state
}
