package jwkeys

import (
	"crypto/tls"
	"crypto/x509"

	"github.com/pkg/errors"
)

// Server returns the configuration of a port for callers or operators.
func (k *Keeper) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return k.certificate()
		},
	}
}

// NodeServer returns the configuration of the port for other nodes; it lets in
// whoever shows a certificate of a node. IdentityOf tells which.
func (k *Keeper) NodeServer() *tls.Config {
	cfg := k.Server()
	cfg.MinVersion = tls.VersionTLS13
	// Verified below against the authority of the moment; crypto/tls would
	// hold on to the one the listener began with.
	cfg.ClientAuth = tls.RequireAnyClientCert
	cfg.VerifyConnection = func(state tls.ConnectionState) error {
		_, err := k.verify(state, x509.ExtKeyUsageClientAuth)
		return err
	}
	return cfg
}

// NodeClient returns the configuration of a connection to one node. Only that
// node is accepted: an address that was given to another host since, maybe one
// of another region, must not get bound data.
func (k *Keeper) NodeClient(want Identity) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return k.certificate()
		},
		// Nodes are known by identity, not by host name: VerifyConnection
		// does all that crypto/tls would do but for the name.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			got, err := k.verify(state, x509.ExtKeyUsageServerAuth)
			if err != nil {
				return err
			}
			if got != want {
				return errors.Errorf("verify node: certificate is of %s in %s, wanted %s in %s",
					got.Node, got.Region, want.Node, want.Region)
			}
			return nil
		},
	}
}

func (k *Keeper) certificate() (*tls.Certificate, error) {
	l := k.current.Load()
	if l == nil {
		return nil, errors.Errorf("no certificate loaded: %s", k.Port)
	}
	return &l.certificate, nil
}

// verify checks the other end's chain and returns its identity.
func (k *Keeper) verify(state tls.ConnectionState, use x509.ExtKeyUsage) (Identity, error) {
	l := k.current.Load()
	if l == nil || l.authority == nil {
		return Identity{}, errors.Errorf("verify node: no authority loaded: %s", k.Port)
	}
	if len(state.PeerCertificates) == 0 {
		return Identity{}, errors.New("verify node: no certificate")
	}
	between := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		between.AddCert(c)
	}
	leaf := state.PeerCertificates[0]
	_, err := leaf.Verify(x509.VerifyOptions{
		Roots: l.authority, Intermediates: between, KeyUsages: []x509.ExtKeyUsage{use},
	})
	if err != nil {
		return Identity{}, errors.Wrap(err, "verify node")
	}
	return identityOf(leaf)
}
