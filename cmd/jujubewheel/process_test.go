package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"jujubewheel/io/jwstand"
)

// waitTimeout is how long a test waits at most for an expected state.
const waitTimeout = 30 * time.Second

const testToken = "a token for tests only"

// buildPrograms builds jujubewheel and jujubestand once and returns their
// directory.
var buildPrograms = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "jujubewheel")
	if err != nil {
		return "", err
	}
	out, err := exec.Command("go", "build", "-o", dir, "jujubewheel/cmd/jujubewheel", "jujubewheel/cmd/jujubestand").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build: %w: %s", err, out)
	}
	return dir, nil
})

func TestMain(m *testing.M) {
	code := m.Run()
	if dir, err := buildPrograms(); err == nil {
		_ = os.RemoveAll(dir)
	}
	os.Exit(code)
}

// process is a running program of the system and its output.
type process struct {
	t       testing.TB
	cmd     *exec.Cmd
	ended   chan struct{} // closed when the process has ended
	mu      sync.Mutex
	lines   [][]byte      // of standard output and standard error
	arrived chan struct{} // receives a value when lines were added
}

// startProgram starts a program; it is killed when the test ends, and its last
// lines are logged if the test failed.
func startProgram(t testing.TB, program string, args ...string) *process {
	t.Helper()
	dir, err := buildPrograms()
	assert.NilError(t, err)
	p := &process{t: t, cmd: exec.Command(filepath.Join(dir, program), args...), ended: make(chan struct{}), arrived: make(chan struct{}, 1)}
	r, w := io.Pipe()
	p.cmd.Stdout, p.cmd.Stderr = w, w
	assert.NilError(t, p.cmd.Start())
	go p.read(r)
	go func() {
		_ = p.cmd.Wait()
		_ = w.Close()
		close(p.ended)
	}()
	t.Cleanup(func() {
		p.kill()
		if t.Failed() {
			t.Logf("%s %v:\n%s", program, args, p.lastLines(40))
		}
	})
	return p
}

func (p *process) read(r io.Reader) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, 1<<20)
	for s.Scan() {
		p.mu.Lock()
		p.lines = append(p.lines, bytes.Clone(s.Bytes()))
		p.mu.Unlock()
		select {
		case p.arrived <- struct{}{}:
		default:
		}
	}
}

func (p *process) lastLines(n int) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	return bytes.Join(p.lines[max(len(p.lines)-n, 0):], []byte("\n"))
}

// kill kills the process and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// waitForLine waits for a line that contains text and decodes the line as JSON
// into v.
func (p *process) waitForLine(text string, v any) {
	p.t.Helper()
	deadline := time.After(waitTimeout)
	for seen := 0; ; {
		p.mu.Lock()
		lines := p.lines[seen:]
		seen = len(p.lines)
		p.mu.Unlock()
		for _, l := range lines {
			if bytes.Contains(l, []byte(text)) {
				assert.NilError(p.t, json.Unmarshal(l, v), "%s", l)
				return
			}
		}
		select {
		case <-p.arrived:
		case <-p.ended:
			p.t.Fatalf("%v ended before %q:\n%s", p.cmd.Args, text, p.lastLines(20))
		case <-deadline:
			p.t.Fatalf("%v: no line with %q:\n%s", p.cmd.Args, text, p.lastLines(20))
		}
	}
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// ports holds the addresses on which a node listens.
type ports struct {
	Callers   netip.AddrPort `json:"callers"`
	Operators netip.AddrPort `json:"operators"`
	Nodes     netip.AddrPort `json:"nodes"`
}

// nodeProcess is a node that runs as a process.
type nodeProcess struct {
	*process
	ports
	name, region string
}

// killNodes kills all nodes before the end of the test.
func (f *fleet) killNodes() {
	for _, n := range f.nodes {
		n.kill()
	}
}

// fleet is a complete system, each part of which runs as a process.
type fleet struct {
	t                  testing.TB
	dir                string
	kv, hosts, clients jwstand.Ready
	regions            []string
	hostGroups         []jwstand.HostGroup
	nodes              []*nodeProcess
	// platformAddresses overrides the addresses by which the nodes of a region
	// reach the key-value service and the client directory, in this order.
	platformAddresses map[string][]netip.AddrPort
}

// newFleet starts the stand-ins of the platform; nodes and targets are started
// by startNode and startTarget.
func newFleet(t testing.TB, regions ...string) *fleet {
	t.Helper()
	f := &fleet{t: t, dir: t.TempDir(), regions: regions}
	var list []jwstand.Client
	for _, r := range regions {
		list = append(list,
			jwstand.Client{Name: "free-" + r, Region: r, Owner: "o"},
			jwstand.Client{Name: "bound-" + r, Region: r, Owner: "o", Bound: true})
	}
	f.kv = f.startStandIn("kv")
	f.hosts = f.startStandIn("hosts")
	f.clients = f.startStandIn("clients", "--file", f.write("clients.json", list))
	return f
}

func (f *fleet) write(name string, v any) string {
	f.t.Helper()
	data, err := json.Marshal(v)
	assert.NilError(f.t, err)
	path := filepath.Join(f.dir, name)
	assert.NilError(f.t, os.WriteFile(path, data, 0o600))
	return path
}

func (f *fleet) startStandIn(kind string, args ...string) jwstand.Ready {
	f.t.Helper()
	p := startProgram(f.t, "jujubestand", append([]string{kind}, args...)...)
	var ready jwstand.Ready
	p.waitForLine(`"control"`, &ready)
	return ready
}

// startTarget starts a stand-in for a target and adds it to the host list.
func (f *fleet) startTarget(kind, service, region string, args ...string) jwstand.Ready {
	ready := f.startStandIn(kind, args...)
	f.addToHostList(ready.Address, map[string]string{"role": "target", "service": service, "region": region, "dataCentre": region + "-1"})
	return ready
}

func (f *fleet) addToHostList(addr netip.AddrPort, labels map[string]string) {
	f.t.Helper()
	labels["state"] = "live"
	f.hostGroups = append(f.hostGroups, jwstand.HostGroup{Targets: []string{addr.String()}, Labels: labels})
	f.putControl(f.hosts.Control, "/hosts", f.hostGroups)
}

func (f *fleet) putControl(control netip.AddrPort, path string, v any) {
	f.t.Helper()
	data, err := json.Marshal(v)
	assert.NilError(f.t, err)
	r, err := http.NewRequest(http.MethodPut, "http://"+control.String()+path, bytes.NewReader(data))
	assert.NilError(f.t, err)
	resp, err := http.DefaultClient.Do(r)
	assert.NilError(f.t, err)
	defer func() { _ = resp.Body.Close() }()
	assert.Assert(f.t, resp.StatusCode < 300, "%s %s: %s", control, path, resp.Status)
}

// startNode starts a node and adds it to the host list. Other nodes connect to
// it through the address relay, if one is given.
func (f *fleet) startNode(name, region string, relay ...netip.AddrPort) *nodeProcess {
	f.t.Helper()
	var regions []string
	for _, r := range f.regions {
		regions = append(regions, fmt.Sprintf(`{"name": %q, "dataCentres": [%q]}`, r, r+"-1"))
	}
	advertise := ""
	if len(relay) > 0 {
		advertise = fmt.Sprintf(`"advertise": {"nodes": %q},`, relay[0])
	}
	text := fmt.Sprintf(`{
		"node": %q, "region": %q, "dataCentre": %q, %s
		"listen": {"callers": "127.0.0.1:0", "operators": "127.0.0.1:0", "nodes": "127.0.0.1:0"},
		"platform": {"keyValue": %q, "hosts": %q, "directory": %q},
		"operators": {"token": %q},
		"periods": {"exchange": "100ms", "hostsPoll": "100ms", "loadPoll": "100ms", "hostsLag": "3s"},
		"regions": [%s]
	}`, name, region, region+"-1", advertise, f.kv.Address, f.hosts.Address, f.clients.Address, testToken, strings.Join(regions, ", "))
	if by := f.platformAddresses[region]; by != nil {
		text = strings.Replace(text, f.kv.Address.String(), by[0].String(), 1)
		text = strings.Replace(text, f.clients.Address.String(), by[1].String(), 1)
	}
	path := filepath.Join(f.dir, name+".jsonc")
	assert.NilError(f.t, os.WriteFile(path, []byte(text), 0o600))
	n := &nodeProcess{process: startProgram(f.t, "jujubewheel", "serve", path), name: name, region: region}
	n.waitForLine(`"listening"`, &n.ports)
	nodes := n.Nodes
	if len(relay) > 0 {
		nodes = relay[0]
	}
	f.addToHostList(n.Callers, map[string]string{"role": "entry", "name": name, "region": region, "dataCentre": region + "-1", "nodes": nodes.String()})
	f.nodes = append(f.nodes, n)
	return n
}

// runCommand runs a command of jujubewheel against a node and returns its output.
func (f *fleet) runCommand(n *nodeProcess, args ...string) (string, error) {
	f.t.Helper()
	dir, err := buildPrograms()
	assert.NilError(f.t, err)
	cmd := exec.Command(filepath.Join(dir, "jujubewheel"), append(args, "--at", n.Operators.String())...)
	cmd.Env = append(os.Environ(), "JUJUBE_TOKEN="+testToken, "JUJUBE_AUTHOR=test")
	out, err := cmd.CombinedOutput()
	return string(out), err
}

// waitReady waits until all running nodes are ready and have at least a revision
// of the catalogue in force.
func (f *fleet) waitReady(revision uint64) {
	f.t.Helper()
	for _, n := range f.nodes {
		f.waitFor(n.name+" ready", func() bool {
			select {
			case <-n.ended:
				return true
			default:
			}
			resp, err := http.Get("http://" + n.Operators.String() + "/readyz")
			if err != nil {
				return false
			}
			_ = resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				return false
			}
			out, err := f.runCommand(n, "catalogue", "get", "--json")
			var c struct {
				Revision uint64 `json:"revision"`
			}
			return err == nil && json.Unmarshal([]byte(out), &c) == nil && c.Revision >= revision
		})
	}
}

func (f *fleet) waitFor(what string, condition func() bool) {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("waiting for: %s", what)
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(50*time.Millisecond))
}

// reply is an answer as its caller sees it.
type reply struct {
	status   int
	outcome  string
	servedBy string // region that served the request
	body     string
	hosts    []netip.AddrPort // hosts that a rejection names
	err      error            // no answer came, or an incomplete one
}

// complete reports whether the answer came and is complete.
func (r reply) complete() bool {
	if r.err != nil || r.status != http.StatusOK || r.outcome != "served" {
		return false
	}
	return !strings.HasPrefix(r.body, "id:") && !strings.HasPrefix(r.body, "data:") || strings.Contains(r.body, "event: done")
}

// send sends a request; header lists names and values in turn.
func send(to netip.AddrPort, entry, workspace, body string, header ...string) reply {
	r, err := http.NewRequest(http.MethodPost, "http://"+to.String()+"/v1/requests/"+entry, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	r.Header.Set("Jujube-Workspace", workspace)
	r.Header.Set("Content-Type", "application/json")
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	out := reply{status: resp.StatusCode, outcome: resp.Header.Get("Jujube-Outcome"), servedBy: resp.Header.Get("Jujube-Served-By"), body: string(data), err: err}
	if out.outcome == "" {
		out.outcome = resp.Trailer.Get("Jujube-Outcome")
	}
	var rejection struct {
		Hosts []netip.AddrPort `json:"hosts"`
	}
	if json.Unmarshal(data, &rejection) == nil {
		out.hosts = rejection.Hosts
	}
	return out
}

// listHosts returns the hosts that a node names for a workspace.
func listHosts(to netip.AddrPort, workspace string) ([]netip.AddrPort, error) {
	resp, err := http.Get("http://" + to.String() + "/v1/hosts?workspace=" + workspace)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	var list struct {
		Hosts []netip.AddrPort `json:"hosts"`
	}
	return list.Hosts, json.NewDecoder(resp.Body).Decode(&list)
}

// readJournal returns the runs in a target's journal.
func (f *fleet) readJournal(target jwstand.Ready) []jwstand.Run {
	f.t.Helper()
	resp, err := http.Get("http://" + target.Control.String() + "/journal")
	assert.NilError(f.t, err)
	defer func() { _ = resp.Body.Close() }()
	var runs []jwstand.Run
	assert.NilError(f.t, json.NewDecoder(resp.Body).Decode(&runs))
	return runs
}

func prompt(text string, tokens int, stream bool) string {
	data, _ := json.Marshal(jwstand.Completion{Model: "m", Prompt: text, MaxTokens: tokens, Stream: stream})
	return string(data)
}

// testCatalogue has two entries, a draft and a confirmation.
var testCatalogue = json.RawMessage(`{"entries": [
	{"name": "draft", "owner": "o", "class": "draft", "service": "writer", "path": "/v1/completions",
	 "idempotent": true, "bound": false, "deadline": "30s", "firstToken": "5s", "progress": "5s",
	 "limits": {"rate": 0, "burst": 0, "concurrent": 0}, "weights": {"cost": 1, "tail": 1, "sentAway": 1},
	 "regions": ["*"], "keyMemory": "0s", "maxBodySize": 1048576},
	{"name": "confirm", "owner": "o", "class": "confirmation", "service": "desk", "path": "/confirm",
	 "idempotent": false, "bound": false, "deadline": "10s", "firstToken": "0s", "progress": "5s",
	 "limits": {"rate": 0, "burst": 0, "concurrent": 0}, "weights": {"cost": 1, "tail": 1, "sentAway": 1},
	 "keyMemory": "1h", "maxBodySize": 65536}
]}`)

// loadCatalogue writes testCatalogue and waits until all nodes have it in force.
func (f *fleet) loadCatalogue() {
	f.t.Helper()
	f.waitReady(0)
	path := f.write("catalogue.json", testCatalogue)
	out, err := f.runCommand(f.nodes[0], "catalogue", "put", "--reason", "test", "--wait", "20s", path)
	assert.NilError(f.t, err, "%s", out)
	f.waitReady(2)
}
