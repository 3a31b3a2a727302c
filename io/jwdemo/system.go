package jwdemo

import (
	"context"
	"encoding/json"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"jujubewheel/io/jwaudit"
	"jujubewheel/io/jwmeter"
	"jujubewheel/io/jwnode"
	"jujubewheel/io/jwsettings"
	"jujubewheel/io/jwstand"
)

const (
	modelService     = "menu-writer"
	plainService     = "order-desk"
	runnersPerRegion = 4
	linkDelay        = 15 * time.Millisecond // one-way delay between regions and to the platform
	operatorsToken   = "a token of the demo only"
	// crashPrompt is the text that crashes a model runner whose prompt holds it.
	crashPrompt = "divide the menu by zero"
)

var (
	regions  = []string{"amman-a", "irbid-a", "aqaba-a"}
	loopback = netip.MustParseAddrPort("127.0.0.1:0")
)

// system is the system that the demo runs: one node and a few targets in each
// region, and the stand-ins for the platform.
type system struct {
	hosts         *jwstand.Hosts
	desks         map[string]*jwstand.Service   // by region
	runners       map[string][]*jwstand.StandIn // by region
	nodeLinks     []*jwstand.Link               // links to the nodes' ports for other nodes
	platformLinks map[string][]*jwstand.Link    // by region, links to the platform
	nodes         map[string]*node              // by region

	ctx  context.Context
	stop context.CancelFunc
	wg   sync.WaitGroup
	mu   sync.Mutex
	errs []error
}

// node is a node of a region.
type node struct {
	*jwnode.Node
	region string
}

// start starts all parts; the system runs until close.
func start(ctx context.Context) (*system, error) {
	s := &system{
		hosts:         &jwstand.Hosts{},
		desks:         map[string]*jwstand.Service{},
		runners:       map[string][]*jwstand.StandIn{},
		platformLinks: map[string][]*jwstand.Link{},
		nodes:         map[string]*node{},
	}
	s.ctx, s.stop = context.WithCancel(ctx)
	err := s.open()
	if err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (s *system) open() error {
	kv, err := s.startStandIn("kv", &jwstand.KeyValue{})
	if err != nil {
		return err
	}
	hosts, err := s.startStandIn("hosts", s.hosts)
	if err != nil {
		return err
	}
	clients, err := s.startStandIn("clients", directory())
	if err != nil {
		return err
	}
	var groups []jwstand.HostGroup
	for _, region := range regions {
		targets, err := s.openTargets(region)
		if err != nil {
			return err
		}
		self, err := s.openNode(region, kv.Address, hosts.Address, clients.Address)
		if err != nil {
			return err
		}
		groups = append(append(groups, targets...), self)
	}
	s.hosts.Set(groups)
	for _, n := range s.nodes {
		s.runPart(n.Run)
	}
	return nil
}

// directory returns a client directory with two workspaces in each region, one
// whose data is bound to the region and one whose data is not.
func directory() *jwstand.Clients {
	clients := &jwstand.Clients{}
	var list []jwstand.Client
	for _, region := range regions {
		list = append(list,
			jwstand.Client{Name: "hall-" + region, Region: region, Owner: "kitchen"},
			jwstand.Client{Name: "family-" + region, Region: region, Bound: true, Owner: "front-desk"})
	}
	clients.Set(list)
	return clients
}

// openTargets starts the targets of a region and returns their entries for the
// host list.
func (s *system) openTargets(region string) ([]jwstand.HostGroup, error) {
	var groups []jwstand.HostGroup
	for range runnersPerRegion {
		runner := &jwstand.Runner{Engine: jwstand.Engine{
			Slots: 8, Token: 5 * time.Millisecond, Prefill: 50 * time.Microsecond,
		}}
		standIn, err := s.startStandIn("runner", runner)
		if err != nil {
			return nil, err
		}
		standIn.SetFaults(jwstand.Faults{CrashOn: crashPrompt})
		s.runners[region] = append(s.runners[region], standIn)
		groups = append(groups, target(standIn.Address, modelService, region))
	}
	desk := &jwstand.Service{Work: 20 * time.Millisecond}
	standIn, err := s.startStandIn("service", desk)
	if err != nil {
		return nil, err
	}
	s.desks[region] = desk
	return append(groups, target(standIn.Address, plainService, region)), nil
}

func target(address netip.AddrPort, service, region string) jwstand.HostGroup {
	return jwstand.HostGroup{Targets: []string{address.String()}, Labels: map[string]string{
		"role": "target", "service": service, "region": region, "dataCentre": region + "-1", "state": "live",
	}}
}

// openNode opens the ports of a region's node and returns its entry for the host
// list. Other nodes reach it, and it reaches the platform, through links that
// can be cut.
func (s *system) openNode(region string, platform ...netip.AddrPort) (jwstand.HostGroup, error) {
	nodeLink := &jwstand.Link{Name: region, Listen: loopback}
	links := &jwstand.Links{Control: loopback, Links: []*jwstand.Link{nodeLink}}
	for _, address := range platform {
		links.Links = append(links.Links, &jwstand.Link{Name: region + "-platform", Listen: loopback, Dial: address})
	}
	if err := links.Open(); err != nil {
		return jwstand.HostGroup{}, err
	}
	settings, err := nodeSettings(region, nodeLink.Listen, links.Links[1:])
	if err != nil {
		return jwstand.HostGroup{}, err
	}
	n := &node{region: region, Node: &jwnode.Node{
		Settings: settings,
		Log:      logr.Discard(),
		Meter:    &jwmeter.Meter{Interval: 100 * time.Millisecond},
		Audit:    &jwaudit.Trail{Node: settings.Node},
	}}
	if err := n.Listen(); err != nil {
		return jwstand.HostGroup{}, err
	}
	nodeLink.Dial = n.NodesAddr()
	for _, l := range links.Links {
		l.SetConditions(jwstand.Conditions{Delay: jwstand.Duration(linkDelay)})
	}
	s.runPart(links.Run)
	s.nodes[region] = n
	s.nodeLinks = append(s.nodeLinks, nodeLink)
	s.platformLinks[region] = links.Links[1:]
	return jwstand.HostGroup{Targets: []string{n.CallersAddr().String()}, Labels: map[string]string{
		"role": "entry", "name": settings.Node, "region": region, "dataCentre": region + "-1",
		"state": "live", "nodes": nodeLink.Listen.String(),
	}}, nil
}

// nodeSettings returns the settings of a node, parsed from a text such as an
// operator would write.
func nodeSettings(region string, nodes netip.AddrPort, platform []*jwstand.Link) (*jwsettings.Settings, error) {
	type object map[string]any
	var regionList []object
	for _, r := range regions {
		regionList = append(regionList, object{"name": r, "dataCentres": []string{r + "-1"}})
	}
	text, err := json.Marshal(object{
		"node": region + "-n1", "region": region, "dataCentre": region + "-1",
		"listen":    object{"callers": loopback, "operators": loopback, "nodes": loopback},
		"advertise": object{"nodes": nodes},
		"platform":  object{"keyValue": platform[0].Listen, "hosts": platform[1].Listen, "directory": platform[2].Listen},
		"operators": object{"token": operatorsToken},
		"periods": object{
			"exchange": "100ms", "loadPoll": "100ms", "hostsPoll": "200ms", "directoryPoll": "1s", "hostsLag": "5s",
		},
		"regions": regionList,
		"links": []object{
			{"from": regions[0], "to": regions[1], "delay": "12ms", "costPerGB": 0.02},
			{"from": regions[0], "to": regions[2], "delay": "35ms", "costPerGB": 0.03},
			{"from": regions[1], "to": regions[2], "delay": "45ms", "costPerGB": 0.04},
		},
	})
	if err != nil {
		return nil, errors.Wrap(err, "write settings")
	}
	return jwsettings.Parse(text)
}

// startStandIn starts a stand-in on free ports.
func (s *system) startStandIn(kind string, p jwstand.Program) (*jwstand.StandIn, error) {
	standIn := &jwstand.StandIn{Kind: kind, Program: p, Address: loopback, Control: loopback}
	// All stand-ins share this process, so that a crash must not end it: the
	// stand-in goes down until restartRunners.
	standIn.Exit = func(int) { standIn.SetFaults(jwstand.Faults{Down: true}) }
	if err := standIn.Listen(); err != nil {
		return nil, err
	}
	s.runPart(standIn.Run)
	return standIn, nil
}

// runPart runs a part of the system until close and keeps its error for close.
func (s *system) runPart(part func(context.Context) error) {
	s.wg.Go(func() {
		err := part(s.ctx)
		if err == nil || s.ctx.Err() != nil && errors.Is(err, context.Canceled) {
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.errs = append(s.errs, err)
	})
}

// close stops all parts and returns the first error of any of them.
func (s *system) close() error {
	s.stop()
	s.wg.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.errs) > 0 {
		return errors.Wrap(s.errs[0], "a part of the system failed")
	}
	return nil
}

// disconnect takes down all links between regions, and those of one region to
// the platform.
func (s *system) disconnect(region string) { s.setCut(region, true) }

// reconnect restores the links that disconnect has taken down.
func (s *system) reconnect(region string) { s.setCut(region, false) }

func (s *system) setCut(region string, cut bool) {
	for _, l := range slices.Concat(s.nodeLinks, s.platformLinks[region]) {
		conditions := l.Conditions()
		conditions.Cut = cut
		l.SetConditions(conditions)
	}
}

// allPlatformLinks returns the links of all regions to the platform.
func (s *system) allPlatformLinks() []*jwstand.Link {
	var all []*jwstand.Link
	for _, links := range s.platformLinks {
		all = append(all, links...)
	}
	return all
}

// bytesCarried returns the bytes that links have carried, both ways.
func (s *system) bytesCarried(links []*jwstand.Link) uint64 {
	var n uint64
	for _, l := range links {
		n += l.Passed(jwstand.Forward) + l.Passed(jwstand.Back)
	}
	return n
}

// counterTotal adds up one counter of all nodes, as of their last reports.
func (s *system) counterTotal(counter string) float64 {
	sum := 0.0
	for _, n := range s.nodes {
		sum += n.Meter.Total(counter, nil)
	}
	return sum
}

// stopRunners stops all model runners of a region.
func (s *system) stopRunners(region string) {
	for _, standIn := range s.runners[region] {
		standIn.SetFaults(jwstand.Faults{Down: true})
	}
}

// restartRunners restarts the runners of a region that are down and returns how
// many there were.
func (s *system) restartRunners(region string) (crashed int) {
	for _, standIn := range s.runners[region] {
		if standIn.Faults().Down {
			crashed++
			standIn.SetFaults(jwstand.Faults{CrashOn: crashPrompt})
		}
	}
	return crashed
}

// countRuns returns how often the plain services of all regions ran the request
// with an idempotency key.
func (s *system) countRuns(key string) int {
	n := 0
	for _, desk := range s.desks {
		for _, run := range desk.Journal.Runs() {
			if run.Key == key {
				n++
			}
		}
	}
	return n
}

// waitFor polls until a condition holds. If it doesn't within the timeout, the
// error contains what.
func (s *system) waitFor(timeout time.Duration, what string, condition func() bool) error {
	end := time.Now().Add(timeout)
	for !condition() {
		if time.Now().After(end) {
			return errors.Errorf("not within %s: %s", timeout, what)
		}
		select {
		case <-time.After(10 * time.Millisecond):
		case <-s.ctx.Done():
			return s.ctx.Err()
		}
	}
	return nil
}
