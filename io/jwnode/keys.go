package jwnode

import (
	"context"
	"crypto/tls"
	"net/netip"

	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc/credentials"

	"jujubewheel/core/jwpeer"
	"jujubewheel/io/jwcert"
	"jujubewheel/io/jwsettings"
)

// keys holds the certificates of the ports. A port whose reloader is nil doesn't
// use TLS.
type keys struct {
	callers, operators, nodes *jwcert.CertificateReloader
}

// loadKeys reads the certificate files that the settings name.
func (n *Node) loadKeys() error {
	files := n.Settings.TLS
	for _, k := range []struct {
		port  string
		files jwsettings.KeyFiles
		dst   **jwcert.CertificateReloader
	}{
		{"callers", files.Callers, &n.keys.callers},
		{"operators", files.Operators, &n.keys.operators},
		{"nodes", files.Nodes, &n.keys.nodes},
	} {
		if !k.files.Set() {
			continue
		}
		reloader := &jwcert.CertificateReloader{Port: k.port, Files: k.files, Audit: n.Audit, Meter: n.Meter}
		if err := reloader.Load(); err != nil {
			return err
		}
		*k.dst = reloader
	}
	return nil
}

// run reloads the certificates when their files change, until ctx ends.
func (k *keys) run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, reloader := range []*jwcert.CertificateReloader{k.callers, k.operators, k.nodes} {
		if reloader != nil {
			g.Go(func() error { return reloader.Run(ctx) })
		}
	}
	return g.Wait()
}

// serverTLS returns the TLS configuration of a port, or nil for a port without
// TLS.
func serverTLS(k *jwcert.CertificateReloader) *tls.Config {
	if k == nil {
		return nil
	}
	return k.ServerConfig()
}

// nodeCredentials returns the credentials for connections between nodes, or nil
// if they don't use TLS. Which node is expected at an address comes from the
// states that peers report and from the platform's host list.
func (n *Node) nodeCredentials() credentials.TransportCredentials {
	if n.keys.nodes == nil {
		return nil
	}
	return &jwcert.Credentials{Reloader: n.keys.nodes, Identify: n.identify}
}

// identify returns the node that is expected at an address; ok is false if none
// is known there.
func (n *Node) identify(address netip.AddrPort) (jwcert.Identity, bool) {
	candidates := n.board.Peers.Select(func(p jwpeer.Peer) bool { return p.NodeAddress == address && p.State != jwpeer.Gone })
	if len(candidates) == 0 {
		return jwcert.Identity{}, false
	}
	// The entry of a replaced host may stay at the address for a while. The node
	// there is the one that started last, since incarnations are ordered by the
	// time of the start.
	newest := candidates[0]
	for _, p := range candidates[1:] {
		if p.Incarnation > newest.Incarnation {
			newest = p
		}
	}
	return jwcert.Identity{Node: newest.Name, Region: newest.Region}, true
}
