package jwcert

import (
	"crypto/tls"
	"crypto/x509"
	"net/url"
	"strings"

	"github.com/pkg/errors"
)

const (
	scheme      = "spiffe"
	trustDomain = "jujubewheel"
)

// Identity is the node that a certificate was issued to.
type Identity struct {
	Node   string
	Region string
}

// URI returns the identity as the SPIFFE URI in a certificate.
func (i Identity) URI() *url.URL {
	return &url.URL{Scheme: scheme, Host: trustDomain, Path: "/region/" + i.Region + "/node/" + i.Node}
}

// IdentityOf returns the identity of the peer of a verified connection. It fails if the
// peer's certificate does not name exactly one node.
func IdentityOf(state tls.ConnectionState) (Identity, error) {
	if len(state.PeerCertificates) == 0 {
		return Identity{}, errors.New("read identity: the peer sent no certificate")
	}
	return identityOf(state.PeerCertificates[0])
}

// identityOf returns the only identity in a certificate. With more than one, a node could
// act as another.
func identityOf(c *x509.Certificate) (Identity, error) {
	var found []Identity
	for _, u := range c.URIs {
		if u.Scheme != scheme || u.Host != trustDomain {
			continue
		}
		parts := strings.Split(u.Path, "/")
		if len(parts) == 5 && parts[1] == "region" && parts[3] == "node" && parts[2] != "" && parts[4] != "" {
			found = append(found, Identity{Region: parts[2], Node: parts[4]})
		}
	}
	if len(found) != 1 {
		return Identity{}, errors.Errorf("read identity: the certificate names %d nodes", len(found))
	}
	return found[0], nil
}
