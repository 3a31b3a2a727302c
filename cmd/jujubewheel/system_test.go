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

// The usual path with each part as a process: an operator writes the catalogue,
// a caller asks which hosts to use and gets the complete answer of a draft,
// plain and streamed. A region without a target has drafts served by another
// region, and a confirmation that is sent to three hosts runs once.
func TestProcesses(t *testing.T) {
	f := newFleet(t, "east", "north", "west")
	f.startTarget("runner", "writer", "east", "--token", "1ms")
	desk := f.startTarget("service", "desk", "west")
	for _, r := range f.regions {
		f.startNode(r[:1]+"1", r)
	}
	f.startNode("w2", "west")
	f.loadCatalogue()
	east, north, west, west2 := f.nodes[0], f.nodes[1], f.nodes[2], f.nodes[3]

	var hosts int
	f.waitFor("hosts", func() bool {
		list, err := listHosts(north.Callers, "bound-west")
		hosts = len(list)
		return err == nil && hosts == 2
	})
	f.waitFor("a draft is served", func() bool { return send(east.Callers, "draft", "free-east", prompt("menu", 5, false)).complete() })
	plain := send(east.Callers, "draft", "free-east", prompt("menu", 5, false))
	assert.Assert(t, strings.Contains(plain.body, jwstand.TextOf("menu", 5)), "%+v", plain)
	f.waitFor("a draft is served by another region", func() bool { return send(north.Callers, "draft", "free-north", prompt("menu", 5, true)).complete() })
	remote := send(north.Callers, "draft", "free-north", prompt("menu", 50, true))
	assert.Assert(t, remote.complete(), "%+v", remote)
	assert.Equal(t, remote.servedBy, "east")

	f.waitFor("a confirmation is served", func() bool {
		return send(west.Callers, "confirm", "free-west", "{}", "Idempotency-Key", "warm-up").complete()
	})
	before := len(f.readJournal(desk))
	first := send(west.Callers, "confirm", "free-west", `{"order":1}`, "Idempotency-Key", "order-1")
	second := send(west2.Callers, "confirm", "free-west", `{"order":1}`, "Idempotency-Key", "order-1")
	third := send(north.Callers, "confirm", "free-west", `{"order":1}`, "Idempotency-Key", "order-1")
	assert.Assert(t, first.complete(), "%+v", first)
	assert.Equal(t, second.body, first.body)
	assert.Equal(t, third.body, first.body)
	assert.Equal(t, len(f.readJournal(desk)), before+1)

	out, err := f.runCommand(north, "catalogue", "status")
	assert.NilError(t, err, "%s", out)
}

// Two nodes are replaced one after the other while callers read long streams and
// open new ones. No stream may end incomplete, and a request that a stopping node
// rejects must be served by the host that it names.
func TestRollingStop(t *testing.T) {
	f := newFleet(t, "east")
	f.startTarget("runner", "writer", "east", "--token", "10ms", "--slots", "64")
	for i := range 3 {
		f.startNode(fmt.Sprintf("e%d", i+1), "east")
	}
	f.loadCatalogue()
	f.waitFor("drafts are served everywhere", func() bool {
		for _, n := range f.nodes {
			if !send(n.Callers, "draft", "free-east", prompt("menu", 2, true)).complete() {
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
					// The host ended before it received the request; a caller
					// asks another host for the list.
					for _, n := range f.nodes {
						if list, err := listHosts(n.Callers, "free-east"); err == nil && len(list) > 0 {
							at = list[0]
							break
						}
					}
					continue
				}
				mu.Lock()
				if r.complete() {
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
		f.startNode(fmt.Sprintf("r%d", i+1), "east")
		f.waitReady(2)
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

// The node that gathers the confirmations of its region is killed. The other
// node must continue to serve, callers must no longer be sent to the killed one once
// the platform's host list has dropped it, and an edit must be accepted without
// its confirmation.
func TestNodeKilled(t *testing.T) {
	f := newFleet(t, "east")
	f.startTarget("runner", "writer", "east", "--token", "1ms")
	killed, survivor := f.startNode("e1", "east"), f.startNode("e2", "east")
	f.loadCatalogue()
	gatherer := jwcatalogue.GathererOf([]jwpeer.Peer{
		{Name: killed.name, Region: "east", State: jwpeer.Serving}, {Name: survivor.name, Region: "east", State: jwpeer.Serving},
	}, "east")
	if survivor.name == gatherer {
		killed, survivor = survivor, killed
	}
	killed.kill()
	f.hostGroups = slices.DeleteFunc(f.hostGroups, func(g jwstand.HostGroup) bool { return g.Labels["name"] == killed.name })
	f.putControl(f.hosts.Control, "/hosts", f.hostGroups)
	f.waitFor("only the living host is named", func() bool {
		list, err := listHosts(survivor.Callers, "free-east")
		return err == nil && len(list) == 1 && list[0] == survivor.Callers
	})
	f.waitFor("a draft is served", func() bool { return send(survivor.Callers, "draft", "free-east", prompt("menu", 5, true)).complete() })
	path := f.write("again.json", json.RawMessage(strings.ReplaceAll(string(testCatalogue), `"30s"`, `"31s"`)))
	out, err := f.runCommand(survivor, "catalogue", "put", "--overwrite", "--reason", "after the kill", "--wait", "30s", path)
	assert.NilError(t, err, "%s", out)
}
