package jwnode

import (
	"fmt"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubewheel/core/jwlimit"
	"jujubewheel/core/jwtarget"
	"jujubewheel/io/jwstand"
)

// A target is about to be replaced, as the platform's host list or its own load
// report announces. Requests sent there after that would fail together with the
// target and never be answered. Every node must stop sending to it, and the
// requests that already run on it must finish.
func TestLeavingTarget(t *testing.T) {
	tests := map[string]func(s *system, standIn *jwstand.StandIn){
		"reported by the host list": func(s *system, standIn *jwstand.StandIn) {
			groups := slices.Clone(s.groups) // the stand-in still reads the old slice
			for i, g := range groups {
				if g.Targets[0] == standIn.Address.String() {
					groups[i].Labels = maps.Clone(g.Labels)
					groups[i].Labels["state"] = "leaving"
				}
			}
			s.groups = groups
			s.hosts.Set(groups)
		},
		"reported by the target": func(_ *system, standIn *jwstand.StandIn) { standIn.SetFaults(jwstand.Faults{Leaving: true}) },
	}
	for name, leave := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSystem(t, "east")
			oldTarget, oldStand := s.runner("east")
			oldTarget.Engine.Token = 5 * time.Millisecond
			nodes := []*runningNode{s.node("e1", "east"), s.node("e2", "east"), s.node("e3", "east")}
			s.edit(nodes[0], draft())
			s.awaitRevision(1)
			awaitTargets := func(want int) {
				s.await("targets", func() bool {
					for _, n := range nodes {
						if len(n.board.Targets.Polled()) != want {
							return false
						}
					}
					return true
				})
			}
			awaitTargets(1)
			sendDraft := func(i, tokens int) reply {
				return s.send(nodes[i%3].CallersAddr(), "draft", "free-east", prompt(fmt.Sprintf("%d menu", i), tokens, true), nil)
			}
			const running = 6
			longAnswers := make(chan reply, running)
			for i := range running {
				go func() { longAnswers <- sendDraft(i, 400) }()
			}
			s.await("all requests run on the old target", func() bool { return len(oldTarget.Journal.Runs()) == running })
			newTarget, _ := s.runner("east")
			awaitTargets(2)
			began := time.Now()
			leave(s, oldStand)
			s.await("every node knows that the target is leaving", func() bool {
				for _, n := range nodes {
					if state, _ := n.board.Targets.State(oldStand.Address, time.Now()); state != jwtarget.Leaving {
						return false
					}
				}
				return true
			})
			t.Logf("every node knew after %v", time.Since(began))
			before := len(oldTarget.Journal.Runs())
			for i := range 30 {
				assert.Equal(t, sendDraft(i, 2).outcome, "served")
			}
			assert.Equal(t, len(oldTarget.Journal.Runs()), before)
			assert.Assert(t, len(newTarget.Journal.Runs()) >= 30)
			for range running {
				r := <-longAnswers
				assert.Assert(t, strings.Contains(r.body, "event: done"), "%+v", r)
			}
			for _, run := range oldTarget.Journal.Runs() {
				assert.Equal(t, run.State, jwstand.Finished)
			}
		})
	}
}

// A request crashes each target that runs it, and its caller sends it again
// through one node after another. Without quarantine it would crash all targets
// in turn, and end all other requests on them. It may crash at most two targets,
// and other requests that ran at the same time must not be quarantined.
func TestPoisonThroughManyNodes(t *testing.T) {
	t.Parallel()
	s := newSystem(t, "east")
	var mu sync.Mutex
	crashes := map[netip.AddrPort]int{}
	for range 5 {
		_, standIn := s.runner("east")
		standIn.Exit = func(int) {
			mu.Lock()
			defer mu.Unlock()
			crashes[standIn.Address]++
		}
		standIn.SetFaults(jwstand.Faults{CrashOn: "poison"})
	}
	var nodes []*runningNode
	for i := range 3 {
		nodes = append(nodes, s.node(fmt.Sprintf("e%d", i), "east"))
	}
	s.edit(nodes[0], draft())
	s.awaitRevision(1)
	s.await("targets", func() bool { return len(nodes[0].board.Targets.Polled())+len(nodes[1].board.Targets.Polled()) == 10 })
	poison := prompt("poison", 5, false)
	quarantinedAt := map[*runningNode]bool{}
	sent, innocent, wronglyQuarantined := 0, 0, 0
	s.await("quarantined at every node", func() bool {
		var others sync.WaitGroup
		for i := range 6 {
			others.Go(func() {
				r := s.send(nodes[i%3].CallersAddr(), "draft", "free-east", prompt(fmt.Sprintf("good %d", i), 20, false), nil)
				mu.Lock()
				defer mu.Unlock()
				innocent++
				if r.status == http.StatusUnprocessableEntity {
					wronglyQuarantined++
				}
			})
		}
		n := nodes[sent%len(nodes)]
		sent++
		r := s.send(n.CallersAddr(), "draft", "free-east", poison, nil)
		others.Wait()
		if r.status == http.StatusUnprocessableEntity {
			assert.Check(t, r.outcome == "notRun", "%+v", r)
			quarantinedAt[n] = true
		}
		return len(quarantinedAt) == len(nodes)
	})
	assert.Assert(t, len(crashes) <= 2, "crashes by target: %v", crashes)
	assert.Equal(t, wronglyQuarantined, 0)
	t.Logf("sent %d times, %d targets crashed, %d of %d innocent requests rejected", sent, len(crashes), wronglyQuarantined, innocent)
}

// refuser is a target that reports that it is idle and refuses each request.
type refuser struct{ calls atomic.Int64 }

// Handler implements jwstand.Program.
func (p *refuser) Handler(func() jwstand.Faults) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			_, _ = fmt.Fprint(w, "# TYPE vllm:max_num_seqs gauge\nvllm:max_num_seqs 64\n")
			return
		}
		p.calls.Add(1)
		w.WriteHeader(http.StatusServiceUnavailable)
	})
}

// Register implements jwstand.Program.
func (p *refuser) Register(*http.ServeMux) {}

// After an outage all callers send requests at once, and the targets, whose load
// reports lag, refuse those that they can't queue. If each refused call were
// retried as often as a single request may be, the load would be several times
// as high and the targets could not recover. The retry budget must bound it.
func TestRetriesAfterOutage(t *testing.T) {
	t.Parallel()
	s := newSystem(t, "east")
	program := &refuser{}
	for range 4 {
		addr := s.standIn("refuser", program).Address
		s.addHost(addr, map[string]string{"role": "target", "service": "writer", "region": "east", "dataCentre": "east-1"})
	}
	n := s.node("e1", "east")
	s.edit(n, draft())
	s.awaitRevision(1)
	s.await("targets", func() bool { return n.board.Targets.Capacity("writer", time.Now()).Slots > 4*8 })
	const callers = 200
	var reached atomic.Int64
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			id := fmt.Sprintf("rush-%d", i)
			r := s.send(n.CallersAddr(), "draft", "free-east", prompt("menu", 10, true), header{"Jujube-Request-Id": id})
			assert.Check(t, r.outcome == "notRun", "%+v", r)
			for _, trace := range n.tracer.Find(id) {
				for _, step := range trace.Steps {
					if step.Step == "target" {
						reached.Add(1)
						return
					}
				}
			}
		})
	}
	wg.Wait()
	retries := program.calls.Load() - reached.Load()
	t.Logf("%d calls to targets for %d requests: %d retries", program.calls.Load(), reached.Load(), retries)
	assert.Assert(t, reached.Load() >= callers/4, "only %d reached a target", reached.Load())
	assert.Assert(t, float64(retries) <= jwlimit.DefaultRetryShare*callers+jwlimit.DefaultMaxSavedRetries, "%d retries", retries)
}
