package jwforward

import (
	"crypto/tls"
	"crypto/x509"
	"net/url"
	"testing"

	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/peer"
	"gotest.tools/v3/assert"
)

// A compromised node has its own certificate but claims to be another node: it
// confirms a change for that node, or claims that a request came from another
// region. Such calls must be rejected.
func TestCheckIdentity(t *testing.T) {
	uri, err := url.Parse("spiffe://jujubewheel/region/east/node/e1")
	assert.NilError(t, err)
	tlsInfo := func(certificates ...*x509.Certificate) credentials.AuthInfo {
		return credentials.TLSInfo{State: tls.ConnectionState{PeerCertificates: certificates}}
	}
	nodeAuth := tlsInfo(&x509.Certificate{URIs: []*url.URL{uri}})
	tests := map[string]struct {
		auth         credentials.AuthInfo
		node, region string
		rejected     bool
	}{
		"itself":                   {auth: nodeAuth, node: "e1", region: "east"},
		"itself, region not given": {auth: nodeAuth, node: "e1"},
		"another node":             {auth: nodeAuth, node: "e2", region: "east", rejected: true},
		"another region":           {auth: nodeAuth, node: "e1", region: "west", rejected: true},
		"no certificate":           {auth: tlsInfo(), node: "e1", rejected: true},
		"a certificate of no node": {auth: tlsInfo(&x509.Certificate{}), node: "e1", rejected: true},
		"any node without TLS":     {node: "e2", region: "west"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ctx := peer.NewContext(t.Context(), &peer.Peer{AuthInfo: test.auth})
			err := checkIdentity(ctx, test.node, test.region)
			assert.Equal(t, err != nil, test.rejected, "%v", err)
		})
	}
}
