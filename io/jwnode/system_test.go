package jwnode

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"jujubewheel/core/jwcatalogue"
	"jujubewheel/core/jwpeer"
	"jujubewheel/io/jwaudit"
	"jujubewheel/io/jwsettings"
	"jujubewheel/io/jwstand"
)

// system is a complete small system on loopback interfaces: stand-ins for the
// platform's services and for targets, and nodes of several regions, all in this
// process.
type system struct {
	t                   testing.TB
	kv                  *jwstand.KeyValue
	kvStandIn           *jwstand.StandIn
	hosts               *jwstand.Hosts
	clients             *jwstand.Clients
	hostsAddr           netip.AddrPort
	clientsAddr         netip.AddrPort
	nodes               map[string]*runningNode
	groups              []jwstand.HostGroup
	regions             []string
	tls                 func(name, region string) jwsettings.TLS // nil for plain ports
	taps                *taps                                    // record the nodes' traffic; nil for none
	links               map[string]*jwstand.Link                 // in front of the nodes' ports, by name of the node; nil for none
	log                 logr.Logger
	platform            []*jwstand.StandIn // the key-value service, the host list, the directory
	seeds               []jwsettings.Seed  // for the settings of the nodes that start from now on
	exchange, hostsPoll string             // periods in the settings of new nodes; empty for 100ms
}

// runningNode is a node that runs until it is stopped.
type runningNode struct {
	*Node
	stop func()
	done chan error // gets the result of Run
}

// testTimeout is the longest time that a test waits for a condition.
const testTimeout = 20 * time.Second

func newSystem(t testing.TB, regions ...string) *system {
	t.Helper()
	s := &system{t: t, kv: &jwstand.KeyValue{}, hosts: &jwstand.Hosts{}, clients: &jwstand.Clients{}, nodes: map[string]*runningNode{}, regions: regions, log: logr.Discard()}
	s.kvStandIn = s.standIn("kv", s.kv)
	hosts, clients := s.standIn("hosts", s.hosts), s.standIn("clients", s.clients)
	s.hostsAddr, s.clientsAddr = hosts.Address, clients.Address
	s.platform = []*jwstand.StandIn{s.kvStandIn, hosts, clients}
	var list []jwstand.Client
	for _, r := range regions {
		list = append(list,
			jwstand.Client{Name: "free-" + r, Region: r, Owner: "o"},
			jwstand.Client{Name: "bound-" + r, Region: r, Bound: true, Owner: "o"})
	}
	s.clients.Set(list)
	return s
}

// standIn starts a stand-in program on a separate port until the test ends.
func (s *system) standIn(kind string, p jwstand.Program) *jwstand.StandIn {
	s.t.Helper()
	standIn := &jwstand.StandIn{
		Kind: kind, Program: p, Exit: func(int) {},
		Address: netip.MustParseAddrPort("127.0.0.1:0"), Control: netip.MustParseAddrPort("127.0.0.1:0"),
	}
	assert.NilError(s.t, standIn.Listen())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = standIn.Run(ctx)
	}()
	s.t.Cleanup(func() {
		cancel()
		<-done
	})
	return standIn
}

// runner starts a model engine as a target and adds it to the host list.
func (s *system) runner(region string) (*jwstand.Runner, *jwstand.StandIn) {
	r := &jwstand.Runner{Engine: jwstand.Engine{Slots: 8, Token: time.Millisecond, Prefill: 10 * time.Microsecond}}
	standIn := s.standIn("runner", r)
	s.addHost(standIn.Address, map[string]string{"role": "target", "service": "writer", "region": region, "dataCentre": region + "-1"})
	return r, standIn
}

// service starts a plain service as a target and adds it to the host list.
func (s *system) service(region string) (*jwstand.Service, *jwstand.StandIn) {
	p := &jwstand.Service{}
	standIn := s.standIn("service", p)
	s.addHost(standIn.Address, map[string]string{"role": "target", "service": "desk", "region": region, "dataCentre": region + "-1"})
	return p, standIn
}

// addHost adds a host to the platform's host list.
func (s *system) addHost(addr netip.AddrPort, labels map[string]string) {
	labels["state"] = "live"
	s.groups = append(s.groups, jwstand.HostGroup{Targets: []string{addr.String()}, Labels: labels})
	s.hosts.Set(s.groups)
}

// node starts a node and adds it to the host list.
func (s *system) node(name, region string) *runningNode {
	s.t.Helper()
	relays := s.taps.node(s.t, name, region)
	settingsJSON := fmt.Sprintf(`{"node": %q, "region": %q, "dataCentre": %q, %s
		"listen": {"callers": "127.0.0.1:0", "operators": "127.0.0.1:0", "nodes": "127.0.0.1:0"},
		"platform": {"keyValue": %q, "hosts": %q, "directory": %q},
		"operators": {"token": "a token for tests only"},
		"periods": {"exchange": %q, "hostsPoll": %q, "loadPoll": "100ms"},
		"regions": [%s]}`,
		name, region, region+"-1", relays.advertise(),
		relays.platform(s.kvStandIn.Address), relays.platform(s.hostsAddr), relays.platform(s.clientsAddr),
		cmp.Or(s.exchange, "100ms"), cmp.Or(s.hostsPoll, "100ms"), s.regionList())
	settings, err := jwsettings.Parse([]byte(settingsJSON))
	assert.NilError(s.t, err)
	settings.Seeds = s.seeds
	if s.tls != nil {
		settings.TLS = s.tls(name, region)
	}
	n := &runningNode{Node: &Node{Settings: settings, Log: s.log, Audit: &jwaudit.Trail{Node: name, Log: s.log}}, done: make(chan error, 1)}
	assert.NilError(s.t, n.Listen())
	nodes := s.addLink(n, relays.open(n.NodesAddr()))
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	go func() { n.done <- n.Run(ctx) }()
	s.nodes[name] = n
	s.addHost(n.CallersAddr(), map[string]string{
		"role": "entry", "name": name, "region": region, "dataCentre": region + "-1", "nodes": nodes.String(),
	})
	s.t.Cleanup(func() {
		cancel()
		err := <-n.done
		n.done <- err
		assert.Check(s.t, err)
	})
	return n
}

// addLink puts a link in front of a node's port for other nodes, if the system
// has links, and returns the address that other nodes use.
func (s *system) addLink(n *runningNode, nodes netip.AddrPort) netip.AddrPort {
	s.t.Helper()
	if s.links == nil {
		return nodes
	}
	l := &jwstand.Link{Name: n.Settings.Node, Dial: nodes}
	links := &jwstand.Links{Links: []*jwstand.Link{l}}
	assert.NilError(s.t, links.Open())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- links.Run(ctx) }()
	s.t.Cleanup(func() {
		cancel()
		<-done
	})
	s.links[l.Name] = l
	n.board.Peers.Update(time.Now(), func(p *jwpeer.Peer) { p.NodeAddress = l.Listen })
	return l.Listen
}

func (s *system) regionList() string {
	var b bytes.Buffer
	for i, r := range s.regions {
		if i > 0 {
			b.WriteString(", ")
		}
		fmt.Fprintf(&b, `{"name": %q, "dataCentres": [%q]}`, r, r+"-1")
	}
	return b.String()
}

// edit writes an entry to the catalogue through a node.
func (s *system) edit(n *runningNode, e jwcatalogue.Entry) {
	s.t.Helper()
	_, err := n.editor.Put(s.t.Context(), jwcatalogue.Edit{
		EditID: "edit-" + e.Name, Author: "test", Reason: "test", Entry: e.Name, After: &e,
	})
	assert.NilError(s.t, err)
}

func draft() jwcatalogue.Entry {
	return jwcatalogue.Entry{
		Name: "draft", Owner: "o", Class: jwcatalogue.Draft, Service: "writer", Path: "/v1/completions",
		Idempotent: true, Deadline: 20 * time.Second, Progress: 5 * time.Second, Regions: []string{"*"},
		Weights: jwcatalogue.Weights{Cost: 1, Wait: 1, SentAway: 1}, MaxBodySize: 1 << 20,
	}
}

func confirmation() jwcatalogue.Entry {
	return jwcatalogue.Entry{
		Name: "confirm", Owner: "o", Class: jwcatalogue.Confirmation, Service: "desk", Path: "/confirm",
		Deadline: 10 * time.Second, Progress: 5 * time.Second, KeyMemory: time.Hour, MaxBodySize: 1 << 16,
	}
}

// awaitRevision waits until all nodes serve with a catalogue revision or a newer
// one and know each other as serving.
func (s *system) awaitRevision(revision uint64) {
	s.t.Helper()
	s.await("all nodes serve with the newest catalogue", func() bool {
		for _, n := range s.nodes {
			if !n.serving.Load() || n.board.Catalogue.Revision() < revision {
				return false
			}
			serving := n.board.Peers.Select(func(p jwpeer.Peer) bool { return p.State == jwpeer.Serving })
			if len(serving) < len(s.nodes) {
				return false
			}
		}
		return true
	})
}

func (s *system) await(what string, holds func() bool) {
	s.t.Helper()
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		if holds() {
			return poll.Success()
		}
		return poll.Continue("waiting for: %s", what)
	}, poll.WithTimeout(testTimeout), poll.WithDelay(20*time.Millisecond))
}

// reply is an answer as a caller sees it.
type reply struct {
	status  int
	outcome string
	server  string
	body    string
	err     error // no answer, or an incomplete one
}

type header map[string]string

// send sends a request to a node's port for callers and reads the complete answer.
func (s *system) send(to netip.AddrPort, entry, workspace, body string, h header) reply {
	s.t.Helper()
	r, err := http.NewRequestWithContext(s.t.Context(), http.MethodPost, "http://"+to.String()+"/v1/requests/"+entry, bytes.NewReader([]byte(body)))
	assert.NilError(s.t, err)
	r.Header.Set("Jujube-Workspace", workspace)
	r.Header.Set("Content-Type", "application/json")
	for k, v := range h {
		r.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	out := reply{status: resp.StatusCode, outcome: resp.Header.Get("Jujube-Outcome"), server: resp.Header.Get("Jujube-Served-By"), body: string(data), err: err}
	if out.outcome == "" {
		out.outcome = resp.Trailer.Get("Jujube-Outcome")
	}
	return out
}

func prompt(text string, tokens int, stream bool) string {
	data, _ := json.Marshal(jwstand.Completion{Model: "m", Prompt: text, MaxTokens: tokens, Stream: stream})
	return string(data)
}
