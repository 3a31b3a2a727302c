package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"jujubewheel/io/jwstand"
)

// mintTicket has a node mint an idempotency key.
func mintTicket(at netip.AddrPort) (string, error) {
	resp, err := http.Post("http://"+at.String()+"/v1/tickets", "", nil)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	var ticket struct {
		Key string `json:"key"`
	}
	return ticket.Key, json.NewDecoder(resp.Body).Decode(&ticket)
}

// oneEntryCatalogue returns a catalogue with one entry of the given name, which
// is otherwise the draft of testCatalogue.
func oneEntryCatalogue(name string) string {
	const last = `"maxBodySize": 1048576}`
	first, _, _ := strings.Cut(string(testCatalogue), last)
	return strings.Replace(first, `"draft"`, `"`+name+`"`, 1) + last + "]}"
}

// revision returns the revision of the catalogue in force at a node, 0 if it
// can't be read.
func (f *fleet) revision(n *nodeProcess) uint64 {
	out, err := f.runCommand(n, "catalogue", "get", "--json")
	var c struct {
		Revision uint64 `json:"revision"`
	}
	if err != nil || json.Unmarshal([]byte(out), &c) != nil {
		return 0
	}
	return c.Revision
}

// nodeBehindRelay starts a node that other nodes reach through the relay.
func (f *fleet) nodeBehindRelay(relay *nodeRelay, name, region string) *nodeProcess {
	at, join := relay.listen(region)
	n := f.startNode(name, region, at)
	join(n)
	return n
}

// A network partition separates one region from the others and from the
// platform's key-value service and directory. The region must continue to serve
// its own callers: drafts and confirmations by ticket, also at a node that is
// started there during the partition. An edit made in another region must not be
// reported as in force everywhere, as the operator would rely on a limit that the
// separated region does not apply. After the partition the edit must come into
// force there by itself, and no node may ever return to an older revision.
func TestIsolatedRegion(t *testing.T) {
	f := newFleet(t, "east", "west")
	f.startTarget("runner", "writer", "east", "--token", "1ms")
	f.startTarget("runner", "writer", "west", "--token", "1ms")
	desk := f.startTarget("service", "desk", "west")
	links := f.startStandIn("link", "kv=127.0.0.1:0,"+f.kv.Address.String(), "clients=127.0.0.1:0,"+f.clients.Address.String())
	f.platformAddresses = map[string][]netip.AddrPort{"west": links.Links}
	relay := &nodeRelay{t: t}
	e1 := f.nodeBehindRelay(relay, "e1", "east")
	w1 := f.nodeBehindRelay(relay, "w1", "west")
	f.loadCatalogue()
	serves := func(n *nodeProcess) bool {
		return send(n.Callers, "draft", "free-west", prompt("menu", 5, true)).complete() &&
			send(n.Callers, "draft", "bound-west", prompt("menu", 5, false)).complete()
	}
	f.waitFor("drafts", func() bool { return serves(w1) })
	f.waitFor("confirmations", func() bool {
		key, err := mintTicket(w1.Callers)
		return err == nil && send(w1.Callers, "confirm", "bound-west", "{}", "Idempotency-Key", key).complete()
	})

	checkRevisions := f.checkRevisionsNeverFall(w1, e1)
	relay.setPartition("west")
	f.putControl(links.Control, "/links", jwstand.Conditions{Cut: true})
	path := f.write("edit.json", json.RawMessage(oneEntryCatalogue("sheet")))
	out, err := f.runCommand(e1, "catalogue", "put", "--reason", "test", "--wait", "2s", path)
	assert.Assert(t, err != nil && strings.Contains(out, "not yet in force"), "%v %s", err, out)
	assert.Equal(t, f.revision(e1), uint64(3))

	for i := range 20 {
		assert.Assert(t, serves(w1), "draft %d", i)
	}
	w2 := f.nodeBehindRelay(relay, "w2", "west")
	f.waitFor("a new node of the region serves", func() bool { return serves(w2) })
	before := len(f.readJournal(desk))
	for i, n := range []*nodeProcess{w1, w2} {
		key, err := mintTicket(n.Callers)
		assert.NilError(t, err)
		body := fmt.Sprintf(`{"order":%d}`, i)
		first := send(n.Callers, "confirm", "bound-west", body, "Idempotency-Key", key)
		assert.Assert(t, first.complete(), "%+v", first)
		for _, at := range []*nodeProcess{w1, w2} {
			retry := send(at.Callers, "confirm", "bound-west", body, "Idempotency-Key", key)
			assert.Equal(t, retry.body, first.body, "%+v", retry)
		}
	}
	assert.Equal(t, len(f.readJournal(desk)), before+2)
	ownReply := send(w1.Callers, "confirm", "bound-west", "{}", "Idempotency-Key", "own")
	assert.Assert(t, ownReply.outcome == "notRun" || ownReply.outcome == "unknown", "%+v", ownReply)
	assert.Equal(t, len(f.readJournal(desk)), before+2)

	out, err = f.runCommand(e1, "catalogue", "status", "--revision", "3")
	assert.Assert(t, err != nil && strings.Contains(out, "w1"), "accepted during the partition: %v %s", err, out)
	assert.Equal(t, f.revision(w1), uint64(2))
	assert.Equal(t, f.revision(w2), uint64(2))

	f.putControl(links.Control, "/links", map[string]bool{"cut": false})
	relay.setPartition("")
	f.waitFor("the change is accepted", func() bool {
		_, err := f.runCommand(e1, "catalogue", "status", "--revision", "3")
		return err == nil
	})
	for _, n := range f.nodes {
		assert.Equal(t, f.revision(n), uint64(3), n.name)
	}
	f.waitFor("keys chosen by callers are claimed again", func() bool {
		return send(w2.Callers, "confirm", "bound-west", "{}", "Idempotency-Key", "own").complete()
	})
	assert.Equal(t, len(f.readJournal(desk)), before+3)
	checkRevisions()
}

// checkRevisionsNeverFall polls the revisions of nodes until the returned
// function is called, and fails the test if one of them falls.
func (f *fleet) checkRevisionsNeverFall(nodes ...*nodeProcess) func() {
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		last := make(map[string]uint64)
		for {
			for _, n := range nodes {
				if r := f.revision(n); r > 0 {
					assert.Check(f.t, r >= last[n.name], "revision of %s fell from %d to %d", n.name, last[n.name], r)
					last[n.name] = r
				}
			}
			select {
			case <-stop:
				return
			default:
			}
		}
	})
	return func() {
		close(stop)
		wg.Wait()
	}
}
