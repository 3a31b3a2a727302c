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
	// maxResponseSize is the maximum size of a response body in bytes. It bounds the
	// memory that one response can take.
	maxResponseSize = 64 << 20
	// maxResponseHeader is the maximum size of a response header in bytes.
	maxResponseHeader = 64 << 10
)

// Traffic counts the bytes that a client has sent and received, HTTP headers included.
type Traffic struct {
	Sent     uint64 // bytes
	Received uint64 // bytes; compressed bodies count at their compressed size
}

// client sends HTTP requests to one service of the platform and counts the bytes.
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
	return &countingConn{Conn: conn, client: c}, nil
}

// countingConn adds the bytes that it reads and writes to the counters of its client.
type countingConn struct {
	net.Conn
	client *client
}

// Read implements net.Conn.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.client.received.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.client.sent.Add(uint64(n))
	return n, err
}

// do sends one request. The circuit breaker of httpc is disabled, because a
// request that it rejects would look like an outage of the platform and hide the
// end of a real one.
func (c *client) do(name string, address netip.AddrPort, r *http.Request) (*http.Response, error) {
	c.once.Do(func() {
		serviceName := "jwconsul " + name + " " + address.String()
		breaker.NoBreakerFor(serviceName)
		transport := &http.Transport{
			DialContext:            c.dial,
			MaxIdleConnsPerHost:    4,
			IdleConnTimeout:        idleTimeout,
			MaxResponseHeaderBytes: maxResponseHeader,
		}
		c.service = httpc.NewServiceWithClient(serviceName, &http.Client{Transport: transport})
	})
	return c.service.DoRequest(r)
}

// readBody reads the whole body of a response and closes it.
func readBody(res *http.Response) ([]byte, error) {
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxResponseSize+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxResponseSize {
		return nil, errors.Errorf("response body longer than %d bytes", maxResponseSize)
	}
	return body, nil
}

// withTimeout returns a context that ends after timeout, or after defaultTimeout
// if timeout is not positive.
func withTimeout(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	return context.WithTimeout(ctx, timeout)
}
