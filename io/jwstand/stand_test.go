package jwstand

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

func startStandIn(t *testing.T, program Program) *StandIn {
	t.Helper()
	standIn := &StandIn{Program: program}
	stop, err := standIn.Start()
	assert.NilError(t, err)
	t.Cleanup(func() { assert.Check(t, stop()) })
	return standIn
}

func newRequest(ctx context.Context, standIn *StandIn, path, body string) *http.Request {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+standIn.Address.String()+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	return r
}

func completion(prompt string, tokens int, stream bool) string {
	body, err := json.Marshal(Completion{Prompt: prompt, MaxTokens: tokens, Stream: stream})
	if err != nil {
		panic(err)
	}
	return string(body)
}

// readStream returns the text of a stream, the id of its last event, and
// whether the stream was complete.
func readStream(r io.Reader) (text string, lastID string, complete bool) {
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		line := scanner.Text()
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			lastID = id
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text, lastID, true
		}
		var answer CompletionAnswer
		if json.Unmarshal([]byte(data), &answer) == nil && len(answer.Choices) == 1 {
			text += answer.Choices[0].Text
		}
	}
	return text, lastID, false
}

func TestRunner(t *testing.T) {
	runner := &Runner{}
	standIn := startStandIn(t, runner)
	tests := map[string]struct {
		stream bool
		after  string
		want   string
	}{
		"plain":          {want: TextOf("p", 5)},
		"streamed":       {stream: true, want: TextOf("p", 5)},
		"resumed":        {stream: true, after: "3", want: TokenOf("p", 4) + TokenOf("p", 5)},
		"resumed at end": {stream: true, after: "5", want: ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRequest(t.Context(), standIn, "/v1/completions", completion("p", 5, test.stream))
			r.Header.Set("Jujube-Request-Id", name)
			r.Header.Set("Last-Event-ID", test.after)
			res, err := http.DefaultClient.Do(r)
			assert.NilError(t, err)
			defer res.Body.Close()
			assert.Equal(t, res.StatusCode, http.StatusOK)
			if test.stream {
				text, lastID, complete := readStream(res.Body)
				assert.Check(t, complete && lastID != "3")
				assert.Equal(t, text, test.want)
				return
			}
			var answer CompletionAnswer
			assert.NilError(t, json.NewDecoder(res.Body).Decode(&answer))
			assert.Equal(t, answer.Choices[0].Text, test.want)
		})
	}
	assert.Equal(t, len(runner.Journal.Runs()), len(tests))
}

// A caller disconnects in the middle of an answer. The engine must stop
// generating; otherwise it spends its slots on answers that nobody reads.
func TestRunnerCancel(t *testing.T) {
	for _, stream := range []bool{false, true} {
		t.Run(fmt.Sprintf("stream %t", stream), func(t *testing.T) {
			runner := &Runner{Engine: Engine{Token: time.Hour}}
			standIn := startStandIn(t, runner)
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() {
				defer close(done)
				res, err := http.DefaultClient.Do(newRequest(ctx, standIn, "/v1/completions", completion("p", 5, stream)))
				if err == nil {
					_, _ = io.Copy(io.Discard, res.Body)
					_ = res.Body.Close()
				}
			}()
			waitState(t, runner, Running)
			cancel()
			<-done
			waitState(t, runner, Cancelled)
		})
	}
}

// waitState waits until the runner has exactly one run, in the given state.
func waitState(t *testing.T, runner *Runner, want RunState) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		runs := runner.Journal.Runs()
		if len(runs) == 1 && runs[0].State == want {
			return poll.Success()
		}
		return poll.Continue("%v", runs)
	})
}

func TestEngineCache(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &Engine{Prefill: time.Millisecond, CacheTokens: 64}
		prefix := strings.Repeat("a", 32*bytesPerToken)
		prefill := func(prompt string) (cached int, took time.Duration) {
			start := time.Now()
			_, cached, err := e.PrefillPrompt(t.Context(), prompt)
			assert.NilError(t, err)
			return cached, time.Since(start)
		}
		cached, cold := prefill(prefix + "x")
		assert.Check(t, cached == 0 && cold == 33*time.Millisecond, "cold: %d %v", cached, cold)
		cached, warm := prefill(prefix + "y")
		assert.Check(t, cached == 32 && warm == time.Millisecond, "warm: %d %v", cached, warm)
		prefill(strings.Repeat("b", 64*bytesPerToken))
		cached, _ = prefill(prefix)
		assert.Equal(t, cached, 0, "evicted by newer prompts")
	})
}

func TestEnginePriority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &Engine{Slots: 1, MaxWaiting: 3}
		assert.Check(t, e.AcquireSlot(t.Context(), defaultUrgency))
		order := make(chan int, 3)
		for _, urgency := range []int{5, 1, 3} {
			go func() {
				assert.Check(t, e.AcquireSlot(t.Context(), urgency))
				order <- urgency
				e.ReleaseSlot()
			}()
			synctest.Wait()
		}
		assert.Check(t, !e.AcquireSlot(t.Context(), 0), "the queue is full")
		e.ReleaseSlot()
		assert.DeepEqual(t, []int{<-order, <-order, <-order}, []int{1, 3, 5})
	})
}

func TestAcquireSlotCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &Engine{Slots: 1}
		assert.Check(t, e.AcquireSlot(t.Context(), 0))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		assert.Check(t, !e.AcquireSlot(ctx, 0))
		e.ReleaseSlot()
		assert.Check(t, e.AcquireSlot(t.Context(), 0), "the slot is free again")
	})
}

// Callers give up at random moments, also just as they are granted a slot. Each
// slot lost in that race would reduce the capacity of the engine until it
// restarts.
func TestEngineLosesNoSlot(t *testing.T) {
	const slots, callers, calls = 3, 20, 50
	synctest.Test(t, func(t *testing.T) {
		e := &Engine{Slots: slots, MaxWaiting: callers}
		var held, maxHeld, admitted atomic.Int32
		var wg sync.WaitGroup
		for caller := range callers {
			random := rand.New(rand.NewPCG(1, uint64(caller)))
			randomDelay := func() time.Duration { return time.Duration(random.IntN(4)) * time.Millisecond }
			wg.Go(func() {
				for range calls {
					ctx, cancel := context.WithTimeout(t.Context(), randomDelay())
					if e.AcquireSlot(ctx, random.IntN(8)) {
						admitted.Add(1)
						maxHeld.Store(max(maxHeld.Load(), held.Add(1)))
						time.Sleep(randomDelay())
						held.Add(-1)
						e.ReleaseSlot()
					}
					cancel()
				}
			})
		}
		wg.Wait()
		assert.Check(t, maxHeld.Load() == slots && admitted.Load() > callers, "%d held, %d admitted", maxHeld.Load(), admitted.Load())
		for range slots {
			assert.Check(t, e.AcquireSlot(t.Context(), 0), "a slot is lost")
		}
		r, _ := e.Report()
		assert.Equal(t, r.Running, slots)
		assert.Equal(t, r.Waiting, 0)
	})
}

func TestEngineReportLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &Engine{Slots: 4, Lag: time.Second, Token: 10 * time.Millisecond, Growth: 0.5}
		r, _ := e.Report()
		assert.Equal(t, r.Running, 0)
		for range 3 {
			assert.Check(t, e.AcquireSlot(t.Context(), 0))
		}
		r, _ = e.Report()
		assert.Equal(t, r.Running, 0, "the report lags behind")
		time.Sleep(time.Second)
		r, _ = e.Report()
		assert.Equal(t, r.Running, 3)
		assert.Equal(t, r.Token, 20*time.Millisecond)
	})
}

func TestParseUrgency(t *testing.T) {
	tests := map[string]int{"": 3, "u=0": 0, "u=7, i": 7, "i, u=1": 1, "u=9": 3, "u=x": 3}
	for header, want := range tests {
		assert.Check(t, parseUrgency(header) == want, "%q", header)
	}
}

func TestService(t *testing.T) {
	service := &Service{}
	standIn := startStandIn(t, service)
	for range 2 {
		r := newRequest(t.Context(), standIn, "/orders", "deposit")
		r.Header.Set("Idempotency-Key", "k")
		res, err := http.DefaultClient.Do(r)
		assert.NilError(t, err)
		var echo Echo
		assert.NilError(t, json.NewDecoder(res.Body).Decode(&echo))
		_ = res.Body.Close()
		assert.Equal(t, echo, Echo{Path: "/orders", Key: "k", Body: "deposit"})
		assert.Check(t, res.ContentLength > 0)
	}
	assert.Equal(t, len(service.Journal.Runs()), 2)
}

// A request body that crashes its target ends the whole process. The caller
// sees a connection that breaks before any answer.
func TestCrash(t *testing.T) {
	service := &Service{}
	crashed := make(chan int, 1)
	standIn := startStandIn(t, service)
	standIn.Exit = func(code int) { crashed <- code }
	standIn.SetFaults(Faults{CrashOn: "poison"})
	res, err := http.DefaultClient.Do(newRequest(t.Context(), standIn, "/orders", "fine"))
	assert.NilError(t, err)
	_ = res.Body.Close()
	_, err = http.DefaultClient.Do(newRequest(t.Context(), standIn, "/orders", "a poison b"))
	assert.Check(t, err != nil)
	assert.Equal(t, <-crashed, crashExitCode)
	assert.Equal(t, len(service.Journal.Runs()), 1)
}

// A target that is leaving rejects a call without running it, so the call may
// be sent elsewhere. A target that loses its reply has run the call, so it must
// not be sent again.
func TestLeavingAndLostReply(t *testing.T) {
	service := &Service{}
	standIn := startStandIn(t, service)
	standIn.SetFaults(Faults{Leaving: true})
	res, err := http.DefaultClient.Do(newRequest(t.Context(), standIn, "/orders", "x"))
	assert.NilError(t, err)
	_ = res.Body.Close()
	assert.Equal(t, res.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, len(service.Journal.Runs()), 0)
	standIn.SetFaults(Faults{LoseReply: 1})
	_, err = http.DefaultClient.Do(newRequest(t.Context(), standIn, "/orders", "x"))
	assert.Check(t, err != nil)
	assert.Equal(t, len(service.Journal.Runs()), 1)
}

// A stopped process keeps its connections open and answers once it continues.
func TestPause(t *testing.T) {
	standIn := startStandIn(t, &Service{})
	standIn.SetFaults(Faults{Pause: true})
	ctx, cancel := context.WithTimeout(t.Context(), shortTimeout)
	defer cancel()
	_, err := http.DefaultClient.Do(newRequest(ctx, standIn, "/orders", "x"))
	assert.Check(t, err != nil)
	answered := make(chan error, 1)
	go func() {
		res, err := http.DefaultClient.Do(newRequest(t.Context(), standIn, "/orders", "y"))
		if err == nil {
			err = res.Body.Close()
		}
		answered <- err
	}()
	standIn.SetFaults(Faults{})
	assert.NilError(t, <-answered)
}

func TestControl(t *testing.T) {
	hosts := &Hosts{}
	mux := http.NewServeMux()
	hosts.Register(mux)
	standIn := &StandIn{Program: hosts}
	mux.HandleFunc("PUT /faults", standIn.putFaults)
	send := func(method, path, body string) int {
		w := httptest.NewRecorder()
		mux.ServeHTTP(w, httptest.NewRequest(method, path, bytes.NewReader([]byte(body))))
		return w.Code
	}
	assert.Equal(t, send("PUT", "/faults", `{"slow":"10ms","silent":true}`), http.StatusOK)
	assert.Equal(t, send("PUT", "/faults", `{"loseReply":2}`), http.StatusOK)
	assert.Equal(t, standIn.Faults(), Faults{Slow: Duration(10 * time.Millisecond), LoseReply: 2})
	assert.Equal(t, send("PUT", "/faults", `{"slwo":"10ms"}`), http.StatusBadRequest)

	assert.Equal(t, send("PUT", "/hosts", `[{"targets":["127.0.0.1:1","127.0.0.1:2"],"labels":{"region":"r"}}]`), http.StatusOK)
	assert.Equal(t, send("PATCH", "/hosts/127.0.0.1:2", `{"state":"leaving"}`), http.StatusOK)
	assert.Equal(t, send("DELETE", "/hosts/127.0.0.1:1", ``), http.StatusOK)
	want := []HostGroup{{Targets: []string{"127.0.0.1:2"}, Labels: map[string]string{"region": "r", "state": "leaving"}}}
	assert.DeepEqual(t, hosts.Shown(), want)
}

func TestHostsLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hosts := &Hosts{Lag: time.Second}
		hosts.Set([]HostGroup{{Targets: []string{"a"}}})
		hosts.Set([]HostGroup{{Targets: []string{"b"}}})
		assert.Equal(t, hosts.Shown()[0].Targets[0], "a")
		time.Sleep(time.Second)
		assert.Equal(t, hosts.Shown()[0].Targets[0], "b")
	})
}
