package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// record writes what was sent, answered and run to record.txt in the folder of the case.
type record struct {
	quiet atomic.Bool // only what say says is written
	mu    sync.Mutex
	out   *bufio.Writer
	start time.Time
}

func (r *record) log(format string, args ...any) {
	if !r.quiet.Load() {
		r.say(format, args...)
	}
}

func (r *record) say(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	r.out.Flush()
}

// limits are the limits of the configurations.
var limits = map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 30000}

// system is a small deployment: the store, runners and nodes.
type system struct {
	*record
	dir       string // temporary
	program   string
	store     *store
	storeAddr string
	zones     map[string]string // region by zone
	seeds     []string
	nodes     []*node

	mu   sync.Mutex
	runs []run
}

// run is a request that a runner began to run.
type run struct {
	ID, Runner string
	At         time.Time
	End        string
}

func must(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case can't run:", err)
		panic(err)
	}
}

func newSystem(zones map[string]string) *system {
	f, err := os.Create("record.txt")
	must(err)
	dir, err := os.MkdirTemp("", "review")
	must(err)
	program, err := filepath.Abs("../../target/jujubewheel")
	must(err)
	s := &system{record: &record{out: bufio.NewWriter(f), start: time.Now()}, dir: dir, program: program, zones: zones, store: newStore()}
	s.storeAddr = serve("127.0.0.1:0", s.store).String()
	return s
}

// serve serves HTTP on an address and returns the one in use.
func serve(at string, h http.Handler) net.Addr {
	l, err := net.Listen("tcp", at)
	must(err)
	go func() { _ = (&http.Server{Handler: h}).Serve(l) }()
	return l.Addr()
}

// free returns an address of a port that is free.
func free() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	defer l.Close()
	return l.Addr().String()
}

// node is a process of the project.
type node struct {
	s                                   *system
	name, settings                      string
	callers, ready, directory, internal string
	cmd                                 *exec.Cmd
	ended                               chan struct{}
	exit                                string
	log                                 *os.File
}

// addNode writes the settings of a node, as deploy/node.jsonc.tmpl renders them.
func (s *system) addNode(name, zone string) *node {
	n := &node{s: s, name: name, callers: free(), ready: free(), directory: free(), internal: free()}
	n.settings = filepath.Join(s.dir, name+".jsonc")
	s.nodes = append(s.nodes, n)
	if len(s.seeds) < 3 {
		s.seeds = append(s.seeds, n.internal)
	}
	must(os.WriteFile(n.settings, []byte(n.render(zone)), 0o600))
	return n
}

func (n *node) render(zone string) string {
	var zones, seeds []string
	for z, r := range n.s.zones {
		zones = append(zones, fmt.Sprintf(`{"name":%q,"region":%q}`, z, r))
	}
	for _, a := range n.s.seeds {
		seeds = append(seeds, fmt.Sprintf("%q", a))
	}
	return fmt.Sprintf(`{"node":%q,"region":%q,"dataCentre":%q,"gateway":{
"listen":{"callers":%q,"ready":%q,"directory":%q,"nodes":%q},
"store":{"address":%q,"leaseMin":"1000ms"},"dataCentres":[%s],"seeds":[%s],
"memoryMB":284,"descriptors":4100,"cores":0.4,"linkMbps":1000,"overload":"auto",
"contracts":["base","drain","config","cost","retry","recover","engine","stream","places","platform"],
"bounds":{"grace":"8s","configInForce":"4000ms","retryRatio":0.2,"retrySlack":58,"retryWindow":"10s","coldRatio":1.5,"coldSlack":3}}}
`, n.name, n.s.zones[zone], zone, n.callers, n.ready, n.directory, n.internal, n.s.storeAddr, strings.Join(zones, ","), strings.Join(seeds, ","))
}

// start starts the node's process.
func (n *node) start() {
	f, err := os.OpenFile(filepath.Join(n.s.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	cmd := exec.Command(n.s.program, "serve")
	cmd.Env = append(os.Environ(), "JUJUBEWHEEL_SETTINGS="+n.settings)
	cmd.Stdout, cmd.Stderr = f, f
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(cmd.Start())
	ended := make(chan struct{})
	n.cmd, n.ended = cmd, ended
	n.s.log("%s is started", n.name)
	go func() {
		err := cmd.Wait()
		n.exit = fmt.Sprint(err)
		n.s.log("%s has ended: %v", n.name, err)
		close(ended)
	}()
}

// awaitReady waits until the node reports that it is ready.
func (n *node) awaitReady(d time.Duration) bool {
	for start := time.Now(); time.Since(start) < d; time.Sleep(20 * time.Millisecond) {
		res, err := http.Get("http://" + n.ready + "/v1/readyz")
		if err != nil {
			continue
		}
		res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// mustBeReady waits until the node is ready and has read the store.
func (n *node) mustBeReady() {
	if !n.awaitReady(10 * time.Second) {
		panic("the node isn't ready")
	}
	time.Sleep(2 * time.Second)
}

// kill ends the process of the node.
func (n *node) kill() {
	if n.cmd != nil {
		_ = n.cmd.Process.Kill()
		<-n.ended
	}
}

// close ends all processes.
func (s *system) close() {
	for _, n := range s.nodes {
		n.kill()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("logs:", s.dir)
	}
}

// work is what a runner does for a request.
type work func(x *runner, w http.ResponseWriter, r *http.Request, body []byte)

// runner is a stand-in for a runner.
type runner struct {
	s                       *system
	id, service, zone, addr string
	version                 string
	born                    int64
	slots                   int
	state                   string
	stop                    chan struct{}
	work                    work
	server                  *http.Server
	pace                    bool // its load has the fourth figure

	mu  sync.Mutex
	seq int
}

// addRunner starts a runner that registers itself.
func (s *system) addRunner(id, service, zone string, slots int, work work) *runner {
	x := &runner{s: s, id: id, service: service, zone: zone, version: "v1", born: time.Now().UnixMilli(), slots: slots, state: "ready", stop: make(chan struct{}), work: work}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	x.addr = l.Addr().String()
	x.server = &http.Server{Handler: x}
	go func() { _ = x.server.Serve(l) }()
	go x.beat()
	return x
}

// leave reports that the runner drains, serves on for a while, and ends it.
func (x *runner) leave(drain time.Duration) {
	x.setState("draining")
	time.Sleep(drain)
	close(x.stop)
	x.s.store.Delete("servers/" + x.id)
	time.Sleep(500 * time.Millisecond)
	_ = x.server.Close()
	x.s.say("runner %s has ended", x.id)
}

func (x *runner) setState(state string) {
	x.mu.Lock()
	x.state = state
	x.mu.Unlock()
	x.register()
}

func (x *runner) beat() {
	for {
		x.register()
		select {
		case <-x.stop:
			return
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

// register writes the registration.
func (x *runner) register() {
	x.mu.Lock()
	defer x.mu.Unlock()
	select {
	case <-x.stop:
		return
	default:
	}
	x.seq++
	x.s.store.Put("servers/"+x.id, map[string]any{
		"Service": x.service, "Addr": x.addr, "Zone": x.zone, "Version": x.version, "Slots": x.slots,
		"State": x.state, "WarmupLeftMs": 0, "Seq": x.seq, "born": x.born,
	})
}

// ServeHTTP implements http.Handler.
func (x *runner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	load := fmt.Sprintf("1,0,%d", x.slots)
	if x.pace {
		load += ",100"
	}
	h.Set("Jujubewheel-Server-Load", load)
	id := r.Header.Get("Jujubewheel-Request-Id")
	if r.URL.Path == "/healthz" {
		h.Set("Jujubewheel-Instance-Id", x.id)
		return
	}
	h.Set("Jujubewheel-Request-Id", id)
	if e := r.Header.Get("Jujubewheel-Expect-Instance"); e != "" && e != x.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	x.s.mu.Lock()
	x.s.runs = append(x.s.runs, run{ID: id, Runner: x.id, At: time.Now()})
	x.s.mu.Unlock()
	x.s.log("runner %s (%s) runs %s %s", x.id, x.service, id, r.URL.Path)
	h.Set("Jujubewheel-Server-Seal", "seal."+x.id)
	x.work(x, w, r, body)
}

// stream answers with numbered events.
func stream(events int, gap time.Duration) work {
	return func(x *runner, w http.ResponseWriter, r *http.Request, _ []byte) {
		id := r.Header.Get("Jujubewheel-Request-Id")
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("Jujubewheel-Weight-Versions", "1")
		for i := int(number(r.Header.Get("Last-Event-Id"))) + 1; i <= events; i++ {
			time.Sleep(gap)
			if r.Context().Err() != nil {
				x.s.log("runner %s drops %s before event %d: its caller is gone", x.id, id, i)
				return
			}
			fmt.Fprintf(w, "id: %d\ndata: event %d of %s\n\n", i, i, id)
			_ = http.NewResponseController(w).Flush()
		}
		x.s.log("runner %s ends %s", x.id, id)
	}
}

// answer is what a client got.
type answer struct {
	ID       string
	Status   int    // 0 for none
	Seal     string // of the runner
	Body     string
	Complete bool
	Err      error
	Sent, At time.Time
}

// client keeps connections to one node.
type client struct {
	s    *system
	http http.Client
}

func (s *system) newClient() *client {
	return &client{s: s, http: http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64}}}
}

// send sends a request and waits for its answer.
func (c *client) send(n *node, id, method, path string, deadline time.Duration, body string, more ...string) answer {
	a := answer{ID: id, Sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline+500*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.callers+path, strings.NewReader(body))
	must(err)
	req.Host = "h.example"
	req.Header.Set("Jujubewheel-Request-Id", id)
	req.Header.Set("Jujubewheel-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	for i := 0; i+1 < len(more); i += 2 {
		req.Header.Set(more[i], more[i+1])
	}
	c.s.log("client sends %s %s %s to %s, deadline %v", id, method, path, n.name, deadline)
	res, err := c.http.Do(req)
	if err == nil {
		defer res.Body.Close()
		a.Status, a.Seal = res.StatusCode, res.Header.Get("Jujubewheel-Server-Seal")
		var b bytes.Buffer
		_, err = io.Copy(&b, res.Body)
		a.Body, a.Complete = b.String(), err == nil
	}
	a.Err, a.At = err, time.Now()
	c.s.log("client gets %s: status %d, %d bytes, complete %v, %v", id, a.Status, len(a.Body), a.Complete, err)
	return a
}

// config writes a configuration.
func (s *system) config(c map[string]any) {
	raw, _ := json.Marshal(c)
	s.log("operator writes the configuration %s", raw)
	s.store.Put("op/config", c)
	s.log("the store has acknowledged the configuration")
}
