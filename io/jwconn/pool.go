package jwconn

import (
	"bufio"
	"context"
	"hash/maphash"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"jujubewheel/core/jwmemory"
)

// The defaults for the fields of a Pool that are zero.
const (
	DefaultDialTimeout = 700 * time.Millisecond // for Pool.DialTimeout
	DefaultIdleTimeout = 8 * time.Second        // for Pool.IdleTimeout
	DefaultMaxIdle     = 32                     // for Pool.MaxIdle
)

const (
	readBufferSize = 2 << 10 // small, because hundreds of streams of small events are open at once
	// maxInlineBody is the maximum length of a body that is written before the
	// answer is read. A longer one is written concurrently, because a target may
	// answer before it has read the body.
	maxInlineBody = 8 << 10
)

// Stage is the stage at which a call failed.
type Stage string

// The stages at which a call can fail.
const (
	StageDial Stage = "dial" // not connected: nothing was sent
	StageHeld Stage = "held" // connected, but held back by Call.BeforeWrite: nothing was sent
	StageSent Stage = "sent" // the request was sent, at least in part, and no answer was read
	StageRead Stage = "read" // the head of the answer was read, but its body is incomplete
)

// CallError is the error of a failed call. The peer may have acted on the call
// unless Stage is StageDial or StageHeld.
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

// errWrongAnswer is the cause if the answers on a connection belong to other
// requests.
var errWrongAnswer = errors.New("the answer is to another request")

// Pool makes calls and keeps their connections by address. Its fields are set
// before use.
type Pool struct {
	DialTimeout time.Duration // longest time to open a connection
	IdleTimeout time.Duration // longest time for which an unused connection is kept
	MaxIdle     int           // max number of unused connections kept to one address
	// MaxIdlePerPeer, if set, is a further limit on the number of unused connections kept
	// to an address: a target accepts a limited number from all nodes together.
	// At least one is kept.
	MaxIdlePerPeer func(netip.AddrPort) int
	OnDial         func() // called before each attempt to open a connection, if set
	// OnPeerClose, if set, is called when an unused connection to an address turns out to have been
	// closed by the peer. It must not block.
	OnPeerClose func(netip.AddrPort)
	// OnWrongAnswer, if set, is called when an answer to another call than the one in progress was read.
	OnWrongAnswer func(netip.AddrPort)
	// Dial, if set, opens the connections instead of a net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Incoming, if set, limits what is held of all answers together. Pools may share it.
	Incoming *jwmemory.Incoming

	lastSerial atomic.Uint64 // Serial of the connection opened last

	mu   sync.Mutex
	idle map[netip.AddrPort][]*conn
}

// ConnUse identifies a call among those made over a connection.
type ConnUse struct {
	Serial uint64 // of the connection, counted from 1 in its pool
	Calls  int    // calls that it has carried, with this one
}

// conn is a connection with its read buffer.
type conn struct {
	net.Conn
	r         *bufio.Reader
	head      *headLimiter  // what r reads from
	idleSince time.Time     // when it was last returned to the pool
	keepAlive time.Duration // how long the peer keeps it unused according to its last answer, 0 if unknown
	use       ConnUse
	carried   []uint32 // hashes of the IDs that it has carried
}

// maxCarried is the number of IDs after which a connection is closed, as it remembers no more.
const maxCarried = 512

var idSeed = maphash.MakeSeed()

func hashID(id string) uint32 { return uint32(maphash.String(idSeed, id)) }

// hasCarried reports whether the connection has carried a call with an ID. It may be wrong if it has not.
func (c *conn) hasCarried(id string) bool {
	return id != "" && slices.Contains(c.carried, hashID(id))
}

func (c *conn) recordCall(id string) {
	c.use.Calls++
	if id != "" {
		c.carried = append(c.carried, hashID(id))
	}
}

// Call is one request to a peer.
type Call struct {
	Peer   netip.AddrPort
	Method string
	Target string // path and query as they stand in the request line
	Host   string
	Header http.Header
	Body   []byte
	// Rest, if set, is the part of the body after Body. It is read as fast as the
	// peer reads it, and a call whose Rest was read in part can't be retried. Its Close must make
	// a Read that waits return. It is not read any more once Do has failed or Answer.Close has
	// returned. Length is the length of Body and Rest together, -1 if it isn't known; it is
	// used only with Rest.
	Rest   io.ReadCloser
	Length int64
	// ID is the request's identifier if its answer repeats it, "" otherwise. A call with an ID isn't made
	// over a connection that has carried the ID before: a peer may send an answer twice, and the
	// copy of an earlier answer to the same request would pass for the one that is due.
	ID string
	// Match reports whether a header belongs to the answer to this call, and not
	// to an earlier call on the connection; nil accepts any.
	Match func(http.Header) bool
	// MaxUnused is the longest time for which a connection may have been unused to
	// be chosen for this call; 0 means the pool's IdleTimeout. A short time is meant for
	// calls that must not be sent twice: if the peer closes the connection at the
	// moment of sending, it is unknown whether the call ran.
	MaxUnused time.Duration
	// NewConn opens a connection for this call, for peers whose kept connections may be lost.
	NewConn bool
	// MaxWriteTime, if set, is how long sending the call may take for its connection to be
	// used again: a peer that reads slowly would hold the next call back too.
	MaxWriteTime time.Duration
	// BeforeWrite, if set, is called once a connection is open, right before the request is
	// written. If it returns an error, the call ends at StageHeld.
	BeforeWrite func() error
	// OnGiveUp, if set, is called if the answer is given up because the process may hold no more,
	// by any goroutine.
	OnGiveUp func()
	// AfterWrite, if set, is called once the request was written, up to its body if that is long, or
	// once writing it failed.
	AfterWrite func()
}

// Framing is what ends the body of an answer.
type Framing string

// The framings of an answer.
const (
	FramedByLength     Framing = "length" // also an answer without a body
	FramedByChunks     Framing = "chunks"
	FramedByConnection Framing = "connection" // ends when the peer closes its connection, also if it broke off
)

// Answer is the head of an answer and a reader of its body. Close must be called.
type Answer struct {
	Status  int
	Header  http.Header
	Length  int64 // -1 if not known
	Framing Framing
	Body    io.Reader

	pool       *Pool
	conn       *conn
	peer       netip.AddrPort
	complete   bool        // the body was read to its end
	peerCloses bool        // the peer closes the connection after this answer
	unusable   atomic.Bool // the connection must not be used again
	writer     *bodyWriter // nil if the body of the call was written before the answer was read
	stop       func() bool // ends the watch on the context; false if the connection was closed
	holding    *jwmemory.Holding
}

// Do sends the call and reads the head of its answer. If ctx ends, the connection
// is closed, also while the body is being read. Errors are of type *CallError.
func (p *Pool) Do(ctx context.Context, c *Call) (*Answer, error) {
	cn, err := p.take(ctx, c)
	if err != nil {
		return nil, &CallError{StageDial, c.Peer, err}
	}
	if c.BeforeWrite != nil {
		if err := c.BeforeWrite(); err != nil {
			p.put(c.Peer, cn)
			return nil, &CallError{StageHeld, c.Peer, err}
		}
	}
	stop := context.AfterFunc(ctx, func() { cn.Close() })
	a, err := p.exchange(cn, c)
	if err != nil {
		stop()
		cn.Close()
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		return nil, &CallError{StageSent, c.Peer, err}
	}
	a.stop = stop
	return a, nil
}

func (p *Pool) exchange(cn *conn, c *Call) (*Answer, error) {
	a := &Answer{pool: p, conn: cn, peer: c.Peer}
	a.holding = p.Incoming.Hold(c.Peer, func() { a.giveUp(c) })
	cn.head.begin(a.holding)
	cn.recordCall(c.ID)
	head := appendHead(make([]byte, 0, 1024), c)
	start := time.Time{}
	if c.MaxWriteTime > 0 {
		start = time.Now()
	}
	if len(c.Body) <= maxInlineBody && c.Rest == nil {
		if err := c.write(cn, append(head, c.Body...)); err != nil {
			return nil, err
		}
		a.unusable.Store(c.MaxWriteTime > 0 && time.Since(start) > c.MaxWriteTime)
	} else {
		if err := c.write(cn, head); err != nil {
			return nil, err
		}
		a.writer = &bodyWriter{conn: cn, call: c, start: start, done: make(chan struct{})}
		go a.writer.run()
	}
	res, err := p.readHead(cn, c)
	if err != nil {
		if !a.holding.Release() {
			err = ErrNoMemory
		}
		cn.Close()
		return nil, a.requestError(err)
	}
	a.Status, a.Header, a.Length = res.StatusCode, res.Header, res.ContentLength
	a.Framing = framingOf(res)
	a.peerCloses = res.Close
	cn.keepAlive = parseKeepAlive(res.Header)
	a.Body = &bodyReader{a: a, r: res.Body}
	if res.ContentLength == 0 {
		a.complete = true
	}
	return a, nil
}

// write writes the beginning of the request.
func (c *Call) write(cn *conn, b []byte) error {
	_, err := cn.Write(b)
	if c.AfterWrite != nil {
		c.AfterWrite()
	}
	return err
}

func framingOf(res *http.Response) Framing {
	switch {
	case len(res.TransferEncoding) > 0:
		return FramedByChunks
	case res.ContentLength >= 0 || res.Body == http.NoBody:
		return FramedByLength
	}
	return FramedByConnection
}

// requestError ends the writing of the body and returns the reason why no answer was read: the
// BodyReadError if reading the body failed, because that closed the connection, and err otherwise.
func (a *Answer) requestError(err error) error {
	var rest *BodyReadError
	if errors.As(a.endBody(), &rest) {
		return rest
	}
	return err
}

// readHead reads the head of the answer to a call. It skips informational
// responses (1xx) and answers to earlier requests, but reads maxResponses heads
// at most.
func (p *Pool) readHead(c *conn, call *Call) (*http.Response, error) {
	const maxResponses = 3
	const maxSkipped = 1 << 20 // of the body of an answer to another request
	defer func() { c.head.limited = false }()
	for range maxResponses {
		c.head.limited = true
		res, err := http.ReadResponse(c.r, &http.Request{Method: call.Method})
		if err != nil {
			return nil, err
		}
		if res.StatusCode < http.StatusOK {
			continue
		}
		if call.Match == nil || call.Match(res.Header) {
			return res, nil
		}
		if p.OnWrongAnswer != nil {
			p.OnWrongAnswer(call.Peer)
		}
		if framingOf(res) == FramedByConnection {
			break
		}
		c.head.limited = false
		if _, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxSkipped)); err != nil {
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

// parseKeepAlive returns how long the peer keeps an unused connection according
// to its Keep-Alive header, 0 if unknown.
func parseKeepAlive(h http.Header) time.Duration {
	for _, param := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(param), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil && n > 0 {
			return time.Duration(n) * time.Second
		}
	}
	return 0
}

// take returns a kept connection that is still usable, or a new one. A connection
// is not used again after half of the time for which the peer keeps it.
func (p *Pool) take(ctx context.Context, c *Call) (*conn, error) {
	idle := durationOr(p.IdleTimeout, DefaultIdleTimeout)
	if c.MaxUnused > 0 {
		idle = c.MaxUnused
	}
	for {
		var cn *conn
		if !c.NewConn {
			cn = p.pop(c.Peer, c.ID)
		}
		if cn == nil {
			return p.dial(ctx, c.Peer)
		}
		unused := time.Since(cn.idleSince)
		if unused < idle && (cn.keepAlive == 0 || unused < cn.keepAlive/2) {
			if cn.isUsable() {
				return cn, nil
			}
			if p.OnPeerClose != nil && cn.state() == ConnClosed {
				p.OnPeerClose(c.Peer)
			}
		}
		cn.Close()
	}
}

// pop returns the connection used last among those kept that have not carried an ID, nil if there is none.
func (p *Pool) pop(peer netip.AddrPort, id string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[peer]
	for i := len(list) - 1; i >= 0; i-- {
		if cn := list[i]; !cn.hasCarried(id) {
			p.idle[peer] = slices.Delete(list, i, i+1)
			return cn
		}
	}
	return nil
}

func (p *Pool) dial(ctx context.Context, peer netip.AddrPort) (*conn, error) {
	d := net.Dialer{Timeout: durationOr(p.DialTimeout, DefaultDialTimeout), KeepAlive: -1, Control: controlUserTimeout}
	if p.OnDial != nil {
		p.OnDial()
	}
	dial := p.Dial
	if dial == nil {
		dial = d.DialContext
	}
	c, err := dial(ctx, "tcp", peer.String())
	if err != nil {
		return nil, err
	}
	cn := newConn(c)
	cn.use.Serial = p.lastSerial.Add(1)
	return cn, nil
}

func newConn(c net.Conn) *conn {
	head := &headLimiter{r: c}
	return &conn{Conn: c, r: bufio.NewReaderSize(head, readBufferSize), head: head}
}

// put keeps a connection for later calls. It closes the ones unused longest where
// there are too many, and those unused for longer than IdleTimeout.
func (p *Pool) put(peer netip.AddrPort, cn *conn) {
	if len(cn.carried) >= maxCarried {
		cn.Close()
		return
	}
	now := time.Now()
	cn.idleSince = now
	maxIdle := intOr(p.MaxIdle, DefaultMaxIdle)
	if p.MaxIdlePerPeer != nil {
		maxIdle = max(min(maxIdle, p.MaxIdlePerPeer(peer)), 1)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = make(map[netip.AddrPort][]*conn)
	}
	list := p.idle[peer]
	for len(list) > 0 && (len(list) >= maxIdle || now.Sub(list[0].idleSince) > durationOr(p.IdleTimeout, DefaultIdleTimeout)) {
		list[0].Close()
		list = list[1:]
	}
	p.idle[peer] = append(list, cn)
}

// IdleCount returns the number of unused connections kept to an address.
func (p *Pool) IdleCount(peer netip.AddrPort) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle[peer])
}

// CloseIdle closes the unused connections kept to an address. It is called when one
// connection stopped responding, because the others may have too.
func (p *Pool) CloseIdle(peer netip.AddrPort) {
	p.mu.Lock()
	list := p.idle[peer]
	delete(p.idle, peer)
	p.mu.Unlock()
	for _, cn := range list {
		cn.Close()
	}
}

// isUsable reports whether a kept connection is open and no bytes have arrived
// on it since the last answer.
func (c *conn) isUsable() bool { return c.state() == ConnOpen }

// state returns the state of a kept connection.
func (c *conn) state() ConnState {
	if c.r.Buffered() > 0 {
		return ConnDirty
	}
	return StateOf(c.Conn)
}

// ConnUse returns which call over which connection of the pool was answered.
func (a *Answer) ConnUse() ConnUse { return a.conn.use }

// Complete reports whether the body was read to its end.
func (a *Answer) Complete() bool { return a.complete }

// Close ends the writing of the body, if that goes on. It returns the connection to the pool if the
// request was sent and the answer read completely, and closes it otherwise.
func (a *Answer) Close() {
	if !a.holding.Release() {
		a.unusable.Store(true)
	}
	alive := a.stop == nil || a.stop()
	// If the peer answered before it has read the whole body, it would read the next request on the
	// connection as the remainder of that body.
	if alive && a.complete && !a.peerCloses && !a.unusable.Load() && a.endBody() == nil {
		a.conn.head.begin(nil) // or else the connection would keep the call in memory
		a.pool.put(a.peer, a.conn)
		return
	}
	a.conn.Close()
	_ = a.endBody()
}

// endBody ends the writing of the body of the call and returns why it was not sent completely.
func (a *Answer) endBody() error {
	if a.writer == nil {
		return nil
	}
	return a.writer.stop()
}

// Abort closes the connection, so that a read of the body in progress fails. Close must still be
// called, after that read has returned.
func (a *Answer) Abort() {
	a.unusable.Store(true)
	a.conn.Close()
}

// Hold accounts for n bytes that the caller holds of the answer's body, in place of those that it held
// before. It returns false if the process may not hold them; the answer is given up then.
func (a *Answer) Hold(n int64) bool { return a.holding.Set(a.headBytes() + n) }

// TryHold is like Hold, but if the process may not hold n bytes it changes nothing.
func (a *Answer) TryHold(n int64) bool { return a.holding.TrySet(a.headBytes() + n) }

// headBytes returns the number of bytes accounted for the head. An answer that no pool has read has none.
func (a *Answer) headBytes() int64 {
	if a.conn == nil {
		return 0
	}
	return a.conn.head.held
}

// giveUp ends an answer that the process may not hold.
func (a *Answer) giveUp(c *Call) {
	a.Abort()
	if c.OnGiveUp != nil {
		c.OnGiveUp()
	}
}

// GivenUp reports whether the answer was given up because the process may hold no more.
func (a *Answer) GivenUp() bool { return a.holding.Lost() }

// BodyError returns why the body of the call was not sent completely, ErrBodyUnfinished while it is
// still being written.
func (a *Answer) BodyError() error {
	if a.writer == nil {
		return nil
	}
	return a.writer.result()
}

// bodyReader reads the body of an answer and sets Answer.complete at its end. Its
// errors other than io.EOF are of type *CallError.
type bodyReader struct {
	a *Answer
	r io.Reader
}

func (b *bodyReader) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	if err == io.EOF && b.a.Framing == FramedByConnection && b.a.writer != nil {
		if lost := b.a.writer.connError(); lost != nil {
			err = lost
		}
	}
	if err == io.EOF {
		b.a.complete = true
	} else if err != nil {
		if b.a.GivenUp() {
			err = ErrNoMemory
		}
		err = &CallError{StageRead, b.a.peer, err}
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
