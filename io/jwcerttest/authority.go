package jwcerttest

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/url"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubewheel/io/jwcert"
	"jujubewheel/io/jwsettings"
)

// Authority is a certificate authority whose certificates are valid for an hour and for
// 127.0.0.1.
type Authority struct {
	t          testing.TB
	cert       *x509.Certificate
	key        *ecdsa.PrivateKey
	nextSerial int64
}

// New returns an Authority with a new key. Its errors fail the test t.
func New(t testing.TB) *Authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	cert, err := x509.ParseCertificate(der)
	assert.NilError(t, err)
	return &Authority{t: t, cert: cert, key: key, nextSerial: 2}
}

// Pool returns a pool with the certificate of the authority, for clients that trust it.
func (a *Authority) Pool() *x509.CertPool {
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	return pool
}

// Issue writes a new key, its certificate for the identities and the certificate of the
// authority into dir and returns the paths. Serial numbers are consecutive and begin
// with 2.
func (a *Authority) Issue(dir string, ids ...jwcert.Identity) jwsettings.KeyFiles {
	a.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(a.t, err)
	var uris []*url.URL
	for _, id := range ids {
		uris = append(uris, id.URI())
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(a.nextSerial), URIs: uris,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	a.nextSerial++
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	assert.NilError(a.t, err)
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	assert.NilError(a.t, err)
	files := jwsettings.KeyFiles{
		Certificate: filepath.Join(dir, "certificate.pem"),
		Key:         filepath.Join(dir, "key.pem"),
		Authority:   filepath.Join(dir, "authority.pem"),
	}
	a.write(files.Certificate, "CERTIFICATE", der)
	a.write(files.Key, "PRIVATE KEY", keyDER)
	a.write(files.Authority, "CERTIFICATE", a.cert.Raw)
	return files
}

func (a *Authority) write(path, kind string, der []byte) {
	a.t.Helper()
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	assert.NilError(a.t, os.WriteFile(path, data, 0o600))
}
