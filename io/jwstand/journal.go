package jwstand

import (
	"net/http"
	"sync"
	"time"
)

// maxRuns bounds a journal; older runs are forgotten first.
const maxRuns = 200_000

// Run is one request that a target began to run.
type Run struct {
	RequestID string    `json:"requestId"`
	Key       string    `json:"key,omitempty"`
	Workspace string    `json:"workspace,omitempty"`
	Path      string    `json:"path"`
	Began     time.Time `json:"began"`
	Resumed   bool      `json:"resumed,omitempty"` // went on with a stream that broke off
	State     RunState  `json:"state"`
}

// RunState tells how far a run has come.
type RunState string

// The states of a run.
const (
	Running   RunState = "running"
	Finished  RunState = "finished"
	Cancelled RunState = "cancelled"
)

// Journal lists what a target ran, so that a test can count runs.
type Journal struct {
	mu   sync.Mutex
	runs []*Run
}

// startRun notes a run.
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

func (j *Journal) finishRun(run *Run, state RunState) {
	j.mu.Lock()
	defer j.mu.Unlock()
	run.State = state
}

// Runs returns the runs so far, oldest first.
func (j *Journal) Runs() []Run {
	j.mu.Lock()
	defer j.mu.Unlock()
	runs := make([]Run, 0, len(j.runs))
	for _, run := range j.runs {
		runs = append(runs, *run)
	}
	return runs
}

// Clear forgets all runs.
func (j *Journal) Clear() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs = nil
}

func (j *Journal) register(control *http.ServeMux) {
	control.HandleFunc("GET /journal", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, j.Runs())
	})
	control.HandleFunc("DELETE /journal", func(http.ResponseWriter, *http.Request) { j.Clear() })
}
