package jwlog

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The standard output of a node is not read. A request that waits until its log
// line is written would wait forever.
func TestUnreadLogNeverBlocks(t *testing.T) {
	r, w := io.Pipe() // a write waits until r is read
	q := &Queue{W: w}
	done := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		q.Run(done)
		close(ended)
	}()
	d := NewDecisions(q, q.DropFirst(), "n1")
	for range 20_000 {
		d.Write(&Decision{Step: "send", Request: "r", Outcome: "finished", DropFirst: true})
	}
	minorLost := q.Lost()
	assert.Assert(t, minorLost > 0)
	d.Write(&Decision{Step: "answer", Request: "failed", Outcome: "unknown"})
	assert.Equal(t, q.Lost(), minorLost, "the queue still accepts lines about failures")
	read := make(chan string)
	go func() {
		all, _ := io.ReadAll(r)
		read <- string(all)
	}()
	close(done)
	<-ended
	w.Close()
	all := <-read
	assert.Assert(t, strings.Contains(all, `"request":"failed"`))
	assert.Assert(t, strings.Contains(all, fmt.Sprintf(`"message":"log lines lost","lines":%d}`, minorLost)))
}

func TestDecisionLine(t *testing.T) {
	var out bytes.Buffer
	d := NewDecisions(&out, &out, "n1")
	d.Write(&Decision{Step: "send", Request: "r", Target: "t", Outcome: "failed", Reason: "reset", Status: 502, Left: 1500 * time.Millisecond, Cold: true})
	var line map[string]any
	assert.NilError(t, json.Unmarshal(out.Bytes(), &line))
	delete(line, "time")
	assert.DeepEqual(t, line, map[string]any{
		"level": "info", "message": "send", "node": "n1", "request": "r", "target": "t", "outcome": "failed", "reason": "reset",
		"status": 502.0, "leftMs": 1500.0, "cold": true,
	})
	(*Decisions)(nil).Write(&Decision{})
}

func BenchmarkDecision(b *testing.B) {
	q := &Queue{W: io.Discard}
	done := make(chan struct{})
	defer close(done)
	go q.Run(done)
	d := NewDecisions(q, q.DropFirst(), "n1")
	x := &Decision{Step: "send", Request: "9c41d07be2a35f68", Entry: "menu-draft", Service: "menu-writer", Target: "i-7f3a91c2", Outcome: "finished", Version: 7, Attempt: 1, Left: time.Second, Took: time.Second, DropFirst: true}
	b.ReportAllocs()
	for b.Loop() {
		d.Write(x)
	}
}
