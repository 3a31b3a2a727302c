package jwforward

import (
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"jujubewheel/io/jwwire"
)

const (
	pingInterval = 10 * time.Second // the least that gRPC allows a client
	pingTimeout  = 3 * time.Second
	// A peer that came back must be reached within a second or two, so the
	// backoff between connection attempts stays short.
	maxBackoff  = 2 * time.Second
	dialTimeout = 2 * time.Second
	frameSize   = 32 << 10
	// A connection without calls is closed. To a node that is gone it would be
	// tried again every other second for as long as this process lives, and
	// hosts are replaced by the hundred each day.
	idleTimeout = 30 * time.Second
	// maxMessage is above the largest catalogue checkpoint that a node may need.
	maxMessage = 64 << 20
)

// Pool holds the connections to other nodes; the zero value talks without TLS.
type Pool struct {
	Credentials credentials.TransportCredentials // nil for none

	mu            sync.Mutex
	closed        bool
	conns         map[netip.AddrPort]*peerConn
	excludedUntil map[netip.AddrPort]time.Time // nodes left out, until when at the latest
}

// client returns the way to a node, connecting in the background if needed.
func (p *Pool) client(addr netip.AddrPort) (jwwire.NodeClient, *grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, nil, errors.Errorf("connect to node %s: closed", addr)
	}
	now := time.Now()
	if c := p.conns[addr]; c != nil {
		c.used = now
		return jwwire.NewNodeClient(c.conn), c.conn, nil
	}
	conn, err := grpc.NewClient("passthrough:///"+addr.String(), p.options()...)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "connect to node %s", addr)
	}
	if p.conns == nil {
		p.conns = make(map[netip.AddrPort]*peerConn)
	}
	p.closeIdleConns(now)
	p.conns[addr] = &peerConn{conn: conn, used: now}
	return jwwire.NewNodeClient(conn), conn, nil
}

func (p *Pool) options() []grpc.DialOption {
	creds := p.Credentials
	if creds == nil {
		creds = insecure.NewCredentials()
	}
	b := backoff.DefaultConfig
	b.BaseDelay = 100 * time.Millisecond
	b.MaxDelay = maxBackoff
	return []grpc.DialOption{
		grpc.WithTransportCredentials(creds),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithNoProxy(),
		grpc.WithIdleTimeout(idleTimeout),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage)),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: b, MinConnectTimeout: dialTimeout}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: pingInterval, Timeout: pingTimeout}),
	}
}

// sweep forgets connections that were closed for want of calls; p.mu is held.
// The next call to such a node makes a new one. One that was asked for just now
// is idle too, until its call begins, and must not be closed under it.
func (p *Pool) closeIdleConns(now time.Time) {
	for addr, c := range p.conns {
		if now.Sub(c.used) > 2*idleTimeout && c.conn.GetState() == connectivity.Idle {
			delete(p.conns, addr)
			_ = c.conn.Close()
		}
	}
}

// replace gives up a connection that went silent: calls that wait on it fail
// at once, and the next call opens a new one, which may work where the old one
// never will again. It is false if another has done so already.
func (p *Pool) replace(addr netip.AddrPort, conn *grpc.ClientConn) bool {
	p.mu.Lock()
	c := p.conns[addr]
	replaced := c != nil && c.conn == conn
	if replaced {
		delete(p.conns, addr)
	}
	p.mu.Unlock()
	_ = conn.Close()
	return replaced
}

// Close ends all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_ = c.conn.Close()
	}
	p.conns = nil
	p.closed = true
}
