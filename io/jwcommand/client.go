package jwcommand

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"

	"jujubewheel/io/jwoperate"
)

const (
	callTimeout = 40 * time.Second // above the longest wait of an edit
	maxAnswer   = 64 << 20         // bytes
	serviceName = "jwcommand"
)

// connection holds the flags that say how to reach the operators' interface of
// a node.
type connection struct {
	At        netip.AddrPort `default:"127.0.0.1:8081" env:"JUJUBE_OPERATORS" help:"Operators' address of any node."`
	TokenFile string         `type:"path" env:"JUJUBE_TOKEN_FILE" help:"File with the operators' token; JUJUBE_TOKEN may hold the token itself."`
	Authority string         `type:"path" env:"JUJUBE_AUTHORITY" help:"PEM file of the authority that signs the nodes' certificates; makes the call use TLS."`
}

// client calls the operators' interface of one node.
type client struct {
	service httpc.Service
	base    string
	token   string
}

func (c connection) client() (*client, error) {
	token, err := c.token()
	if err != nil {
		return nil, err
	}
	transport := &http.Transport{}
	scheme := "http://"
	if c.Authority != "" {
		scheme = "https://"
		transport.TLSClientConfig, err = tlsConfig(c.Authority)
		if err != nil {
			return nil, err
		}
	}
	// One command makes a few calls; a circuit breaker would only hide their
	// errors.
	breaker.NoBreakerFor(serviceName)
	return &client{
		service: httpc.NewServiceWithClient(serviceName, &http.Client{Transport: transport, Timeout: callTimeout}),
		base:    scheme + c.At.String(),
		token:   token,
	}, nil
}

// token returns the operators' token. It comes from a file or the environment
// only, since anyone on the host can read a command line.
func (c connection) token() (string, error) {
	if c.TokenFile == "" {
		return os.Getenv("JUJUBE_TOKEN"), nil
	}
	data, err := os.ReadFile(c.TokenFile)
	return strings.TrimSpace(string(data)), errors.Wrap(err, "read token")
}

func tlsConfig(file string) (*tls.Config, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read authority")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(data) {
		return nil, errors.Errorf("read authority: %s: no certificate in it", file)
	}
	return &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS12}, nil
}

// call is one call of the operators' interface.
type call struct {
	method string
	path   string
	header http.Header
	body   any
}

// get makes a GET request and decodes its answer into value.
func (c *client) get(ctx context.Context, path string, value any) error {
	_, err := c.do(ctx, call{method: http.MethodGet, path: path}, value)
	return err
}

// do makes a call and decodes its answer into value. A status other than 2xx
// gives a *responseError.
func (c *client) do(ctx context.Context, req call, value any) (status int, err error) {
	r, err := c.request(ctx, req)
	if err != nil {
		return 0, err
	}
	resp, err := c.service.DoRequest(r)
	if err != nil {
		return 0, errors.Wrapf(err, "%s %s: %s", req.method, req.path, c.base)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return 0, errors.Wrapf(err, "%s %s: %s", req.method, req.path, c.base)
	}
	if resp.StatusCode/100 != 2 {
		respErr := &responseError{status: resp.StatusCode}
		_ = json.Unmarshal(data, &respErr.body)
		return resp.StatusCode, respErr
	}
	err = json.Unmarshal(data, value)
	return resp.StatusCode, errors.Wrapf(err, "%s %s: %s: read answer", req.method, req.path, c.base)
}

func (c *client) request(ctx context.Context, req call) (*http.Request, error) {
	var body io.Reader
	if req.body != nil {
		data, err := json.Marshal(req.body)
		if err != nil {
			return nil, errors.Wrap(err, "write body")
		}
		body = bytes.NewReader(data)
	}
	r, err := http.NewRequestWithContext(ctx, req.method, c.base+req.path, body)
	if err != nil {
		return nil, err
	}
	for name, values := range req.header {
		r.Header[name] = values
	}
	if req.body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	if c.token != "" {
		r.Header.Set("Authorization", "Bearer "+c.token)
	}
	return r, nil
}

// entry returns the entry with a name; ok is false if there is none.
func (c *client) entry(ctx context.Context, name string) (e jwoperate.Entry, ok bool, err error) {
	err = c.get(ctx, entryPath(name), &e)
	var respErr *responseError
	if errors.As(err, &respErr) && respErr.status == http.StatusNotFound {
		return e, false, nil
	}
	return e, err == nil, err
}
