package main

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"jujubewheel/core/jwcatalogue"
	"jujubewheel/core/jwpeer"
	"jujubewheel/io/jwstand"
)

// The whole path, each part a process: an operator fills the catalogue, a
// caller asks which host to use, sends a draft there, plain and streamed, and
// gets the whole answer; a region without a target has it served by another;
// a confirmation pressed at two hosts runs once.
func TestProcesses(t *testing.T) {
	f := newFleet(t, "east", "north", "west")
	f.target("runner", "writer", "east", "--token", "1ms")
	desk := f.target("service", "desk", "west")
	for _, r := range f.regions {
		f.node(r[:1]+"1", r)
	}
	f.node("w2", "west")
	f.fill()
	east, north, west, west2 := f.nodes[0], f.nodes[1], f.nodes[2], f.nodes[3]

	var hosts int
	f.await("hosts", func() bool {
		list, err := hostsOf(north.Callers, "bound-west")
		hosts = len(list)
		return err == nil && hosts == 2
	})
	f.await("a draft is served", func() bool { return send(east.Callers, "draft", "free-east", prompt("menu", 5, false)).whole() })
	plain := send(east.Callers, "draft", "free-east", prompt("menu", 5, false))
	assert.Assert(t, strings.Contains(plain.body, jwstand.TextOf("menu", 5)), "%+v", plain)
	f.await("a draft is served away", func() bool { return send(north.Callers, "draft", "free-north", prompt("menu", 5, true)).whole() })
	away := send(north.Callers, "draft", "free-north", prompt("menu", 50, true))
	assert.Assert(t, away.whole(), "%+v", away)
	assert.Equal(t, away.server, "east")

	f.await("a confirmation is served", func() bool {
		return send(west.Callers, "confirm", "free-west", "{}", "Idempotency-Key", "warm-up").whole()
	})
	before := len(f.runs(desk))
	first := send(west.Callers, "confirm", "free-west", `{"order":1}`, "Idempotency-Key", "order-1")
	second := send(west2.Callers, "confirm", "free-west", `{"order":1}`, "Idempotency-Key", "order-1")
	third := send(north.Callers, "confirm", "free-west", `{"order":1}`, "Idempotency-Key", "order-1")
	assert.Assert(t, first.whole(), "%+v", first)
	assert.Equal(t, second.body, first.body)
	assert.Equal(t, third.body, first.body)
	assert.Equal(t, len(f.runs(desk)), before+1)

	out, err := f.command(north, "catalogue", "status")
	assert.NilError(t, err, "%s", out)
}

// Every node is stopped, one after the other, while callers read long streams
// and open new ones. No stream may be cut off, and a request that a stopping
// node turns away must be served by the host it names.
func TestRollingStop(t *testing.T) {
	f := newFleet(t, "east")
	f.target("runner", "writer", "east", "--token", "10ms", "--slots", "64")
	for i := range 3 {
		f.node(fmt.Sprintf("e%d", i+1), "east")
	}
	f.fill()
	f.await("drafts are served everywhere", func() bool {
		for _, n := range f.nodes {
			if !send(n.Callers, "draft", "free-east", prompt("menu", 2, true)).whole() {
				return false
			}
		}
		return true
	})

	var mu sync.Mutex
	var served int
	var failed []reply
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for range 8 {
		callers.Go(func() {
			at := f.nodes[0].Callers
			for {
				select {
				case <-stop:
					return
				default:
				}
				r := send(at, "draft", "free-east", prompt("menu", 100, true))
				if r.status == 503 && r.outcome == "notRun" && len(r.hosts) > 0 {
					at = r.hosts[0]
					continue
				}
				if r.err != nil && r.status == 0 && r.body == "" {
					// The host was gone before it took the request; a caller
					// asks another one.
					for _, n := range f.nodes {
						if list, err := hostsOf(n.Callers, "free-east"); err == nil && len(list) > 0 {
							at = list[0]
							break
						}
					}
					continue
				}
				mu.Lock()
				if r.whole() {
					served++
				} else {
					failed = append(failed, r)
				}
				mu.Unlock()
			}
		})
	}
	for i := range 2 {
		old := f.nodes[i]
		f.node(fmt.Sprintf("r%d", i+1), "east")
		f.ready(2)
		old.signal(syscall.SIGTERM)
		<-old.ended
		assert.Equal(t, old.cmd.ProcessState.ExitCode(), 0)
	}
	close(stop)
	callers.Wait()
	assert.Equal(t, len(failed), 0, "%+v", failed)
	assert.Assert(t, served > 0)
	t.Logf("%d streams served", served)
}

// A node is killed without a word, the very one that gathers the confirmations
// of its region. Its callers lose what was in flight, but the other nodes go on
// serving, and callers are no longer sent to it once the platform's list has
// dropped it. An edit must then be accepted without the dead node's word.
func TestNodeKilled(t *testing.T) {
	f := newFleet(t, "east")
	f.target("runner", "writer", "east", "--token", "1ms")
	a, b := f.node("e1", "east"), f.node("e2", "east")
	f.fill()
	gatherer := jwcatalogue.GathererOf([]jwpeer.Peer{
		{Name: a.name, Region: "east", State: jwpeer.Serving}, {Name: b.name, Region: "east", State: jwpeer.Serving},
	}, "east")
	if b.name == gatherer {
		a, b = b, a
	}
	a.end()
	f.groups = slices.DeleteFunc(f.groups, func(g jwstand.HostGroup) bool { return g.Labels["name"] == a.name })
	f.put(f.hosts.Control, "/hosts", f.groups)
	f.await("only the living host is named", func() bool {
		list, err := hostsOf(b.Callers, "free-east")
		return err == nil && len(list) == 1 && list[0] == b.Callers
	})
	f.await("a draft is served", func() bool { return send(b.Callers, "draft", "free-east", prompt("menu", 5, true)).whole() })
	path := f.write("again.json", json.RawMessage(strings.ReplaceAll(string(testCatalogue), `"30s"`, `"31s"`)))
	out, err := f.command(b, "catalogue", "put", "--overwrite", "--reason", "after the kill", "--wait", "30s", path)
	assert.NilError(t, err, "%s", out)
}
