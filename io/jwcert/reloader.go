package jwcert

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

// DefaultCheckInterval is the interval between two checks of the files if
// CertificateReloader.CheckInterval is 0.
const DefaultCheckInterval = 10 * time.Second

// CertificateReloader holds the certificate of one port and reloads it when its files
// change. Set the exported fields, then call Load and Run.
type CertificateReloader struct {
	Port          string // "callers", "operators" or "nodes"; used in errors, audit records and metrics
	Files         jwsettings.KeyFiles
	CheckInterval time.Duration // interval between two checks of the files; 0 means DefaultCheckInterval
	Audit         *jwaudit.Trail
	Meter         *jwmeter.Meter

	current   atomic.Pointer[loadedFiles]
	lastError string // last error in the audit trail, so that each error is added only once
}

// loadedFiles is the content of the files at one time.
type loadedFiles struct {
	pem         [3][]byte // certificate, key and authority
	certificate tls.Certificate
	authority   *x509.CertPool
}

// Load reads the files for the first time. It fails if they cannot be used.
func (r *CertificateReloader) Load() error {
	l, err := readFiles(r.Files)
	if err != nil {
		return errors.Wrapf(err, "load certificate: %s", r.Port)
	}
	r.use(l)
	return nil
}

// Run reloads the files when they change, until ctx ends. While the files cannot be
// used, the previous certificate stays in use.
func (r *CertificateReloader) Run(ctx context.Context) error {
	interval := r.CheckInterval
	if interval == 0 {
		interval = DefaultCheckInterval
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			r.refresh()
		}
	}
}

// refresh reads the files and uses their content if it has changed.
func (r *CertificateReloader) refresh() {
	l, err := readFiles(r.Files)
	if err != nil {
		r.recordFailure(err)
		return
	}
	r.lastError = ""
	if old := r.current.Load(); old != nil && old.equal(l) {
		r.updateValidity(old)
		return
	}
	r.use(l)
}

// recordFailure counts and records that the files cannot be used. The cause can be
// temporary: while certificate and key are replaced one after the other, they do not match.
func (r *CertificateReloader) recordFailure(err error) {
	r.Meter.Counter("certificate_failures_total", jwmeter.Tags{"port": r.Port}).Inc(1)
	if r.lastError == err.Error() {
		return
	}
	r.lastError = err.Error()
	r.Audit.Add(jwaudit.Record{Kind: jwaudit.CertificateSet, Subject: r.Port, To: "refused", Detail: err.Error()})
}

// use starts to use the content of the files and adds an audit record.
func (r *CertificateReloader) use(l *loadedFiles) {
	r.current.Store(l)
	r.updateValidity(l)
	leaf := l.certificate.Leaf
	r.Audit.Add(jwaudit.Record{
		Kind: jwaudit.CertificateSet, Subject: r.Port, To: "loaded",
		Detail: "serial " + leaf.SerialNumber.String() + ", valid until " + leaf.NotAfter.UTC().Format(time.RFC3339),
	})
}

// updateValidity updates the metric of the remaining validity. After the certificate
// expires, new connections fail, which established connections can hide for some time.
func (r *CertificateReloader) updateValidity(l *loadedFiles) {
	left := time.Until(l.certificate.Leaf.NotAfter)
	r.Meter.Gauge("certificate_valid_seconds", jwmeter.Tags{"port": r.Port}).Update(left.Seconds())
}

// readFiles reads the files and checks that the key matches the certificate.
func readFiles(files jwsettings.KeyFiles) (*loadedFiles, error) {
	l := &loadedFiles{}
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

func (l *loadedFiles) equal(other *loadedFiles) bool {
	for i := range l.pem {
		if !bytes.Equal(l.pem[i], other.pem[i]) {
			return false
		}
	}
	return true
}
