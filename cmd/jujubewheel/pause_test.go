package main

import (
	"encoding/json"
	"slices"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"jujubewheel/io/jwstand"
)

// lastChange returns the revision of an entry's last change.
func (f *fleet) lastChange(n *nodeProcess, entry string) string {
	f.t.Helper()
	out, err := f.runCommand(n, "catalogue", "get", entry)
	assert.NilError(f.t, err, "%s", out)
	var e struct {
		Revision json.Number `json:"revision"`
	}
	assert.NilError(f.t, json.Unmarshal([]byte(out), &e), "%s", out)
	return e.Revision.String()
}

// A host is paused for so long that the platform removes it from the host list.
// In that time an entry is removed, and this edit is accepted without the host.
// When the host resumes, its node still has the old catalogue and has not
// noticed the pause yet; requests that arrive at that moment must not be served
// by the removed entry.
func TestFrozenNodeWakes(t *testing.T) {
	f := newFleet(t, "east")
	f.startTarget("runner", "writer", "east", "--token", "1ms")
	paused, other := f.startNode("e1", "east"), f.startNode("e2", "east")
	f.loadCatalogue()
	for _, n := range f.nodes {
		f.waitFor("a draft is served", func() bool { return send(n.Callers, "draft", "free-east", prompt("menu", 1, false)).complete() })
	}
	paused.signal(syscall.SIGSTOP)
	listed := f.hostGroups
	f.hostGroups = slices.DeleteFunc(slices.Clone(listed), func(g jwstand.HostGroup) bool { return g.Labels["name"] == paused.name })
	f.putControl(f.hosts.Control, "/hosts", f.hostGroups)
	out, err := f.runCommand(other, "catalogue", "remove", "--reason", "no longer offered", "--wait", "30s", "--revision", f.lastChange(other, "draft"), "draft")
	assert.NilError(t, err, "%s", out)

	// The first requests wait in the paused host's accept queue.
	replies := make(chan reply, 8)
	for range cap(replies) {
		go func() { replies <- send(paused.Callers, "draft", "free-east", prompt("menu", 1, false)) }()
	}
	f.waitFor("the edit is still accepted", func() bool {
		out, err := f.runCommand(other, "catalogue", "status", "--json")
		var s struct {
			Accepted bool `json:"accepted"`
		}
		return err == nil && json.Unmarshal([]byte(out), &s) == nil && s.Accepted
	})
	paused.signal(syscall.SIGCONT)
	for range cap(replies) {
		r := <-replies
		assert.Assert(t, r.status != 200, "served by a removed entry: %+v", r)
	}

	f.hostGroups = listed
	f.putControl(f.hosts.Control, "/hosts", f.hostGroups)
	f.waitFor("the resumed node serves with the new catalogue", func() bool {
		r := send(paused.Callers, "draft", "free-east", prompt("menu", 1, false))
		return r.status == 404 && strings.Contains(r.body, "unknownEntry")
	})
}
