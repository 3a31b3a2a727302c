package jwnode

import (
	"context"
	"crypto/tls"
	"net/netip"

	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc/credentials"

	"jujubewheel/core/jwpeer"
	"jujubewheel/io/jwkeys"
	"jujubewheel/io/jwsettings"
)

// keys are the certificates of the ports; a port without one is plain.
type keys struct {
	callers, operators, nodes *jwkeys.Keeper
}

// loadKeys reads the certificates that the settings name.
func (n *Node) loadKeys() error {
	files := n.Settings.TLS
	for _, k := range []struct {
		port  string
		files jwsettings.KeyFiles
		into  **jwkeys.Keeper
	}{
		{"callers", files.Callers, &n.keys.callers},
		{"operators", files.Operators, &n.keys.operators},
		{"nodes", files.Nodes, &n.keys.nodes},
	} {
		if !k.files.Set() {
			continue
		}
		keeper := &jwkeys.Keeper{Port: k.port, Files: k.files, Audit: n.Audit, Meter: n.Meter}
		if err := keeper.Load(); err != nil {
			return err
		}
		*k.into = keeper
	}
	return nil
}

// run keeps the certificates fresh until ctx ends.
func (k *keys) run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, keeper := range []*jwkeys.Keeper{k.callers, k.operators, k.nodes} {
		if keeper != nil {
			g.Go(func() error { return keeper.Run(ctx) })
		}
	}
	return g.Wait()
}

// serverTLS returns the configuration of a port, nil for a plain one.
func serverTLS(k *jwkeys.Keeper) *tls.Config {
	if k == nil {
		return nil
	}
	return k.Server()
}

// nodeCredentials secures connections between nodes, nil for plain ones. Who
// should answer at an address is what the peers' own states and the platform's
// list say.
func (n *Node) nodeCredentials() credentials.TransportCredentials {
	if n.keys.nodes == nil {
		return nil
	}
	return &jwkeys.Credentials{Keeper: n.keys.nodes, Identify: n.identify}
}

func (n *Node) identify(address netip.AddrPort) (jwkeys.Identity, bool) {
	at := n.board.Peers.Select(func(p jwpeer.Peer) bool { return p.Nodes == address && p.State != jwpeer.Gone })
	if len(at) == 0 {
		return jwkeys.Identity{}, false
	}
	// A replaced host may leave an old peer at the address for a while; the
	// one that started last is the one that is there.
	newest := at[0]
	for _, p := range at[1:] {
		if p.Incarnation > newest.Incarnation {
			newest = p
		}
	}
	return jwkeys.Identity{Node: newest.Name, Region: newest.Region}, true
}
