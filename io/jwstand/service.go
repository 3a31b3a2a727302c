package jwstand

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"jujubewheel/core/jwclock"
)

// Service stands in for a plain service. It answers each POST request with an
// Echo of it.
type Service struct {
	Work    time.Duration // duration of each call
	Journal Journal       // records the calls

	running atomic.Int64
}

// Echo is the answer of a Service.
type Echo struct {
	Path      string `json:"path"`
	RequestID string `json:"requestId"`
	Key       string `json:"key"`
	Body      string `json:"body"`
}

// Handler implements Program.
func (s *Service) Handler(faults func() Faults) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/metrics" {
			s.writeMetrics(w, faults().Leaving)
			return
		}
		if r.Method != http.MethodPost {
			http.Error(w, "only POST is supported", http.StatusMethodNotAllowed)
			return
		}
		body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
		if err != nil {
			return
		}
		if faults().Leaving {
			writeUnavailable(w, "leaving")
			return
		}
		run := s.Journal.startRun(r)
		s.running.Add(1)
		defer s.running.Add(-1)
		if jwclock.Sleep(r.Context(), s.Work) != nil {
			s.Journal.finishRun(run, Cancelled)
			return
		}
		s.Journal.finishRun(run, Finished)
		writeEcho(w, Echo{Path: r.URL.Path, RequestID: run.RequestID, Key: run.Key, Body: string(body)})
	})
}

// serviceSlots is the number of concurrent calls that a Service reports as its
// maximum. Nothing enforces it.
const serviceSlots = 64

// writeMetrics writes the load report in the Prometheus text format, with the
// metric names that Runner uses.
func (s *Service) writeMetrics(w http.ResponseWriter, leaving bool) {
	leavingValue := 0
	if leaving {
		leavingValue = 1
	}
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	_, _ = fmt.Fprintf(w, "# TYPE vllm:num_requests_running gauge\nvllm:num_requests_running %d\n", s.running.Load())
	_, _ = fmt.Fprintf(w, "# TYPE vllm:max_num_seqs gauge\nvllm:max_num_seqs %d\n", serviceSlots)
	_, _ = fmt.Fprintf(w, "# TYPE vllm:leaving gauge\nvllm:leaving %d\n", leavingValue)
}

// Register implements Program.
func (s *Service) Register(control *http.ServeMux) {
	s.Journal.register(control)
}

// writeEcho writes the answer as JSON.
func writeEcho(w http.ResponseWriter, echo Echo) {
	body, err := json.Marshal(echo)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body) // net/http adds a Content-Length to short answers
}

// writeUnavailable answers a call that was not run with 503 and a Retry-After
// of one second.
func writeUnavailable(w http.ResponseWriter, reason string) {
	w.Header().Set("Retry-After", "1")
	http.Error(w, reason, http.StatusServiceUnavailable)
}
