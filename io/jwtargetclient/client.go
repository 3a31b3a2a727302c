package jwtargetclient

import (
	"bytes"
	"context"
	"io"
	"mime"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"

	"jujubewheel/core/jwdispatch"
	"jujubewheel/io/jwrest"
)

// serviceName is what httpc calls the targets; its breaker is off for it,
// since whether a target may be used is decided by the target table.
const serviceName = "target"

const (
	maxIdlePerTarget  = 64
	idleTimeout       = 30 * time.Second
	maxResponseHeader = 64 << 10
)

func init() { breaker.NoBreakerFor(serviceName) }

// Client calls targets; the zero value is ready to use.
type Client struct {
	DialTimeout time.Duration // for a new connection, 1 s if zero

	mu      sync.Mutex
	targets map[netip.AddrPort]*targetConns
}

// connections are the ways to one target.
type targetConns struct {
	pooledTransport *http.Transport // for calls that may be sent again
	// The services are made once: each call would else make a client and a
	// service anew.
	pooled    httpc.Service // over reused
	singleUse httpc.Service // one connection a call
}

// Call sends one request to a target and returns once its answer has begun.
// Errors are of type *jwdispatch.CallError.
func (c *Client) Call(ctx context.Context, addr netip.AddrPort, call jwdispatch.TargetCall) (*jwdispatch.Answer, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	progress := newProgressTimer(call.Progress, func() { cancel(errSilent) })
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	fail := func(err error) error {
		progress.stop()
		e := c.callError(ctx, addr, "call target", sent.Load(), err)
		cancel(nil)
		return e
	}
	r, err := request(ctx, addr, call)
	if err != nil {
		return nil, fail(err)
	}
	conns := c.connsTo(addr)
	service := conns.pooled
	if !call.Idempotent {
		service = conns.singleUse
	}
	resp, err := service.DoRequest(r)
	if err != nil {
		return nil, fail(err)
	}
	progress.reset()
	if isRefusal(resp.StatusCode) {
		after := retryAfter(resp.Header)
		_ = resp.Body.Close()
		progress.stop()
		cancel(nil)
		return nil, &jwdispatch.CallError{
			Step: "call target", Peer: addr, Fate: jwdispatch.Refused, RetryAfter: after,
			Err: errors.Errorf("target answered %s", resp.Status),
		}
	}
	b := &body{
		client: c, addr: addr, ctx: ctx, progress: progress,
		cancel: func() { cancel(nil) }, resp: resp, endsWithConnection: endsWithConnection(resp),
	}
	b.stream = isStream(resp.Header)
	head := jwdispatch.Head{
		Status:      resp.StatusCode,
		ContentType: resp.Header.Get("Content-Type"),
		Length:      resp.ContentLength,
	}
	return &jwdispatch.Answer{Head: head, Body: b}, nil
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// request makes the HTTP request of a call.
//
// The transport sends a request again by itself when a reused connection
// breaks, if it can get the body anew and the request has an Idempotency-Key.
// A confirmation would then run twice, unseen by this node; so the body is
// made one that can be read once only.
func request(ctx context.Context, addr netip.AddrPort, call jwdispatch.TargetCall) (*http.Request, error) {
	in := call.Request
	bodyReader := io.NopCloser(bytes.NewReader(in.Body))
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr.String()+call.Path, bodyReader)
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	r.ContentLength = int64(len(in.Body))
	setHeader(r.Header, "Content-Type", in.ContentType)
	setHeader(r.Header, "Accept", in.Accept)
	setHeader(r.Header, "Jujube-Workspace", in.Workspace)
	setHeader(r.Header, "Jujube-Request-Id", in.ID)
	setHeader(r.Header, "Idempotency-Key", in.Key)
	setHeader(r.Header, "Last-Event-ID", call.After)
	r.Header.Set("Priority", "u="+strconv.Itoa(call.Urgency))
	return r, nil
}

func setHeader(h http.Header, name, value string) {
	if value != "" {
		h.Set(name, value)
	}
}

// refused tells whether a status says that the target did not run the request.
func isRefusal(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

func retryAfter(h http.Header) time.Duration {
	n, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || n < 0 {
		return 0
	}
	return time.Duration(n) * time.Second
}

func isStream(h http.Header) bool {
	kind, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && kind == "text/event-stream"
}

// endless tells whether only the end of the connection would end the answer,
// so that a broken one looks whole.
func endsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

func (c *Client) connsTo(addr netip.AddrPort) *targetConns {
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := c.targets[addr]
	if conns == nil {
		conns = c.newTargetConns()
		if c.targets == nil {
			c.targets = make(map[netip.AddrPort]*targetConns)
		}
		c.targets[addr] = conns
	}
	return conns
}

func (c *Client) newTargetConns() *targetConns {
	jwrest.Quiet()
	timeout := c.DialTimeout
	if timeout == 0 {
		timeout = time.Second
	}
	dialer := &net.Dialer{Timeout: timeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3,
	}}
	pooledTransport := &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdlePerTarget, IdleConnTimeout: idleTimeout,
		DisableCompression: true, MaxResponseHeaderBytes: maxResponseHeader,
	}
	single := &http.Transport{
		DialContext: dialer.DialContext, DisableKeepAlives: true,
		DisableCompression: true, MaxResponseHeaderBytes: maxResponseHeader,
	}
	return &targetConns{pooledTransport: pooledTransport, pooled: newService(pooledTransport), singleUse: newService(single)}
}

func newService(t *http.Transport) httpc.Service {
	return httpc.NewServiceWithClient(serviceName, &http.Client{Transport: t, CheckRedirect: noRedirect})
}

// Forget closes the idle connections to a target and opens new ones for the
// next calls.
func (c *Client) Forget(addr netip.AddrPort) {
	c.mu.Lock()
	conns := c.targets[addr]
	delete(c.targets, addr)
	c.mu.Unlock()
	if conns != nil {
		conns.pooledTransport.CloseIdleConnections()
	}
}

// callError judges a failed call. When a connection went silent, all others to
// that target are suspect too: something between the two ends may have lost
// track of them, and every call on one would wait as long. New ones are opened.
func (c *Client) callError(ctx context.Context, addr netip.AddrPort, step string, sent bool, err error) *jwdispatch.CallError {
	out := &jwdispatch.CallError{Step: step, Peer: addr, Err: err, Fate: jwdispatch.Broken}
	switch {
	case !sent:
		out.Fate = jwdispatch.Unsent
	case errors.Is(context.Cause(ctx), errSilent):
		out.Fate = jwdispatch.Silent
		out.Err = errSilent
		c.Forget(addr)
	case ctx.Err() == nil:
		out.Crashed = crashed(err)
	}
	return out
}

// crashed tells whether a connection ended as it does when a process dies.
func crashed(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
}

var (
	errSilent      = errors.New("no progress")
	errNoLength    = errors.New("answer without an end mark")
	errNoEndMarker = errors.New("stream ended before its end mark")
)
