package jwconn

import (
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// UserTimeout closes a connection whose bytes are not acknowledged, for example because a device on
	// the path has lost its state. It is long enough for three consecutive packet losses.
	UserTimeout = 1500 * time.Millisecond
	// tcpUserTimeout is the Linux socket option TCP_USER_TIMEOUT, which package
	// syscall does not define.
	tcpUserTimeout = 18
)

// SetUserTimeout sets how long bytes sent on a TCP connection may stay unacknowledged, or the peer may read
// nothing, before the system closes the connection; 0 for the system's default. Its error is that of the system.
func SetUserTimeout(c syscall.Conn, d time.Duration) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "set the user timeout of a connection")
	}
	return errors.Wrap(setUserTimeout(raw, d), "set the user timeout of a connection")
}

func setUserTimeout(raw syscall.RawConn, d time.Duration) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(d.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}

// controlUserTimeout is the Control function of a net.Dialer.
func controlUserTimeout(_, _ string, raw syscall.RawConn) error {
	// On a kernel without the option, broken connections are only detected later.
	_ = setUserTimeout(raw, UserTimeout)
	return nil
}
