package jwcert

import (
	"context"
	"net"
	"net/netip"

	"github.com/pkg/errors"
	"google.golang.org/grpc/credentials"
)

// Credentials implements mutual TLS for gRPC connections between nodes, on the client and
// on the server.
type Credentials struct {
	Reloader *CertificateReloader
	// Identify returns which node should be at an address. If ok is false, no node
	// is known at the address and ClientHandshake fails.
	Identify func(address netip.AddrPort) (want Identity, ok bool)
}

var _ credentials.TransportCredentials = (*Credentials)(nil)

// ClientHandshake implements credentials.TransportCredentials.
func (c *Credentials) ClientHandshake(ctx context.Context, authority string, conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	address, err := netip.ParseAddrPort(authority)
	if err != nil {
		return nil, nil, errors.Wrap(err, "verify node")
	}
	want, ok := c.Identify(address)
	if !ok {
		return nil, nil, errors.Errorf("verify node: no node is known at %s", address)
	}
	return credentials.NewTLS(c.Reloader.NodeClientConfig(want)).ClientHandshake(ctx, authority, conn)
}

// ServerHandshake implements credentials.TransportCredentials.
func (c *Credentials) ServerHandshake(conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	return credentials.NewTLS(c.Reloader.NodeServerConfig()).ServerHandshake(conn)
}

// Info implements credentials.TransportCredentials.
func (c *Credentials) Info() credentials.ProtocolInfo {
	return credentials.NewTLS(c.Reloader.NodeServerConfig()).Info()
}

// Clone implements credentials.TransportCredentials. It returns c itself, because c does
// not change after it is set up.
func (c *Credentials) Clone() credentials.TransportCredentials { return c }

// OverrideServerName implements credentials.TransportCredentials. It does nothing,
// because nodes are identified by the URI in their certificate.
func (c *Credentials) OverrideServerName(string) error { return nil }
