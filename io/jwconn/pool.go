package jwconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// The values of a Pool whose own fields are zero.
const (
	DefaultDialTimeout = 700 * time.Millisecond
	DefaultIdleTimeout = 8 * time.Second
	DefaultMaxIdle     = 32
)

const (
	// userTimeout ends a connection whose bytes nobody acknowledges: one that
	// something on the way has forgotten. It leaves room for three losses in a row.
	userTimeout = 1500 * time.Millisecond
	// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, which package syscall lacks.
	tcpUserTimeout = 18
	readBufferSize = 2 << 10 // hundreds of streams are open at once, of small events
	restBufferSize = 16 << 10
	// bigBody is the size from which a body is written beside the reading of
	// the answer: a target may answer before it has read it.
	maxInlineBody = 8 << 10
)

// Stage tells how far a call got.
type Stage string

// The stages at which a call can fail.
const (
	Dial Stage = "dial" // not connected: nothing was sent
	Sent Stage = "sent" // the request was sent, at least in part, and no answer was read
	Read Stage = "read" // the answer broke off
)

// CallError is a call that failed; the peer may have acted on it unless Stage
// is Dial.
type CallError struct {
	Stage Stage
	Peer  netip.AddrPort
	Err   error
}

func (e *CallError) Error() string {
	return string(e.Stage) + " " + e.Peer.String() + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// errForeign is the cause when answers on a connection belong to other requests.
var errWrongAnswer = errors.New("the answer is to another request")

// Pool keeps connections by address; set its fields before use.
type Pool struct {
	DialTimeout time.Duration
	Idle        time.Duration // longest time a connection is kept unused
	MaxIdle     int           // kept connections to one address
	// Share bounds the kept connections to one address beside MaxIdle, if set:
	// a target takes only so many from all nodes together.
	Share  func(netip.AddrPort) int
	Opened func() // called for each new connection, if set

	mu   sync.Mutex
	idle map[netip.AddrPort][]*conn
}

// conn is one connection.
type conn struct {
	net.Conn
	r         *bufio.Reader
	idleSince time.Time     // when it was put back
	keepAlive time.Duration // what the peer said of keeping it, 0 if nothing
}

// Call is one request to a peer.
type Call struct {
	Peer   netip.AddrPort
	Method string
	Target string // path and query as they stand in the request line
	Host   string
	Header http.Header
	Body   []byte
	// Rest follows Body, if set, and is read as the peer takes it; such a call
	// can't be made again once some of it was read. Length is that of Body and
	// Rest together, -1 if it isn't known.
	Rest   io.Reader
	Length int64
	// Match tells whether a header is of the answer to this call, and not of
	// an earlier one on the connection; nil takes any.
	Match func(http.Header) bool
	// Fresh is how long a connection may have been unused for this call; 0 is
	// the pool's Idle. A short time serves calls that must not be sent twice:
	// a connection that the peer closes at this moment leaves their fate open.
	Fresh time.Duration
}

// Answer is the head of an answer with its body to be read; Close must be
// called.
type Answer struct {
	Status int
	Header http.Header
	Length int64 // -1 if not known
	Body   io.Reader

	pool       *Pool
	conn       *conn
	peer       netip.AddrPort
	complete   bool
	peerCloses bool
	bodyResult chan error // nil if the body was written before
	stop       func() bool
}

// Do sends the call and reads the head of its answer. When ctx ends the
// connection is closed, also while the body is read.
func (p *Pool) Do(ctx context.Context, c *Call) (*Answer, error) {
	cn, err := p.take(ctx, c)
	if err != nil {
		return nil, &CallError{Dial, c.Peer, err}
	}
	stop := context.AfterFunc(ctx, func() { cn.Close() })
	a, err := p.exchange(cn, c)
	if err != nil {
		stop()
		cn.Close()
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		return nil, &CallError{Sent, c.Peer, err}
	}
	a.stop = stop
	return a, nil
}

func (p *Pool) exchange(cn *conn, c *Call) (*Answer, error) {
	a := &Answer{pool: p, conn: cn, peer: c.Peer}
	head := appendHead(make([]byte, 0, 1024), c)
	if len(c.Body) <= maxInlineBody && c.Rest == nil {
		if _, err := cn.Write(append(head, c.Body...)); err != nil {
			return nil, err
		}
	} else {
		if _, err := cn.Write(head); err != nil {
			return nil, err
		}
		a.bodyResult = make(chan error, 1)
		go func() { a.bodyResult <- writeBody(cn, c) }()
	}
	res, err := readHead(cn.r, c)
	if err != nil {
		return nil, a.requestError(err)
	}
	a.Status, a.Header, a.Length = res.StatusCode, res.Header, res.ContentLength
	a.peerCloses = res.Close
	cn.keepAlive = parseKeepAlive(res.Header)
	a.Body = &bodyReader{a: a, r: res.Body}
	if res.ContentLength == 0 {
		a.complete = true
	}
	return a, nil
}

// RestError tells that the body of a call ended early: its sender broke off.
type RestError struct{ Err error }

func (e *RestError) Error() string { return "body: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *RestError) Unwrap() error { return e.Err }

// writeBody writes the body of a call. One that breaks off ends the connection,
// so that the peer doesn't take what it has for all.
func writeBody(cn *conn, c *Call) error {
	if c.Rest == nil {
		_, err := cn.Write(c.Body)
		return err
	}
	var w io.Writer = cn
	var chunkWriter io.WriteCloser
	if c.Length < 0 {
		chunkWriter = httputil.NewChunkedWriter(cn)
		w = chunkWriter
	}
	rest := &restReader{r: c.Rest}
	_, err := w.Write(c.Body)
	if err == nil {
		_, err = io.CopyBuffer(w, rest, make([]byte, restBufferSize))
	}
	if err != nil {
		cn.Close()
		return err
	}
	if chunkWriter == nil {
		return nil
	}
	if err := chunkWriter.Close(); err != nil {
		return err
	}
	_, err = io.WriteString(cn, "\r\n") // no trailers
	return err
}

// restReader marks errors of the body's sender.
type restReader struct{ r io.Reader }

func (r *restReader) Read(p []byte) (int, error) {
	n, err := r.r.Read(p)
	if err != nil && err != io.EOF {
		err = &RestError{err}
	}
	return n, err
}

// cause returns why no answer came: a body that broke off ended the connection.
func (a *Answer) requestError(err error) error {
	if a.bodyResult == nil {
		return err
	}
	var rest *RestError
	select {
	case writeErr := <-a.bodyResult:
		if errors.As(writeErr, &rest) {
			return rest
		}
	default:
	}
	return err
}

// readHead reads the head of the answer to a call and passes over interim
// answers and answers to earlier requests.
func readHead(r *bufio.Reader, c *Call) (*http.Response, error) {
	const maxResponses = 3
	for range maxResponses {
		res, err := http.ReadResponse(r, &http.Request{Method: c.Method})
		if err != nil {
			return nil, err
		}
		if res.StatusCode < http.StatusOK {
			continue
		}
		if c.Match == nil || c.Match(res.Header) {
			return res, nil
		}
		if res.ContentLength < 0 && len(res.TransferEncoding) == 0 {
			break
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(res.Body, 1<<20)); err != nil {
			return nil, err
		}
	}
	return nil, errWrongAnswer
}

func appendHead(b []byte, c *Call) []byte {
	b = append(b, c.Method...)
	b = append(b, ' ')
	b = append(b, c.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, c.Host...)
	b = append(b, "\r\n"...)
	for name, values := range c.Header {
		for _, v := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, v...)
			b = append(b, "\r\n"...)
		}
	}
	length := int64(len(c.Body))
	if c.Rest != nil {
		length = c.Length
	}
	switch {
	case length < 0:
		b = append(b, "Transfer-Encoding: chunked\r\n"...)
	case length > 0 || c.Method == http.MethodPost || c.Method == http.MethodPut:
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, length, 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}

// keepAlive returns how long the peer keeps an unused connection.
func parseKeepAlive(h http.Header) time.Duration {
	for _, word := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(word), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil && n > 0 {
			return time.Duration(n) * time.Second
		}
	}
	return 0
}

// take returns a kept connection that is still sound, or a new one.
func (p *Pool) take(ctx context.Context, c *Call) (*conn, error) {
	idle := durationOr(p.Idle, DefaultIdleTimeout)
	if c.Fresh > 0 {
		idle = c.Fresh
	}
	for {
		cn := p.pop(c.Peer)
		if cn == nil {
			return p.dial(ctx, c.Peer)
		}
		unused := time.Since(cn.idleSince)
		if unused < idle && (cn.keepAlive == 0 || unused < cn.keepAlive/2) && cn.isUsable() {
			return cn, nil
		}
		cn.Close()
	}
}

func (p *Pool) pop(peer netip.AddrPort) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[peer]
	if len(list) == 0 {
		return nil
	}
	cn := list[len(list)-1]
	p.idle[peer] = list[:len(list)-1]
	return cn
}

func (p *Pool) dial(ctx context.Context, peer netip.AddrPort) (*conn, error) {
	d := net.Dialer{Timeout: durationOr(p.DialTimeout, DefaultDialTimeout), KeepAlive: -1, Control: setUserTimeout}
	if p.Opened != nil {
		p.Opened()
	}
	c, err := d.DialContext(ctx, "tcp", peer.String())
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, r: bufio.NewReaderSize(c, readBufferSize)}, nil
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// A kernel without the option only makes dead connections end later.
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
	})
}

// put keeps a connection for later calls.
func (p *Pool) put(peer netip.AddrPort, cn *conn) {
	now := time.Now()
	cn.idleSince = now
	maxIdle := intOr(p.MaxIdle, DefaultMaxIdle)
	if p.Share != nil {
		maxIdle = max(min(maxIdle, p.Share(peer)), 1)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = make(map[netip.AddrPort][]*conn)
	}
	list := p.idle[peer]
	for len(list) > 0 && (len(list) >= maxIdle || now.Sub(list[0].idleSince) > durationOr(p.Idle, DefaultIdleTimeout)) {
		list[0].Close()
		list = list[1:]
	}
	p.idle[peer] = append(list, cn)
}

// Kept returns how many unused connections to an address there are.
func (p *Pool) Kept(peer netip.AddrPort) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle[peer])
}

// Drop closes the kept connections to an address: one that fell silent tells
// that the others may have too.
func (p *Pool) Drop(peer netip.AddrPort) {
	p.mu.Lock()
	list := p.idle[peer]
	delete(p.idle, peer)
	p.mu.Unlock()
	for _, cn := range list {
		cn.Close()
	}
}

// quiet tells whether a kept connection is open and holds no bytes that nobody
// asked for.
func (c *conn) isUsable() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = err == syscall.EAGAIN
		return true
	})
	return err == nil && open
}

// Whole tells whether the body was read to its end.
func (a *Answer) Whole() bool { return a.complete }

// Close keeps the connection if the exchange is complete, and closes it
// otherwise.
func (a *Answer) Close() {
	alive := a.stop == nil || a.stop()
	if alive && a.complete && !a.peerCloses && a.bodyWritten() {
		a.pool.put(a.peer, a.conn)
		return
	}
	a.conn.Close()
}

// bodyWritten tells whether the whole request has been sent. After an early
// answer it may not be; the peer would then take the next request for the rest.
func (a *Answer) bodyWritten() bool {
	if a.bodyResult == nil {
		return true
	}
	select {
	case err := <-a.bodyResult:
		return err == nil
	default:
		return false
	}
}

// bodyReader reads the body and notes its end.
type bodyReader struct {
	a *Answer
	r io.Reader
}

func (b *bodyReader) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	if err == io.EOF {
		b.a.complete = true
	} else if err != nil {
		err = &CallError{Read, b.a.peer, err}
	}
	return n, err
}

func durationOr(d, fallback time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return fallback
}

func intOr(n, fallback int) int {
	if n > 0 {
		return n
	}
	return fallback
}
