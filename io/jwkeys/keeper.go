package jwkeys

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"jujubewheel/io/jwaudit"
	"jujubewheel/io/jwmeter"
	"jujubewheel/io/jwsettings"
)

// DefaultEvery is how often the files are compared where Every is 0.
const DefaultEvery = 10 * time.Second

// Keeper holds the certificate of one port; set its fields, then call Load.
type Keeper struct {
	Port  string // "callers", "operators" or "nodes", for errors and records
	Files jwsettings.KeyFiles
	Every time.Duration // between two comparisons of the files
	Audit *jwaudit.Trail
	Meter *jwmeter.Meter

	current atomic.Pointer[loaded]
	refused string // the last error told, so that it is told once
}

// loaded is one reading of the files.
type loaded struct {
	pem         [3][]byte
	certificate tls.Certificate
	authority   *x509.CertPool
}

// Load reads the files for the first time.
func (k *Keeper) Load() error {
	l, err := read(k.Files)
	if err != nil {
		return errors.Wrapf(err, "load certificate: %s", k.Port)
	}
	k.set(l)
	return nil
}

// Run loads the files anew when they change, until ctx ends. Files that cannot
// be used leave the old certificate in place.
func (k *Keeper) Run(ctx context.Context) error {
	every := k.Every
	if every == 0 {
		every = DefaultEvery
	}
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			k.refresh()
		}
	}
}

func (k *Keeper) refresh() {
	l, err := read(k.Files)
	if err != nil {
		k.refuse(err)
		return
	}
	k.refused = ""
	if old := k.current.Load(); old != nil && old.same(l) {
		k.measure(old)
		return
	}
	k.set(l)
}

// refuse tells of files that cannot be used. A certificate that is replaced in
// two steps is unusable between them, so this may pass by itself.
func (k *Keeper) refuse(err error) {
	k.Meter.Counter("certificate_failures_total", jwmeter.Tags{"port": k.Port}).Inc(1)
	if k.refused == err.Error() {
		return
	}
	k.refused = err.Error()
	k.Audit.Add(jwaudit.Record{Kind: jwaudit.CertificateSet, Subject: k.Port, To: "refused", Detail: err.Error()})
}

func (k *Keeper) set(l *loaded) {
	k.current.Store(l)
	k.measure(l)
	leaf := l.certificate.Leaf
	k.Audit.Add(jwaudit.Record{
		Kind: jwaudit.CertificateSet, Subject: k.Port, To: "loaded",
		Detail: "serial " + leaf.SerialNumber.String() + ", valid until " + leaf.NotAfter.UTC().Format(time.RFC3339),
	})
}

// measure shows how long the certificate is still valid. An expired one lets
// no new connection come about, while old ones hide that for a while.
func (k *Keeper) measure(l *loaded) {
	left := time.Until(l.certificate.Leaf.NotAfter)
	k.Meter.Gauge("certificate_valid_seconds", jwmeter.Tags{"port": k.Port}).Update(left.Seconds())
}

func read(files jwsettings.KeyFiles) (*loaded, error) {
	l := &loaded{}
	for i, path := range []string{files.Certificate, files.Key, files.Authority} {
		if path == "" {
			continue
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		l.pem[i] = data
	}
	certificate, err := tls.X509KeyPair(l.pem[0], l.pem[1])
	if err != nil {
		return nil, errors.Wrap(err, files.Certificate)
	}
	l.certificate = certificate
	if files.Authority == "" {
		return l, nil
	}
	l.authority = x509.NewCertPool()
	if !l.authority.AppendCertsFromPEM(l.pem[2]) {
		return nil, errors.Errorf("%s: no certificate in it", files.Authority)
	}
	return l, nil
}

func (l *loaded) same(other *loaded) bool {
	for i := range l.pem {
		if !bytes.Equal(l.pem[i], other.pem[i]) {
			return false
		}
	}
	return true
}
