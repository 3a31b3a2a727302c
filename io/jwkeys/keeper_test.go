package jwkeys

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/netip"
	"net/url"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"jujubewheel/io/jwaudit"
	"jujubewheel/io/jwsettings"
)

// authority signs throw-away certificates.
type authority struct {
	t    *testing.T
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	next int64
}

func newAuthority(t *testing.T) *authority {
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
	return &authority{t: t, cert: cert, key: key, next: 2}
}

// issue writes a certificate for the identities into dir and returns its files.
func (a *authority) issue(dir string, ids ...Identity) jwsettings.KeyFiles {
	a.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(a.t, err)
	var uris []*url.URL
	for _, id := range ids {
		uris = append(uris, id.URI())
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(a.next), URIs: uris,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	a.next++
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	assert.NilError(a.t, err)
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	assert.NilError(a.t, err)
	files := jwsettings.KeyFiles{
		Certificate: filepath.Join(dir, "certificate.pem"),
		Key:         filepath.Join(dir, "key.pem"),
		Authority:   filepath.Join(dir, "authority.pem"),
	}
	writePEM(a.t, files.Certificate, "CERTIFICATE", der)
	writePEM(a.t, files.Key, "PRIVATE KEY", keyDER)
	writePEM(a.t, files.Authority, "CERTIFICATE", a.cert.Raw)
	return files
}

func writePEM(t *testing.T, path, kind string, der []byte) {
	t.Helper()
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	assert.NilError(t, os.WriteFile(path, data, 0o600))
}

func (a *authority) keeper(ids ...Identity) *Keeper {
	a.t.Helper()
	k := &Keeper{Port: "nodes", Files: a.issue(a.t.TempDir(), ids...)}
	assert.NilError(a.t, k.Load())
	return k
}

var (
	n1 = Identity{Node: "n1", Region: "north"}
	n2 = Identity{Node: "n2", Region: "south"}
)

func TestBetweenNodes(t *testing.T) {
	// A node reaches an address that has been given to another host, or a host
	// that is no node at all comes to a node's port. Neither may get a request:
	// bound data would leave its region, and nobody would see it.
	ours, theirs := newAuthority(t), newAuthority(t)
	tests := map[string]struct {
		server, client *Keeper
		want           Identity
		fault          string
	}{
		"right node":         {ours.keeper(n1), ours.keeper(n2), n1, ""},
		"another node":       {ours.keeper(n1), ours.keeper(n2), n2, "certificate is of n1 in north"},
		"another region":     {ours.keeper(n1), ours.keeper(n2), Identity{"n1", "south"}, "certificate is of n1 in north"},
		"foreign server":     {theirs.keeper(n1), ours.keeper(n2), n1, "unknown authority"},
		"foreign client":     {ours.keeper(n1), theirs.keeper(n2), n1, "unknown"},
		"server names none":  {ours.keeper(), ours.keeper(n2), n1, "names 0 nodes"},
		"client names none":  {ours.keeper(n1), ours.keeper(), n1, "bad certificate"},
		"server names two":   {ours.keeper(n1, n2), ours.keeper(n2), n1, "names 2 nodes"},
		"nobody known there": {ours.keeper(n1), ours.keeper(n2), Identity{}, "nobody is known"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			err := handshake(t, tc.server, tc.client, tc.want)
			if tc.fault == "" {
				assert.NilError(t, err)
				return
			}
			assert.ErrorContains(t, err, tc.fault)
		})
	}
}

// handshake connects two keepers and returns the first error of the client,
// whichever end found it.
func handshake(t *testing.T, server, client *Keeper, want Identity) error {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		secure, _, err := (&Credentials{Keeper: server}).ServerHandshake(conn)
		if err == nil {
			_, _ = secure.Write([]byte("!"))
		}
	}()
	conn, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	c := &Credentials{Keeper: client, Identify: func(a netip.AddrPort) (Identity, bool) {
		return want, want != Identity{} && a.String() == l.Addr().String()
	}}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	secure, _, err := c.ClientHandshake(ctx, l.Addr().String(), conn)
	if err != nil {
		return err
	}
	_, err = secure.Read(make([]byte, 1))
	return err
}

func TestIdentityOf(t *testing.T) {
	_, err := IdentityOf(tls.ConnectionState{})
	assert.ErrorContains(t, err, "no certificate")
	for name, uri := range map[string]string{
		"other scheme": "https://jujubewheel/region/r/node/n",
		"other domain": "spiffe://other/region/r/node/n",
		"short":        "spiffe://jujubewheel/region/r",
		"empty node":   "spiffe://jujubewheel/region/r/node/",
		"longer":       "spiffe://jujubewheel/region/r/node/n/x",
	} {
		t.Run(name, func(t *testing.T) {
			u, err := url.Parse(uri)
			assert.NilError(t, err)
			_, err = identityOf(&x509.Certificate{URIs: []*url.URL{u}})
			assert.ErrorContains(t, err, "names 0 nodes")
		})
	}
}

func TestReload(t *testing.T) {
	// A certificate is replaced in two steps, so that for a while its key does
	// not fit. The old one must serve on until the new one is whole.
	synctest.Test(t, func(t *testing.T) {
		a := newAuthority(t)
		dir := t.TempDir()
		trail := &jwaudit.Trail{}
		k := &Keeper{Port: "nodes", Files: a.issue(dir, n1), Audit: trail}
		assert.NilError(t, k.Load())
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- k.Run(ctx) }()
		serial := func() int64 {
			time.Sleep(3 * DefaultEvery)
			c, err := k.certificate()
			assert.NilError(t, err)
			return c.Leaf.SerialNumber.Int64()
		}
		// From here on between two ticks: at one, the keeper would read while
		// this writes.
		time.Sleep(DefaultEvery / 2)
		assert.Equal(t, serial(), int64(2))

		key, err := os.ReadFile(k.Files.Key)
		assert.NilError(t, err)
		a.issue(dir, n1)
		newKey, err := os.ReadFile(k.Files.Key)
		assert.NilError(t, err)
		assert.NilError(t, os.WriteFile(k.Files.Key, key, 0o600))
		assert.Equal(t, serial(), int64(2))
		assert.NilError(t, os.WriteFile(k.Files.Key, newKey, 0o600))
		assert.Equal(t, serial(), int64(3))

		cancel()
		assert.NilError(t, <-done)
		var states []string
		for _, r := range trail.After(0, 10) {
			states = append(states, r.To)
		}
		assert.DeepEqual(t, states, []string{"loaded", "refused", "loaded"})
	})
}

func TestServer(t *testing.T) {
	k := newAuthority(t).keeper(n1)
	l, err := tls.Listen("tcp", "127.0.0.1:0", k.Server())
	assert.NilError(t, err)
	defer l.Close()
	go func() {
		if conn, err := l.Accept(); err == nil {
			_ = conn.(*tls.Conn).Handshake()
			conn.Close()
		}
	}()
	roots := k.current.Load().authority
	conn, err := tls.Dial("tcp", l.Addr().String(), &tls.Config{RootCAs: roots, ServerName: "127.0.0.1"})
	assert.NilError(t, err)
	assert.NilError(t, conn.Close())
	assert.ErrorContains(t, (&Keeper{Port: "callers"}).Load(), "load certificate: callers")
}
