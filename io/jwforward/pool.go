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
	pingInterval = 10 * time.Second // the shortest that gRPC allows a client
	pingTimeout  = 3 * time.Second
	// maxBackoff is short, so that a connection is made within a second or two
	// after a peer is reachable again.
	maxBackoff  = 2 * time.Second
	dialTimeout = 2 * time.Second
	frameSize   = 32 << 10 // bytes of a request's body in one frame
	// idleTimeout is how long a connection without calls stays open. Without
	// it, a connection to a node that is gone would be retried every other
	// second while this process runs, and hundreds of hosts are replaced each
	// day.
	idleTimeout = 30 * time.Second
	// maxMessage is the largest gRPC message in bytes. It is above the size of
	// the largest catalogue checkpoint that a node may need.
	maxMessage = 64 << 20
)

// Pool holds the connections to other nodes. The zero value is ready for use
// and connects without TLS.
type Pool struct {
	Credentials credentials.TransportCredentials // nil for none

	mu            sync.Mutex
	closed        bool
	conns         map[netip.AddrPort]*peerConn
	excludedUntil map[netip.AddrPort]time.Time // nodes that failed a probe, with the latest end of their exclusion
}

// client returns the client and the connection for a node. A new connection is
// established in the background.
func (p *Pool) client(addr netip.AddrPort) (jwwire.NodeClient, *grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, nil, errors.Errorf("connect to node %s: pool is closed", addr)
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

// closeIdleConns removes connections that gRPC closed because they had no calls;
// p.mu must be held. The next call to such a node makes a new connection. A
// connection that was returned by client just now is idle too until its call
// begins, so connections used recently are kept.
func (p *Pool) closeIdleConns(now time.Time) {
	for addr, c := range p.conns {
		if now.Sub(c.used) > 2*idleTimeout && c.conn.GetState() == connectivity.Idle {
			delete(p.conns, addr)
			_ = c.conn.Close()
		}
	}
}

// replace closes a connection that no longer responds: calls that wait on it
// fail at once, and the next call opens a new one, which may work where the old
// one never will again. It returns false if another goroutine has replaced the
// connection already.
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

// Close closes all connections; later calls fail.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_ = c.conn.Close()
	}
	p.conns = nil
	p.closed = true
}
