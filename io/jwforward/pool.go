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
	pingAfter   = 10 * time.Second // the least that gRPC allows a client
	pingTimeout = 3 * time.Second
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

	mu    sync.Mutex
	conns map[netip.AddrPort]*pooled
}

// pooled is a connection with the time when it was last asked for.
type pooled struct {
	*grpc.ClientConn
	used time.Time
}

// client returns the way to a node, connecting in the background if needed.
func (p *Pool) client(addr netip.AddrPort) (jwwire.NodeClient, *grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if conn := p.conns[addr]; conn != nil {
		conn.used = now
		return jwwire.NewNodeClient(conn), conn.ClientConn, nil
	}
	conn, err := grpc.NewClient("passthrough:///"+addr.String(), p.options()...)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "connect to node %s", addr)
	}
	if p.conns == nil {
		p.conns = make(map[netip.AddrPort]*pooled)
	}
	p.sweep(now)
	p.conns[addr] = &pooled{ClientConn: conn, used: now}
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
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: pingAfter, Timeout: pingTimeout}),
	}
}

// sweep forgets connections that were closed for want of calls; p.mu is held.
// The next call to such a node makes a new one. One that was asked for just now
// is idle too, until its call begins, and must not be closed under it.
func (p *Pool) sweep(now time.Time) {
	for addr, conn := range p.conns {
		if now.Sub(conn.used) > 2*idleTimeout && conn.GetState() == connectivity.Idle {
			delete(p.conns, addr)
			_ = conn.Close()
		}
	}
}

// replace gives up a connection that went silent: calls that wait on it fail
// at once, and the next call opens a new one, which may work where the old one
// never will again.
func (p *Pool) replace(addr netip.AddrPort, conn *grpc.ClientConn) {
	p.mu.Lock()
	if have := p.conns[addr]; have != nil && have.ClientConn == conn {
		delete(p.conns, addr)
	}
	p.mu.Unlock()
	_ = conn.Close()
}

// Close ends all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.conns {
		_ = conn.Close()
	}
	p.conns = nil
}
