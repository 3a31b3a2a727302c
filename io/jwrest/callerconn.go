package jwrest

import (
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"jujubewheel/core/jwmemory"
)

const (
	// connMemory is what an open connection takes: its goroutine and its buffers.
	connMemory = 8 << 10
	// requestMemory is what an incomplete request takes beside its head and body: stacks and buffers. One that has come
	// completely is served, however many there are, unless its head or body is large.
	requestMemory = 32 << 10
	// headGrowth is how many bytes a byte of a head that is being read takes at most, in a head of very short fields.
	headGrowth = 16
	// fieldMemory is what a field of a head takes beside its text.
	fieldMemory = 64
	// maxBodyMemory is what a long body takes at most: its buffered beginning, and what is read ahead of the rest.
	maxBodyMemory = 96 << 10
	// bodyStep is by how much a body of unknown length must grow to be accounted for again.
	bodyStep = 4 << 10
	// maxRoomWait is how long a connection waits for room until those that were given up have ended.
	maxRoomWait = time.Second
	// answerTimeout is how long the caller of an answer without another limit may take to read it.
	answerTimeout = 30 * time.Second
)

// ErrNoRoom is the error of reading a body that the process can't hold.
var ErrNoRoom = errors.New("the process can't hold the body")

// callerListener accounts for the connections that it accepts.
type callerListener struct {
	net.Listener
	callers *jwmemory.Callers
}

// Accept implements net.Listener. It closes connections that the process can't hold.
func (l *callerListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := c.(*net.TCPConn)
		if !ok {
			return c, nil
		}
		cc := &callerConn{TCPConn: tcp, phase: jwmemory.Idle}
		if awaitRoom(func() (r jwmemory.Room, released <-chan struct{}) {
			cc.caller, r, released = l.callers.Open(time.Now(), connMemory, cc.reset)
			return r, released
		}) {
			return cc, nil
		}
		cc.reset()
	}
}

// awaitRoom asks for room until it is granted or rejected. It returns false if it isn't granted within maxRoomWait.
func awaitRoom(ask func() (jwmemory.Room, <-chan struct{})) bool {
	var expired <-chan time.Time
	for {
		r, released := ask()
		if r != jwmemory.Freeing {
			return r == jwmemory.Granted
		}
		if expired == nil {
			t := time.NewTimer(maxRoomWait)
			defer t.Stop()
			expired = t.C
		}
		select {
		case <-released:
		case <-expired:
			return false
		}
	}
}

// callerConn is a connection that is accounted for.
type callerConn struct {
	*net.TCPConn
	caller   *jwmemory.Caller
	wasReset atomic.Bool

	mu       sync.Mutex
	handling bool           // a handler has the request
	phase    jwmemory.Phase // to return to after a write
	head     int64          // bytes read of the head, while there is no handler
	request  int64          // bytes held for the request
	header   int64          // of these, for its head; also after its handler if the body has not come completely
}

// reset closes the connection and discards what it has not sent. It doesn't wait for reads and writes in progress, as
// closing does.
func (c *callerConn) reset() {
	c.wasReset.Store(true)
	_ = c.SetLinger(0)
	go func() { _ = c.TCPConn.Close() }()
}

// hold sets the phase of the connection and what it holds. It returns false if the process can't hold that.
func (c *callerConn) hold(p jwmemory.Phase, bytes int64) bool {
	return awaitRoom(func() (jwmemory.Room, <-chan struct{}) { return c.caller.Set(time.Now(), p, bytes) })
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	defer c.caller.Close()
	return c.TCPConn.Close()
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n == 0 || c.handling {
		return n, err
	}
	c.head += int64(n)
	if !c.hold(jwmemory.Receiving, connMemory+c.request+headGrowth*c.head) {
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn.
func (c *callerConn) Write(p []byte) (int, error) {
	c.caller.Enter(time.Now(), jwmemory.Writing)
	n, err := c.TCPConn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.caller.Enter(time.Now(), c.phase)
	return n, err
}

// ReadFrom implements io.ReaderFrom by Write.
func (c *callerConn) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}

// begin accounts for a request that a handler gets. It returns false if the process can't hold it.
func (c *callerConn) begin(r *http.Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handling, c.head, c.phase = true, 0, jwmemory.Serving
	c.header = headMemory(r.Header)
	c.request = c.header
	if r.ContentLength != 0 {
		b := &callerBody{ReadCloser: r.Body, conn: c, held: min(max(r.ContentLength, 0), maxBodyMemory)}
		r.Body = b
		c.phase = jwmemory.Receiving
		c.request += requestMemory + b.held
	}
	return c.hold(c.phase, connMemory+c.request)
}

// end accounts for the end of a handler. net/http reads the rest of a body before it lets go of the request, and keeps a
// connection that was reset for a while.
func (c *callerConn) end(r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handling = false
	if c.wasReset.Load() {
		r.Header, r.Body = nil, http.NoBody
		c.caller.Close()
		return
	}
	if c.request = c.header; c.phase != jwmemory.Receiving {
		c.request = 0
	}
	c.phase = jwmemory.Idle
	c.hold(c.phase, connMemory+c.request)
}

// headMemory returns what a head takes.
func headMemory(h http.Header) int64 {
	n := 0
	for name, values := range h {
		n += fieldMemory + 2*len(name)
		for _, v := range values {
			n += fieldMemory + 2*len(v)
		}
	}
	return int64(n)
}

// callerBody is the body of a request that is accounted for.
type callerBody struct {
	io.ReadCloser
	conn *callerConn
	read int64
	held int64 // what is accounted for the body
}

// Read implements io.Reader.
func (b *callerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.read += int64(n)
	c := b.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == io.EOF {
		b.end()
		return n, err
	}
	if holds := min(2*b.read, maxBodyMemory); holds > b.held+bodyStep {
		c.request += holds - b.held
		b.held = holds
		if !c.hold(c.phase, connMemory+c.request) {
			return n, ErrNoRoom
		}
	}
	return n, err
}

// end accounts for the end of the body, with conn.mu locked.
func (b *callerBody) end() {
	c := b.conn
	if c.phase == jwmemory.Receiving {
		c.phase = jwmemory.Serving
		c.request -= requestMemory
		c.hold(c.phase, connMemory+c.request)
	}
}

// account accounts for what requests hold. It has those rejected that the process can't hold.
func (s *Server) account(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := Conn(r.Context()).(*callerConn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(answerTimeout))
		defer c.end(r)
		if c.begin(r) {
			next.ServeHTTP(w, r)
			return
		}
		w.Header().Set("Connection", "close")
		if s.Full != nil {
			s.Full.ServeHTTP(w, r)
			return
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	})
}
