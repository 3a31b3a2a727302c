package jwrest

import (
	"context"
	"crypto/tls"
	"log"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"golang.org/x/net/netutil"

	"jujubewheel/core/jwmemory"
)

// The defaults for the fields of a Server that are zero, and the factor between
// MaxHeader and the limit that net/http enforces.
const (
	DefaultMaxHeader     = 32 << 10 // for Server.MaxHeader, in bytes
	maxHeaderFactor      = 4
	DefaultHeaderTimeout = 10 * time.Second // for Server.HeaderTimeout
	DefaultIdleTimeout   = 2 * time.Minute  // for Server.IdleTimeout
)

// Server is an HTTP server on one address. Its fields are set before Listen or
// Run.
type Server struct {
	Name      string // for logs and errors, such as "callers"
	Address   netip.AddrPort
	Handler   http.Handler
	TLS       *tls.Config // nil for plain HTTP
	MaxHeader int         // max bytes of a request's header
	// MaxConnections limits the number of connections open at once, 0 for no
	// limit; further ones wait to be accepted. Without it, many callers that
	// connect at the same time make a node hold all of their requests, and it
	// runs out of memory.
	MaxConnections int
	// Callers, if set, accounts for what the connections and requests hold. Servers may share it.
	Callers *jwmemory.Callers
	// Full, if set, answers requests that Callers has no room for, in place of an empty 503.
	Full          http.Handler
	HeaderTimeout time.Duration // longest wait for a request's header
	IdleTimeout   time.Duration // longest wait for the next request
	DrainLimit    time.Duration // longest wait for requests in flight when the server stops, 0 for no limit
	Log           logr.Logger

	mu       sync.Mutex
	listener net.Listener
	draining atomic.Bool
}

// Listen opens the listener on Address. Run calls it if it was not called before.
func (s *Server) Listen() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		return nil
	}
	l, err := net.Listen("tcp", s.Address.String())
	if err != nil {
		return errors.Wrapf(err, "listen for %s: %s", s.Name, s.Address)
	}
	if s.MaxConnections > 0 {
		l = netutil.LimitListener(l, s.MaxConnections)
	}
	if s.Callers != nil {
		l = &callerListener{l, s.Callers}
	}
	s.listener = l
	return nil
}

// Addr returns the address in use, which differs from Address if that has port 0.
// It is invalid before Listen.
func (s *Server) Addr() netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener == nil {
		return netip.AddrPort{}
	}
	tcpAddr, ok := s.listener.Addr().(*net.TCPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	a := tcpAddr.AddrPort()
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

// Drain makes each connection close after its next answer, so that callers use
// other nodes.
//
// If idle connections were closed at once, that could coincide with a request
// that was already sent: its caller would see a reset and not know whether the
// request ran.
func (s *Server) Drain() { s.draining.Store(true) }

// Run serves requests until ctx ends. Then it accepts no new connection and waits
// up to DrainLimit for the requests in flight, whose contexts don't end with ctx.
func (s *Server) Run(ctx context.Context) error {
	if err := s.Listen(); err != nil {
		return err
	}
	server := s.httpServer()
	serveErr := make(chan error, 1)
	go func() { serveErr <- s.serve(server) }()
	select {
	case err := <-serveErr:
		return errors.Wrapf(err, "serve %s: %s", s.Name, s.Address)
	case <-ctx.Done():
	}
	s.Drain()
	return s.shutdown(server)
}

func (s *Server) serve(server *http.Server) error {
	if s.TLS != nil {
		return server.ServeTLS(s.listener, "", "")
	}
	return server.Serve(s.listener)
}

// shutdown waits for the requests in flight and closes the connections of those
// that take longer than DrainLimit.
func (s *Server) shutdown(server *http.Server) error {
	ctx := context.Background()
	if s.DrainLimit > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, s.DrainLimit)
		defer cancel()
	}
	err := server.Shutdown(ctx)
	if err == nil {
		return nil
	}
	_ = server.Close()
	return errors.Wrapf(err, "drain %s: %s", s.Name, s.Address)
}

func (s *Server) httpServer() *http.Server {
	return &http.Server{
		Handler:   s.account(s.closeWhenDraining(s.Handler)),
		TLSConfig: s.TLS,
		// The limit of net/http is above MaxHeader, because its answer has no
		// outcome: handlers reject headers larger than MaxHeader, and net/http
		// only those that are far larger.
		MaxHeaderBytes:    maxHeaderFactor * intOr(s.MaxHeader, DefaultMaxHeader),
		ReadHeaderTimeout: durationOr(s.HeaderTimeout, DefaultHeaderTimeout),
		IdleTimeout:       durationOr(s.IdleTimeout, DefaultIdleTimeout),
		ConnContext:       func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
		ErrorLog:          log.New(logWriter{s.Log.WithValues("server", s.Name)}, "", 0),
	}
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// Conn returns the connection on which a request came, nil if its context isn't that of a Server.
func Conn(ctx context.Context) net.Conn {
	c, _ := ctx.Value(connKey{}).(net.Conn)
	return c
}

// closeWhenDraining makes each answer close its connection while the server
// drains.
func (s *Server) closeWhenDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// logWriter logs the lines of net/http at verbosity 1. They report broken
// connections and failed TLS handshakes, and are useful only when such a problem
// is investigated.
type logWriter struct{ log logr.Logger }

func (l logWriter) Write(line []byte) (int, error) {
	l.log.V(1).Info("HTTP server error", "detail", string(line))
	return len(line), nil
}

func intOr(n, fallback int) int {
	if n > 0 {
		return n
	}
	return fallback
}

func durationOr(d, fallback time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return fallback
}
