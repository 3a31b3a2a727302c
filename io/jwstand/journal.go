package jwstand

import (
	"net/http"
	"sync"
	"time"
)

// maxRuns is the maximum length of a Journal; the oldest runs are dropped
// first.
const maxRuns = 200_000

// Run is one request that a target started to run.
type Run struct {
	RequestID string    `json:"requestId"`           // from the Jujube-Request-Id header
	Key       string    `json:"key,omitempty"`       // idempotency key; empty without one
	Workspace string    `json:"workspace,omitempty"` // from the Jujube-Workspace header
	Path      string    `json:"path"`
	Began     time.Time `json:"began"`             // time at which the run started
	Resumed   bool      `json:"resumed,omitempty"` // the request resumed a stream that broke off
	State     RunState  `json:"state"`
}

// RunState is the state of a run.
type RunState string

// The states of a run.
const (
	Running   RunState = "running"   // started and not ended yet
	Finished  RunState = "finished"  // ran to its end
	Cancelled RunState = "cancelled" // stopped before its end, such as when the caller disconnects
)

// Journal records what a target ran, so that a test can count the runs.
type Journal struct {
	mu   sync.Mutex
	runs []*Run
}

// startRun adds a run for the request.
func (j *Journal) startRun(r *http.Request) *Run {
	run := &Run{
		RequestID: r.Header.Get("Jujube-Request-Id"),
		Key:       r.Header.Get("Idempotency-Key"),
		Workspace: r.Header.Get("Jujube-Workspace"),
		Path:      r.URL.Path,
		Began:     time.Now(),
		Resumed:   r.Header.Get("Last-Event-ID") != "",
		State:     Running,
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs = append(j.runs, run)
	if len(j.runs) > maxRuns {
		j.runs = j.runs[1:]
	}
	return run
}

// finishRun sets the final state of a run.
func (j *Journal) finishRun(run *Run, state RunState) {
	j.mu.Lock()
	defer j.mu.Unlock()
	run.State = state
}

// Runs returns the recorded runs, oldest first.
func (j *Journal) Runs() []Run {
	j.mu.Lock()
	defer j.mu.Unlock()
	runs := make([]Run, 0, len(j.runs))
	for _, run := range j.runs {
		runs = append(runs, *run)
	}
	return runs
}

// Clear removes all runs.
func (j *Journal) Clear() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs = nil
}

// register adds the endpoints of the journal to the control port.
func (j *Journal) register(control *http.ServeMux) {
	control.HandleFunc("GET /journal", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, j.Runs())
	})
	control.HandleFunc("DELETE /journal", func(http.ResponseWriter, *http.Request) { j.Clear() })
}
