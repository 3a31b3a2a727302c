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
)

// The limits a Server uses where its own fields are zero.
const (
	DefaultMaxHeader     = 32 << 10
	maxHeaderFactor      = 4
	DefaultHeaderTimeout = 10 * time.Second
	DefaultIdleTimeout   = 2 * time.Minute
)

// Server answers HTTP on one address; set its fields before Listen or Run.
type Server struct {
	Name      string // for logs and errors, such as "callers"
	Address   netip.AddrPort
	Handler   http.Handler
	TLS       *tls.Config // nil for plain HTTP
	MaxHeader int         // bytes of a request's header
	// MaxConnections bounds the connections open at once, 0 for no bound;
	// further ones wait to be taken. Without it callers who all come at once
	// make a node hold each of their requests, and it runs out of memory.
	MaxConnections int
	HeaderTimeout  time.Duration // longest wait for a request's header
	IdleTimeout    time.Duration // longest wait for the next request
	DrainLimit     time.Duration // longest wait for requests in flight at the end, 0 for no limit
	Log            logr.Logger

	mu       sync.Mutex
	listener net.Listener
	draining atomic.Bool
}

// Listen opens the address; Run does so too if it was not called.
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
	s.listener = l
	return nil
}

// Addr returns the address in use, which differs from Address when that has
// port 0; it is invalid before Listen.
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

// Drain makes each connection close after its next answer, so that callers
// move elsewhere.
//
// Closing idle connections at once instead would race with a request that is
// already on its way: its caller would see a reset and not know whether it ran.
func (s *Server) Drain() { s.draining.Store(true) }

// Run answers requests until ctx ends, then takes no new connection and lets
// the requests in flight finish; they keep their own contexts.
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

// shutdown waits for requests in flight and cuts those that outlast the limit.
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
		Handler:   s.closeWhenDraining(s.Handler),
		TLSConfig: s.TLS,
		// The library's own refusal has no outcome, so it is the last resort:
		// handlers refuse what is above MaxHeader.
		MaxHeaderBytes:    maxHeaderFactor * intOr(s.MaxHeader, DefaultMaxHeader),
		ReadHeaderTimeout: durationOr(s.HeaderTimeout, DefaultHeaderTimeout),
		IdleTimeout:       durationOr(s.IdleTimeout, DefaultIdleTimeout),
		ErrorLog:          log.New(logWriter{s.Log.WithValues("server", s.Name)}, "", 0),
	}
}

// closing asks the caller to open a new connection while the server drains.
func (s *Server) closeWhenDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// logWriter takes the lines of net/http, which tell of broken connections and
// failed TLS handshakes: of use when looking into one, noise otherwise.
type logWriter struct{ log logr.Logger }

func (l logWriter) Write(line []byte) (int, error) {
	l.log.V(1).Info("connection", "detail", string(line))
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
