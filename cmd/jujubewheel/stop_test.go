package main

import (
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"jujubewheel/io/jwstand"
)

// A node gets SIGTERM twice while it streams a draft that takes nine seconds.
// Neither the second signal nor the one that go-zero sends by default after 5.5 s
// may interrupt the draft: it must be complete, and the node must then exit with
// code 0.
func TestLongStop(t *testing.T) {
	f := newFleet(t, "east")
	runner := f.startTarget("runner", "writer", "east", "--token", "100ms")
	n := f.startNode("e1", "east")
	f.loadCatalogue()
	f.waitFor("a draft is served", func() bool {
		return send(n.Callers, "draft", "free-east", prompt("ready?", 1, true)).complete()
	})
	before := len(f.readJournal(runner))
	answer := make(chan reply, 1)
	go func() { answer <- send(n.Callers, "draft", "free-east", prompt("menu", 90, true)) }()
	f.waitFor("the draft runs", func() bool {
		runs := f.readJournal(runner)
		return len(runs) > before && runs[len(runs)-1].State == jwstand.Running
	})
	n.signal(syscall.SIGTERM)
	n.signal(syscall.SIGTERM)
	r := <-answer
	assert.Assert(t, r.complete(), "%+v", r)
	<-n.ended
	assert.Equal(t, n.cmd.ProcessState.ExitCode(), 0)
}
