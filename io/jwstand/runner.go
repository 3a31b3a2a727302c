package jwstand

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	defaultMaxTokens = 16 // of a request without max_tokens
	defaultUrgency   = 3  // the default of RFC 9218
)

// Runner stands in for a model engine with an OpenAI-style API. The generated
// text depends only on the prompt, so that a caller can verify every answer and
// a stream can be resumed at any token.
type Runner struct {
	Engine  Engine  // simulates the load and the timing
	Journal Journal // records the requests that got a slot
}

// Completion is the body of a request to a Runner.
type Completion struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// CompletionAnswer is a complete answer or one event of a stream.
type CompletionAnswer struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Model   string             `json:"model"`
	Choices []CompletionChoice `json:"choices"`
	Usage   *CompletionUsage   `json:"usage,omitempty"`
}

// CompletionChoice is a piece of generated text.
type CompletionChoice struct {
	Index        int    `json:"index"`
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason,omitempty"`
}

// CompletionUsage counts the tokens of a request and its answer.
type CompletionUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CachedTokens     int `json:"cached_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// TokenOf returns the n-th token, counted from 1, that a Runner generates for a
// prompt.
func TokenOf(prompt string, n int) string {
	return fmt.Sprintf("%08x ", uint32(xxhash.Sum64String(prompt)+uint64(n)*2654435761))
}

// TextOf returns the text of the first n tokens that a Runner generates for a
// prompt.
func TextOf(prompt string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(TokenOf(prompt, i+1))
	}
	return b.String()
}

// Handler implements Program.
func (rn *Runner) Handler(faults func() Faults) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { rn.writeMetrics(w, faults().Leaving) })
	mux.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) {
		// Read the body to its end: only then does net/http detect that the caller
		// closes the connection.
		body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
		if err != nil {
			return
		}
		var c Completion
		if err := json.Unmarshal(body, &c); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if faults().Leaving {
			writeUnavailable(w, "leaving")
			return
		}
		rn.complete(w, r, c)
	})
	return mux
}

// Register implements Program.
func (rn *Runner) Register(control *http.ServeMux) {
	rn.Journal.register(control)
}

// complete waits for a slot and answers a completion request.
func (rn *Runner) complete(w http.ResponseWriter, r *http.Request, c Completion) {
	if c.MaxTokens <= 0 {
		c.MaxTokens = defaultMaxTokens
	}
	ctx := r.Context()
	if !rn.Engine.AcquireSlot(ctx, parseUrgency(r.Header.Get("Priority"))) {
		writeUnavailable(w, "queue full")
		return
	}
	defer rn.Engine.ReleaseSlot()
	run := rn.Journal.startRun(r)
	answer := CompletionAnswer{ID: run.RequestID, Object: "text_completion", Model: c.Model}
	var err error
	if c.Stream {
		from := parseIntOr(r.Header.Get("Last-Event-ID"), 0)
		rn.Engine.countRequested(c.MaxTokens - max(from, 0))
		err = rn.writeStream(ctx, w, c, answer, max(from, 0))
	} else {
		rn.Engine.countRequested(c.MaxTokens)
		err = rn.writeComplete(ctx, w, c, answer)
	}
	if err != nil {
		rn.Journal.finishRun(run, Cancelled)
		return
	}
	rn.Journal.finishRun(run, Finished)
}

// writeComplete generates all tokens and then writes them as one answer.
func (rn *Runner) writeComplete(ctx context.Context, w http.ResponseWriter, c Completion, answer CompletionAnswer) error {
	tokens, cached, err := rn.Engine.PrefillPrompt(ctx, c.Prompt)
	if err != nil {
		return err
	}
	for range c.MaxTokens {
		if err := rn.Engine.GenerateToken(ctx); err != nil {
			return err
		}
	}
	answer.Choices = []CompletionChoice{{Text: TextOf(c.Prompt, c.MaxTokens), FinishReason: "length"}}
	answer.Usage = &CompletionUsage{PromptTokens: tokens, CachedTokens: cached, CompletionTokens: c.MaxTokens}
	body, err := json.Marshal(answer)
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, err = w.Write(body)
	return err
}

// writeStream writes the tokens after from, each as one event whose id is the
// number of the token.
func (rn *Runner) writeStream(ctx context.Context, w http.ResponseWriter, c Completion, answer CompletionAnswer, from int) error {
	rc := http.NewResponseController(w)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusOK)
	_ = rc.Flush() // a writer that can't flush sends everything at the end
	if _, _, err := rn.Engine.PrefillPrompt(ctx, c.Prompt+TextOf(c.Prompt, from)); err != nil {
		return err
	}
	for n := from + 1; n <= c.MaxTokens; n++ {
		if err := rn.Engine.GenerateToken(ctx); err != nil {
			return err
		}
		choice := CompletionChoice{Text: TokenOf(c.Prompt, n)}
		if n == c.MaxTokens {
			choice.FinishReason = "length"
		}
		answer.Choices = []CompletionChoice{choice}
		data, err := json.Marshal(answer)
		if err != nil {
			return err
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, data); err != nil {
			return err
		}
		_ = rc.Flush()
	}
	_, err := fmt.Fprint(w, "data: [DONE]\n\n")
	return err
}

// writeMetrics writes the load report in the Prometheus text format. It uses
// the metric names of vLLM where vLLM has such a metric.
func (rn *Runner) writeMetrics(w http.ResponseWriter, leaving bool) {
	report, total := rn.Engine.Report()
	leavingValue := 0.0
	if leaving {
		leavingValue = 1
	}
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	gauges := []struct {
		name  string
		value float64
	}{
		{"vllm:num_requests_running", float64(report.Running)},
		{"vllm:num_requests_waiting", float64(report.Waiting)},
		{"vllm:max_num_seqs", float64(report.Slots)},
		{"vllm:kv_cache_usage_perc", report.CacheUse},
		{"vllm:seconds_per_output_token", report.Token.Seconds()},
		{"vllm:leaving", leavingValue},
	}
	for _, g := range gauges {
		_, _ = fmt.Fprintf(w, "# TYPE %s gauge\n%s %g\n", g.name, g.name, g.value)
	}
	counters := []struct {
		name  string
		value uint64
	}{
		{"vllm:requests_total", total.Requests},
		{"vllm:prompt_tokens_total", total.PromptTokens},
		{"vllm:prompt_tokens_cached_total", total.CachedTokens},
		{"vllm:generation_tokens_total", total.Generated},
	}
	for _, c := range counters {
		_, _ = fmt.Fprintf(w, "# TYPE %s counter\n%s %d\n", c.name, c.name, c.value)
	}
}

// parseUrgency returns the urgency from a Priority header (RFC 9218): 0 is the
// most urgent, 7 the least.
func parseUrgency(header string) int {
	for part := range strings.SplitSeq(header, ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(part), "u=")
		if !found {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil && n >= 0 && n <= 7 {
			return n
		}
	}
	return defaultUrgency
}
