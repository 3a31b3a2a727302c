package jwcert_test

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/netip"
	"net/url"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"jujubewheel/io/jwaudit"
	"jujubewheel/io/jwcert"
	"jujubewheel/io/jwcerttest"
)

// loadReloader returns a CertificateReloader with a loaded certificate that the
// authority a issued for the identities.
func loadReloader(t *testing.T, a *jwcerttest.Authority, ids ...jwcert.Identity) *jwcert.CertificateReloader {
	t.Helper()
	k := &jwcert.CertificateReloader{Port: "nodes", Files: a.Issue(t.TempDir(), ids...)}
	assert.NilError(t, k.Load())
	return k
}

var (
	n1 = jwcert.Identity{Node: "n1", Region: "north"}
	n2 = jwcert.Identity{Node: "n2", Region: "south"}
)

func TestBetweenNodes(t *testing.T) {
	// A node may connect to an address that has been given to another host, and a
	// host that is not a node may connect to a node's port. Both connections must
	// fail. Otherwise bound data would leave its region unnoticed.
	ours, theirs := jwcerttest.New(t), jwcerttest.New(t)
	tests := map[string]struct {
		server, client *jwcert.CertificateReloader
		want           jwcert.Identity
		wantErr        string
	}{
		"expected node":               {loadReloader(t, ours, n1), loadReloader(t, ours, n2), n1, ""},
		"another node":                {loadReloader(t, ours, n1), loadReloader(t, ours, n2), n2, "certificate is of node n1 in region north"},
		"another region":              {loadReloader(t, ours, n1), loadReloader(t, ours, n2), jwcert.Identity{"n1", "south"}, "certificate is of node n1 in region north"},
		"server of another authority": {loadReloader(t, theirs, n1), loadReloader(t, ours, n2), n1, "unknown authority"},
		"client of another authority": {loadReloader(t, ours, n1), loadReloader(t, theirs, n2), n1, "unknown"},
		"server without identity":     {loadReloader(t, ours), loadReloader(t, ours, n2), n1, "names 0 nodes"},
		"client without identity":     {loadReloader(t, ours, n1), loadReloader(t, ours), n1, "bad certificate"},
		"server with two identities":  {loadReloader(t, ours, n1, n2), loadReloader(t, ours, n2), n1, "names 2 nodes"},
		"unknown address":             {loadReloader(t, ours, n1), loadReloader(t, ours, n2), jwcert.Identity{}, "no node is known"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			err := handshake(t, tc.server, tc.client, tc.want)
			if tc.wantErr == "" {
				assert.NilError(t, err)
				return
			}
			assert.ErrorContains(t, err, tc.wantErr)
		})
	}
}

// handshake connects client to server and returns the first error that the client sees.
// The client reads one byte, so that it also sees a rejection by the server.
func handshake(t *testing.T, server, client *jwcert.CertificateReloader, want jwcert.Identity) error {
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
		secure, _, err := (&jwcert.Credentials{Reloader: server}).ServerHandshake(conn)
		if err == nil {
			_, _ = secure.Write([]byte("!"))
		}
	}()
	conn, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	c := &jwcert.Credentials{Reloader: client, Identify: func(a netip.AddrPort) (jwcert.Identity, bool) {
		return want, want != jwcert.Identity{} && a.String() == l.Addr().String()
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
	_, err := jwcert.IdentityOf(tls.ConnectionState{})
	assert.ErrorContains(t, err, "the peer sent no certificate")
	for name, uri := range map[string]string{
		"other scheme":       "https://jujubewheel/region/r/node/n",
		"other domain":       "spiffe://other/region/r/node/n",
		"no node":            "spiffe://jujubewheel/region/r",
		"empty node":         "spiffe://jujubewheel/region/r/node/",
		"extra path element": "spiffe://jujubewheel/region/r/node/n/x",
	} {
		t.Run(name, func(t *testing.T) {
			u, err := url.Parse(uri)
			assert.NilError(t, err)
			_, err = jwcert.IdentityOf(tls.ConnectionState{PeerCertificates: []*x509.Certificate{{URIs: []*url.URL{u}}}})
			assert.ErrorContains(t, err, "names 0 nodes")
		})
	}
}

func TestReload(t *testing.T) {
	// Certificate and key are replaced one after the other, so for a while they do
	// not match. The old certificate must stay in use until the new pair is complete.
	synctest.Test(t, func(t *testing.T) {
		a := jwcerttest.New(t)
		dir := t.TempDir()
		trail := &jwaudit.Trail{}
		k := &jwcert.CertificateReloader{Port: "nodes", Files: a.Issue(dir, n1), Audit: trail}
		assert.NilError(t, k.Load())
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- k.Run(ctx) }()
		serial := func() int64 {
			time.Sleep(3 * jwcert.DefaultCheckInterval)
			c, err := k.ServerConfig().GetCertificate(nil)
			assert.NilError(t, err)
			return c.Leaf.SerialNumber.Int64()
		}
		// Move half an interval away from the ticks, so that Run does not read the
		// files while the test writes them.
		time.Sleep(jwcert.DefaultCheckInterval / 2)
		assert.Equal(t, serial(), int64(2))

		key, err := os.ReadFile(k.Files.Key)
		assert.NilError(t, err)
		a.Issue(dir, n1)
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

func TestServerConfig(t *testing.T) {
	a := jwcerttest.New(t)
	k := loadReloader(t, a, n1)
	l, err := tls.Listen("tcp", "127.0.0.1:0", k.ServerConfig())
	assert.NilError(t, err)
	defer l.Close()
	go func() {
		if conn, err := l.Accept(); err == nil {
			_ = conn.(*tls.Conn).Handshake()
			conn.Close()
		}
	}()
	conn, err := tls.Dial("tcp", l.Addr().String(), &tls.Config{RootCAs: a.Pool(), ServerName: "127.0.0.1"})
	assert.NilError(t, err)
	assert.NilError(t, conn.Close())
	assert.ErrorContains(t, (&jwcert.CertificateReloader{Port: "callers"}).Load(), "load certificate: callers")
}
