package jwstand

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"jujubewheel/core/jwclock"
)

const (
	crashExitCode    = 3                     // exit code of a process that a Faults.CrashOn text ended
	reopenRetryDelay = 10 * time.Millisecond // pause before a busy port is opened again
	maxBody          = 64 << 20              // bytes of a request body
	headerTimeout    = 10 * time.Second      // for reading the header of a request
)

// Program implements one kind of stand-in.
type Program interface {
	// Handler returns the handler of the service port; faults returns the faults
	// that are set at the time of the call.
	Handler(faults func() Faults) http.Handler
	// Register adds the program's own endpoints to the control port.
	Register(control *http.ServeMux)
}

// StandIn serves one Program on a port of its own and accepts faults on a control
// port.
type StandIn struct {
	Kind    string         // kind of stand-in, printed in the Ready line
	Address netip.AddrPort // service port; if zero, or with port 0, Listen picks a free loopback port
	Control netip.AddrPort // control port; chosen as Address is
	Program Program        // answers the calls
	Exit    func(code int) // ends the process on a crash; nil means os.Exit

	mu       sync.Mutex
	faults   Faults
	changed  chan struct{} // closed at the next change of faults
	conns    connSet       // open connections of the service port
	listener net.Listener  // of the service port; nil during an outage
	control  net.Listener
}

// Ready is the line that a stand-in's process prints once it listens.
type Ready struct {
	Kind    string           `json:"kind"`
	Address netip.AddrPort   `json:"address,omitzero"`
	Control netip.AddrPort   `json:"control"`
	Links   []netip.AddrPort `json:"links,omitempty"`
}

// Listen opens both ports and stores their actual addresses in Address and
// Control.
func (s *StandIn) Listen() error {
	listener, err := listen(s.Address)
	if err != nil {
		return errors.Wrapf(err, "listen: %s", s.Address)
	}
	control, err := listen(s.Control)
	if err != nil {
		_ = listener.Close()
		return errors.Wrapf(err, "listen for control: %s", s.Control)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener, s.control = listener, control
	s.Address, s.Control = addressOf(listener), addressOf(control)
	s.changed = make(chan struct{})
	return nil
}

// listen opens a TCP address. For a zero address it picks a free loopback port.
func listen(address netip.AddrPort) (net.Listener, error) {
	if !address.IsValid() {
		address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)
	}
	return net.Listen("tcp", address.String())
}

// addressOf returns the actual address of a TCP listener.
func addressOf(l net.Listener) netip.AddrPort {
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// Ready returns the addresses on which the stand-in listens.
func (s *StandIn) Ready() Ready {
	return Ready{Kind: s.Kind, Address: s.Address, Control: s.Control}
}

// Start listens and runs the stand-in in the background. The function stop ends
// it and returns the result of Run.
func (s *StandIn) Start() (stop func() error, err error) {
	if err := s.Listen(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	return func() error {
		cancel()
		return <-done
	}, nil
}

// Run serves until the context ends. It calls Listen first if that was not
// done.
func (s *StandIn) Run(ctx context.Context) error {
	if s.control == nil {
		if err := s.Listen(); err != nil {
			return err
		}
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /faults", s.getFaults)
	mux.HandleFunc("PUT /faults", s.putFaults)
	s.Program.Register(mux)
	control := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	service := &http.Server{Handler: s.withFaults(s.Program.Handler(s.Faults)), ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() {
		_ = control.Close()
		_ = service.Close()
		s.conns.reset()
	})
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() { s.serve(ctx, service) })
	err := control.Serve(s.control)
	wg.Wait()
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrapf(err, "serve control: %s", s.Control)
}

// serve answers calls until the context ends. During an outage it waits, and
// then opens the port again.
func (s *StandIn) serve(ctx context.Context, service *http.Server) {
	for ctx.Err() == nil {
		s.mu.Lock()
		listener, changed := s.listener, s.changed
		down := s.faults.Down
		s.mu.Unlock()
		if listener != nil {
			_ = service.Serve(&trackedListener{Listener: listener, conns: &s.conns}) // returns on an outage or on shutdown
			s.mu.Lock()
			s.listener = nil
			s.mu.Unlock()
			continue
		}
		if down {
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		s.reopen(ctx)
	}
}

// reopen listens again after an outage. If the port is still busy, it pauses
// and returns, and the caller tries again.
func (s *StandIn) reopen(ctx context.Context) {
	listener, err := listen(s.Address)
	if err != nil {
		_ = jwclock.Sleep(ctx, reopenRetryDelay)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		_ = listener.Close()
		return
	}
	s.listener = listener
}

// Faults returns the faults that are set.
func (s *StandIn) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces the faults; they apply from now on.
func (s *StandIn) SetFaults(f Faults) {
	s.mu.Lock()
	s.faults = f
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
	listener := s.listener
	s.mu.Unlock()
	s.conns.pause(f.Pause)
	if f.Silent {
		s.conns.silence()
	}
	if f.Down {
		if listener != nil {
			_ = listener.Close()
		}
		s.conns.reset()
	}
}

func (s *StandIn) getFaults(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Faults())
}

func (s *StandIn) putFaults(w http.ResponseWriter, r *http.Request) {
	f := s.Faults()
	f.Silent = false
	if !readJSON(w, r, &f) {
		return
	}
	s.SetFaults(f)
	writeJSON(w, http.StatusOK, f)
}

// withFaults applies the faults that affect whole calls: Slow, CrashOn and
// LoseReply.
func (s *StandIn) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f := s.Faults()
		if err := jwclock.Sleep(r.Context(), time.Duration(f.Slow)); err != nil {
			return
		}
		if r.Method == http.MethodGet {
			next.ServeHTTP(w, r)
			return
		}
		if f.CrashOn != "" && s.bodyContains(r, f.CrashOn) {
			s.crash()
			panic(http.ErrAbortHandler)
		}
		if !s.takeLostReply() {
			next.ServeHTTP(w, r)
			return
		}
		next.ServeHTTP(&discardWriter{header: make(http.Header)}, r)
		panic(http.ErrAbortHandler) // the server closes the connection without an answer
	})
}

// bodyContains reports whether the request body contains the marker. The body
// can still be read afterwards.
func (s *StandIn) bodyContains(r *http.Request, marker string) bool {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return false
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	return bytes.Contains(body, []byte(marker))
}

// crash ends the process, or calls Exit if it is set.
func (s *StandIn) crash() {
	if s.Exit != nil {
		s.Exit(crashExitCode)
		return
	}
	os.Exit(crashExitCode)
}

// takeLostReply reports whether the reply to this call is to be lost, and
// counts it.
func (s *StandIn) takeLostReply() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseReply == 0 {
		return false
	}
	s.faults.LoseReply--
	return true
}

// discardWriter is a ResponseWriter that discards the answer.
type discardWriter struct {
	header http.Header
}

// Header implements http.ResponseWriter.
func (w *discardWriter) Header() http.Header { return w.header }

// Write implements http.ResponseWriter.
func (w *discardWriter) Write(b []byte) (int, error) { return len(b), nil }

// WriteHeader implements http.ResponseWriter.
func (w *discardWriter) WriteHeader(int) {}

// Flush implements http.Flusher.
func (w *discardWriter) Flush() {}
