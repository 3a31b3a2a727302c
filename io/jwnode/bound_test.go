package jwnode

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"gotest.tools/v3/assert"

	"jujubewheel/core/jwdispatch"
	"jujubewheel/core/jwrequest"
	"jujubewheel/core/jwsuspect"
	"jujubewheel/io/jwforward"
	"jujubewheel/io/jwstand"
)

// secret marks the bound data in the traffic and the stored records.
const secret = "langoustine-7c1f"

// logLines collects the log lines of several nodes.
type logLines struct {
	mu  sync.Mutex
	all bytes.Buffer
}

func (l *logLines) add(prefix, args string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all.WriteString(prefix + args + "\n")
}

// revealingForms returns the byte sequences that would reveal a body: the secret
// in it, its answer, and its hashes in binary and hexadecimal form.
func revealingForms(entry, body, answer string) [][]byte {
	fingerprint := jwsuspect.FingerprintOf(entry, []byte(body))
	sum := sha256.Sum256([]byte(body))
	out := [][]byte{[]byte(secret), []byte(answer), fingerprint[:], sum[:]}
	return append(out, []byte(hex.EncodeToString(fingerprint[:])), []byte(hex.EncodeToString(sum[:])))
}

// Bound data must not leave its home region, by law. It could leave unnoticed by
// a retry, a failover, a report of a crash, a log line or a record in the
// platform's key-value service. The test makes targets fail, crash and run out,
// sends requests to the wrong region and forwards them there by mistake, and
// searches every byte between the regions and to the platform for the data.
func TestBoundDataStays(t *testing.T) {
	t.Parallel()
	s := newSystem(t, "east", "west")
	var log logLines
	s.log = funcr.New(log.add, funcr.Options{Verbosity: 9})
	s.taps = &taps{}
	runnerWest, _ := s.runner("west")
	deskWest, _ := s.service("west")
	_, target1 := s.runner("east")
	_, target2 := s.runner("east")
	desk, _ := s.service("east")
	home := s.node("e1", "east")
	away := s.node("w1", "west")
	s.node("w2", "west")
	s.edit(home, draft())
	s.edit(home, confirmation())
	local := draft()
	local.Name, local.Regions = "local", nil
	s.edit(home, local)
	s.awaitRevision(3)
	s.await("targets", func() bool { return len(home.board.Targets.Polled()) == 3 && len(away.board.Targets.Polled()) == 2 })
	s.await("load of west at east", func() bool { return len(home.board.Regions.Loads("writer", time.Now())) > 0 })

	text := secret + strings.Repeat(" menu", 20)
	body := prompt(text, 40, true)
	homeAddr := home.CallersAddr()
	sendDraft := func() reply { return s.send(homeAddr, "draft", "bound-east", body, nil) }
	assert.Equal(t, sendDraft().outcome, "served")
	assert.Equal(t, s.send(homeAddr, "draft", "bound-east", prompt(text, 3, false), nil).outcome, "served")
	order := `{"order": "` + secret + `"}`
	assert.Equal(t, s.send(homeAddr, "confirm", "bound-east", order, header{"Idempotency-Key": "k"}).outcome, "served")
	assert.Equal(t, len(desk.Journal.Runs()), 1)

	// The first target fails in the middle of a stream, then no target is left.
	go func() {
		time.Sleep(15 * time.Millisecond)
		target1.SetFaults(jwstand.Faults{Down: true})
	}()
	sendDraft()
	target2.SetFaults(jwstand.Faults{Down: true})
	s.await("no target in the home region", func() bool {
		r := sendDraft()
		t.Logf("%+v", r)
		return r.status == http.StatusServiceUnavailable && r.outcome == "notRun"
	})
	target1.SetFaults(jwstand.Faults{})
	target2.SetFaults(jwstand.Faults{})
	s.await("targets back", func() bool { return sendDraft().outcome == "served" })

	// A body crashes both targets and is quarantined.
	target1.SetFaults(jwstand.Faults{CrashOn: "poison"})
	target2.SetFaults(jwstand.Faults{CrashOn: "poison"})
	poison := prompt(text+"poison", 40, true)
	s.await("quarantine", func() bool {
		return s.send(homeAddr, "draft", "bound-east", poison, nil).status == http.StatusUnprocessableEntity
	})
	// The other region does get fingerprints of requests that aren't bound. Without
	// this check, their absence for bound ones would prove nothing.
	free := prompt("free poison", 40, true)
	s.await("quarantine of a request that isn't bound", func() bool {
		return s.send(homeAddr, "local", "free-east", free, nil).status == http.StatusUnprocessableEntity
	})
	fingerprint := jwsuspect.FingerprintOf("local", []byte(free))
	s.await("west gets the fingerprint", func() bool {
		state, _ := away.board.Suspects.Check(fingerprint, time.Now())
		return state == jwsuspect.Quarantined
	})

	// A bound request that reaches the wrong region is rejected before its body is
	// read.
	checkRejectedBeforeBody(t, away, home)

	for name, passed := range s.taps.traffic() {
		for _, form := range append(revealingForms("draft", body, jwstand.TokenOf(text, 1)), revealingForms("draft", poison, order)...) {
			assert.Assert(t, !bytes.Contains(passed, form), "%q in the traffic of %s", form, name)
		}
		assert.Assert(t, len(passed) > 0, name)
	}
	assert.Assert(t, bytes.Contains(s.taps.traffic()["west/w1"], fingerprint[:]) || bytes.Contains(s.taps.traffic()["west/w2"], fingerprint[:]) ||
		bytes.Contains(s.taps.traffic()["east/e1"], fingerprint[:]), "the relays did not record the fingerprint")

	// A node has the wrong home region for bound data and forwards a request
	// there.
	for entry, key := range map[string]string{"draft": "", "confirm": "k2"} {
		forged := &jwrequest.Request{
			ID: "forged", Workspace: "bound-east", Entry: entry, Key: key, Body: []byte(body),
			Deadline: time.Now().Add(10 * time.Second), ContentType: "application/json",
			Hops: jwrequest.Hops{{Node: "x1", Region: "north", DataCentre: "north-1"}},
		}
		a, err := (&jwforward.Pool{}).Forward(t.Context(), away.board.Peers.Self(), forged, jwdispatch.ForwardRegion)
		assert.NilError(t, err)
		_, _ = io.ReadAll(a.Body)
		assert.Equal(t, a.Head.Status, http.StatusMisdirectedRequest)
	}
	assert.Equal(t, len(runnerWest.Journal.Runs())+len(deskWest.Journal.Runs()), 0)
	s.checkStored(&log, append(revealingForms("draft", body, jwstand.TokenOf(text, 1)), revealingForms("draft", poison, order)...))
}

// checkRejectedBeforeBody sends only the headers of a bound request to the wrong
// region and checks that the answer names a host of the home region.
func checkRejectedBeforeBody(t *testing.T, away, home *runningNode) {
	t.Helper()
	conn, err := net.Dial("tcp", away.CallersAddr().String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
	_, err = io.WriteString(conn, "POST /v1/requests/draft HTTP/1.1\r\nHost: a\r\nJujube-Workspace: bound-east\r\nContent-Length: 5000\r\nExpect: 100-continue\r\n\r\n")
	assert.NilError(t, err)
	answer := make([]byte, 4096)
	n, err := conn.Read(answer)
	assert.NilError(t, err)
	assert.Assert(t, strings.HasPrefix(string(answer[:n]), "HTTP/1.1 421"), "%s", answer[:n])
	assert.Assert(t, bytes.Contains(answer[:n], []byte(home.CallersAddr().String())), "%s", answer[:n])
	assert.Assert(t, !bytes.Contains(answer[:n], []byte(away.CallersAddr().String())), "%s", answer[:n])
}

// checkStored searches the log, the audit trails and the key-value store for the
// data.
func (s *system) checkStored(log *logLines, forms [][]byte) {
	s.t.Helper()
	stored := map[string][]byte{}
	log.mu.Lock()
	stored["log"] = bytes.Clone(log.all.Bytes())
	log.mu.Unlock()
	for name, n := range s.nodes {
		var err error
		stored["audit of "+name], err = json.Marshal(n.Audit.After(0, 1<<20))
		assert.NilError(s.t, err)
	}
	items, err := s.kv.Store.List(context.Background(), "")
	assert.NilError(s.t, err)
	for _, item := range items {
		stored["key "+item.Key] = item.Value
	}
	assert.Assert(s.t, len(items) > 3)
	for where, data := range stored {
		for _, form := range forms {
			assert.Assert(s.t, !bytes.Contains(data, form), "%q in %s", form, where)
		}
	}
}
