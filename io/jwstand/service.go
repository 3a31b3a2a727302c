package jwstand

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"jujubewheel/core/jwclock"
)

// Service stands in for a plain service: each POST answers with what came.
type Service struct {
	Work    time.Duration // how long each call runs
	Journal Journal
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
		if r.Method != http.MethodPost {
			http.Error(w, "only POST is known here", http.StatusMethodNotAllowed)
			return
		}
		body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
		if err != nil {
			return
		}
		if faults().Leave {
			refuse(w, "leaving")
			return
		}
		run := s.Journal.begin(r)
		if jwclock.Sleep(r.Context(), s.Work) != nil {
			s.Journal.end(run, Cancelled)
			return
		}
		s.Journal.end(run, Finished)
		answerEcho(w, Echo{Path: r.URL.Path, RequestID: run.RequestID, Key: run.Key, Body: string(body)})
	})
}

// Register implements Program.
func (s *Service) Register(control *http.ServeMux) {
	s.Journal.register(control)
}

func answerEcho(w http.ResponseWriter, echo Echo) {
	body, err := json.Marshal(echo)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body) // short answers get a Content-Length from net/http
}

// refuse answers a call that was not run.
func refuse(w http.ResponseWriter, reason string) {
	w.Header().Set("Retry-After", "1")
	http.Error(w, reason, http.StatusServiceUnavailable)
}
