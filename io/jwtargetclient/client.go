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
	"jujubewheel/io/jwconn"
	"jujubewheel/io/jwrest"
)

// serviceName is the name of all targets in httpc. Its circuit breaker is
// disabled for this name, because the target table decides whether a target may
// be used.
const serviceName = "target"

const (
	maxIdlePerTarget  = 64
	idleTimeout       = 30 * time.Second
	maxResponseHeader = 64 << 10
)

func init() { breaker.NoBreakerFor(serviceName) }

// Client calls targets; the zero value is ready to use.
type Client struct {
	DialTimeout time.Duration // longest time to open a connection, 1 s if zero

	mu      sync.Mutex
	targets map[netip.AddrPort]*targetConns
}

// targetConns holds the HTTP clients for one target.
type targetConns struct {
	pooledTransport *http.Transport // keeps connections, for calls that may be retried
	// The services are kept here, because otherwise each call would create a
	// client and a service.
	pooled    httpc.Service // over pooledTransport
	singleUse httpc.Service // opens a connection for each call
}

// Call sends one request to a target and returns when the head of the answer has
// arrived. Errors are of type *jwdispatch.CallError; those of reading the answer
// too.
func (c *Client) Call(ctx context.Context, addr netip.AddrPort, call jwdispatch.TargetCall) (*jwdispatch.Answer, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	progress := newProgressTimer(call.ProgressTimeout, func() { cancel(errNoProgress) })
	var sent, stale atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			stale.Store(info.Reused && jwconn.StateOf(info.Conn) != jwconn.ConnOpen)
			sent.Store(true)
		},
	})
	fail := func(err error) error {
		progress.stop()
		e := c.callError(ctx, addr, "call target", sent.Load(), err)
		// The connection had ended before the call, so that the call did not end it.
		e.Crashed = e.Crashed && !stale.Load()
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
			Step: "call target", Peer: addr, Kind: jwdispatch.Refused, RetryAfter: after,
			Err: errors.Errorf("target answered %s", resp.Status),
		}
	}
	b := &body{
		client: c, addr: addr, ctx: ctx, progress: progress,
		cancel: func() { cancel(nil) }, resp: resp, endsWithConnection: endsWithConnection(resp),
	}
	b.stream = isStream(resp.Header)
	head := jwdispatch.AnswerHead{
		Status:      resp.StatusCode,
		ContentType: resp.Header.Get("Content-Type"),
		Length:      resp.ContentLength,
	}
	return &jwdispatch.Answer{Head: head, Body: b}, nil
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// request creates the HTTP request for a call.
//
// The transport retries a request by itself when a reused connection breaks, if
// it can read the body again and the request has an Idempotency-Key. A
// confirmation could then run twice without this node noticing. Therefore the
// request gets a body that can be read only once.
func request(ctx context.Context, addr netip.AddrPort, call jwdispatch.TargetCall) (*http.Request, error) {
	in := call.Request
	bodyReader := io.NopCloser(bytes.NewReader(in.Body))
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr.String()+call.Path, bodyReader)
	if err != nil {
		return nil, errors.Wrap(err, "create request")
	}
	r.ContentLength = int64(len(in.Body))
	setHeader(r.Header, "Content-Type", in.ContentType)
	setHeader(r.Header, "Accept", in.Accept)
	setHeader(r.Header, "Jujube-Workspace", in.Workspace)
	setHeader(r.Header, "Jujube-Request-Id", in.ID)
	setHeader(r.Header, "Idempotency-Key", in.Key)
	setHeader(r.Header, "Last-Event-ID", call.LastEventID)
	r.Header.Set("Priority", "u="+strconv.Itoa(call.Urgency))
	return r, nil
}

func setHeader(h http.Header, name, value string) {
	if value != "" {
		h.Set(name, value)
	}
}

// isRefusal reports whether a status means that the target did not run the
// request.
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

// endsWithConnection reports whether the answer has neither a length nor chunks,
// so that only the end of the connection ends it. If the connection of such an
// answer breaks, the answer looks complete.
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
	jwrest.DisableGoZeroDefaults()
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

// CloseIdle closes the idle connections to a target. Later calls open new ones.
func (c *Client) CloseIdle(addr netip.AddrPort) {
	c.mu.Lock()
	conns := c.targets[addr]
	delete(c.targets, addr)
	c.mu.Unlock()
	if conns != nil {
		conns.pooledTransport.CloseIdleConnections()
	}
}

// callError returns the error of a failed call; sent is whether the request may
// have been sent. If there was no progress on a connection, the other kept
// connections to that target are closed too: a device on the path may have lost
// their state, and every call on one of them would wait as long.
func (c *Client) callError(ctx context.Context, addr netip.AddrPort, step string, sent bool, err error) *jwdispatch.CallError {
	out := &jwdispatch.CallError{Step: step, Peer: addr, Err: err, Kind: jwdispatch.BrokenOff}
	switch {
	case !sent:
		out.Kind = jwdispatch.Unsent
	case errors.Is(context.Cause(ctx), errNoProgress):
		out.Kind = jwdispatch.NoProgress
		out.Err = errNoProgress
		c.CloseIdle(addr)
	case ctx.Err() == nil:
		out.Crashed = crashed(err)
	}
	return out
}

// crashed reports whether err is one that a connection has when the process at
// its other end dies.
func crashed(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
}

var (
	errNoProgress  = errors.New("no progress")
	errNoLength    = errors.New("answer has neither a length nor chunks, so its end is unknown")
	errNoEndMarker = errors.New("stream ended without its end marker")
)
