package jwcert

import (
	"crypto/tls"
	"crypto/x509"

	"github.com/pkg/errors"
)

// ServerConfig returns the TLS configuration of a port for callers or operators. It does not
// ask for client certificates.
func (r *CertificateReloader) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return r.certificate()
		},
	}
}

// NodeServerConfig returns the TLS configuration of the port for other nodes. It accepts the
// certificate of any node; IdentityOf returns which node connected.
func (r *CertificateReloader) NodeServerConfig() *tls.Config {
	cfg := r.ServerConfig()
	cfg.MinVersion = tls.VersionTLS13
	// VerifyConnection verifies the certificate against the authority that is
	// loaded now. crypto/tls would use the authority that was loaded when the
	// listener started.
	cfg.ClientAuth = tls.RequireAnyClientCert
	cfg.VerifyConnection = func(state tls.ConnectionState) error {
		_, err := r.verify(state, x509.ExtKeyUsageClientAuth)
		return err
	}
	return cfg
}

// NodeClientConfig returns the TLS configuration of a connection to the node want, which
// rejects the certificates of all other nodes. The address may since have been given to
// another host, possibly in another region, which must not receive bound data.
func (r *CertificateReloader) NodeClientConfig(want Identity) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return r.certificate()
		},
		// Nodes are identified by the URI in their certificate, not by host name.
		// VerifyConnection does the same checks as crypto/tls except that of the
		// host name.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			got, err := r.verify(state, x509.ExtKeyUsageServerAuth)
			if err != nil {
				return err
			}
			if got != want {
				return errors.Errorf("verify node: certificate is of node %s in region %s, want node %s in region %s",
					got.Node, got.Region, want.Node, want.Region)
			}
			return nil
		},
	}
}

// certificate returns the loaded certificate, or an error before the first Load.
func (r *CertificateReloader) certificate() (*tls.Certificate, error) {
	l := r.current.Load()
	if l == nil {
		return nil, errors.Errorf("no certificate loaded: %s", r.Port)
	}
	return &l.certificate, nil
}

// verify checks the peer's certificate chain against the loaded authority and returns
// the peer's identity.
func (r *CertificateReloader) verify(state tls.ConnectionState, use x509.ExtKeyUsage) (Identity, error) {
	l := r.current.Load()
	if l == nil || l.authority == nil {
		return Identity{}, errors.Errorf("verify node: no authority loaded: %s", r.Port)
	}
	if len(state.PeerCertificates) == 0 {
		return Identity{}, errors.New("verify node: the peer sent no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	leaf := state.PeerCertificates[0]
	_, err := leaf.Verify(x509.VerifyOptions{
		Roots: l.authority, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{use},
	})
	if err != nil {
		return Identity{}, errors.Wrap(err, "verify node")
	}
	return identityOf(leaf)
}
