package jwconsul

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"
)

const (
	defaultTimeout = 2 * time.Second
	idleTimeout    = 30 * time.Second
	// maxAnswer bounds what one answer of the platform may make a node hold.
	maxAnswer = 64 << 20
)

// Traffic counts what a client of the platform has moved, headers included.
type Traffic struct {
	Sent     uint64 // bytes
	Received uint64 // bytes, as compressed on the way
}

// client calls one service of the platform.
type client struct {
	once           sync.Once
	service        httpc.Service
	sent, received atomic.Uint64
}

func (c *client) traffic() Traffic {
	return Traffic{Sent: c.sent.Load(), Received: c.received.Load()}
}

// dial opens a connection whose bytes are counted.
func (c *client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: defaultTimeout, KeepAlive: defaultTimeout}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, client: c}, nil
}

// countedConn adds its bytes to the traffic of its client.
type countedConn struct {
	net.Conn
	client *client
}

// Read implements net.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.client.received.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.client.sent.Add(uint64(n))
	return n, err
}

// do sends one call; the breaker of httpc is off, because a call that it
// refuses would look like an outage of the platform and hide the end of one.
func (c *client) do(name string, address netip.AddrPort, r *http.Request) (*http.Response, error) {
	c.once.Do(func() {
		full := "jwconsul " + name + " " + address.String()
		breaker.NoBreakerFor(full)
		transport := &http.Transport{
			DialContext:         c.dial,
			MaxIdleConnsPerHost: 4,
			IdleConnTimeout:     idleTimeout,
		}
		c.service = httpc.NewServiceWithClient(full, &http.Client{Transport: transport})
	})
	return c.service.DoRequest(r)
}

// readAnswer reads the whole body and closes it.
func readAnswer(res *http.Response) ([]byte, error) {
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswer+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxAnswer {
		return nil, errors.Errorf("answer longer than %d bytes", maxAnswer)
	}
	return body, nil
}

// withTimeout bounds a call by the timeout, or by the default for 0.
func withTimeout(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	return context.WithTimeout(ctx, timeout)
}
