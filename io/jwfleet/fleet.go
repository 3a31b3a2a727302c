package jwfleet

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"jujubewheel/core/jwclock"
	"jujubewheel/io/jwload"
	"jujubewheel/io/jwmeter"
	"jujubewheel/io/jwnode"
	"jujubewheel/io/jwsettings"
	"jujubewheel/io/jwstand"
)

const (
	operatorToken = "a token of the measurements only" // only for the nodes of trials
	meterInterval = 200 * time.Millisecond             // between reports of a node's counters
	// crashPrompt crashes a model runner whose request body contains it.
	crashPrompt = "a prompt that crashes the engine"
	// restartDelay is how long a crashed runner is unavailable.
	restartDelay = 2 * time.Second
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// runner is a simulated model runner and the stand-in that serves it.
type runner struct {
	*jwstand.Runner
	standIn *jwstand.StandIn
}

// down makes the runner unreachable.
func (r *runner) down() { r.standIn.SetFaults(jwstand.Faults{Down: true}) }

// up makes the runner reachable again, with an empty cache.
func (r *runner) up() {
	r.Engine.ClearCache()
	r.standIn.SetFaults(jwstand.Faults{CrashOn: crashPrompt})
}

// fleet is the whole system of a deployment.
type fleet struct {
	Deployment
	nodes       map[string][]*jwnode.Node   // by region
	runners     map[string][]*runner        // by region
	journals    map[string][]netip.AddrPort // control ports of the targets, by region
	keyValue    *jwstand.StandIn            // the key-value service
	regionLinks []*jwstand.Link             // links that PoorLinks degrades

	ctx  context.Context
	stop context.CancelFunc
	wg   sync.WaitGroup
	mu   sync.Mutex
	errs []error // of parts that failed before close
}

// start starts all parts; they run until close.
func start(ctx context.Context, d Deployment) (*fleet, error) {
	f := &fleet{
		Deployment: d,
		nodes:      make(map[string][]*jwnode.Node),
		runners:    make(map[string][]*runner),
		journals:   make(map[string][]netip.AddrPort),
	}
	f.ctx, f.stop = context.WithCancel(ctx)
	if err := f.startAll(); err != nil {
		_ = f.close()
		return nil, err
	}
	return f, nil
}

// startAll starts the platform, the targets, the links and the nodes.
func (f *fleet) startAll() error {
	var err error
	if f.keyValue, err = f.startStandIn("kv", &jwstand.KeyValue{}); err != nil {
		return err
	}
	hostList := &jwstand.Hosts{}
	hosts, err := f.startStandIn("hosts", hostList)
	if err != nil {
		return err
	}
	clients, err := f.startStandIn("clients", f.directory())
	if err != nil {
		return err
	}
	var groups []jwstand.HostGroup
	for _, region := range f.Regions {
		targets, err := f.openTargets(region)
		if err != nil {
			return err
		}
		groups = append(groups, targets...)
		for i := range nodesPerRegion {
			group, err := f.openNode(region, i, f.keyValue.Address, hosts.Address, clients.Address)
			if err != nil {
				return err
			}
			groups = append(groups, group)
		}
	}
	hostList.Set(groups)
	for _, nodes := range f.nodes {
		for _, n := range nodes {
			f.startPart("a node", n.Run)
		}
	}
	return nil
}

// directory returns a client directory with the workspaces of the load and
// those of a burst.
func (f *fleet) directory() *jwstand.Clients {
	var list []jwstand.Client
	for _, region := range f.Regions {
		for n := range workspacesPerRegion {
			list = append(list, jwstand.Client{
				Name: jwload.WorkspaceName(region, n), Region: region, Bound: jwload.Bound(n, boundShare),
				Owner: fmt.Sprintf("%s-owner-%d", region, n%ownersPerRegion),
			})
		}
		list = append(list, jwstand.Client{
			Name: jwload.WorkspaceName(burstRegion(region), 0), Region: region, Owner: region + "-burster",
		})
	}
	clients := &jwstand.Clients{}
	clients.Set(list)
	return clients
}

// openTargets starts the targets of a region and returns their groups of the
// host list.
func (f *fleet) openTargets(region string) ([]jwstand.HostGroup, error) {
	var groups []jwstand.HostGroup
	for range runnersPerRegion {
		r := &runner{Runner: &jwstand.Runner{Engine: jwstand.Engine{
			Slots: runnerSlots, Token: tokenTime, Growth: batchGrowth, Prefill: prefill, CacheTokens: cacheTokens, Lag: reportLag,
		}}}
		standIn, err := f.startStandIn("runner", r.Runner)
		if err != nil {
			return nil, err
		}
		r.standIn = standIn
		// A crash ends no process here; it makes the runner unreachable for a while.
		standIn.Exit = func(int) {
			r.down()
			f.startPart("restart", func(ctx context.Context) error {
				err := jwclock.Sleep(ctx, restartDelay)
				r.up()
				return err
			})
		}
		r.up()
		f.runners[region] = append(f.runners[region], r)
		f.journals[region] = append(f.journals[region], standIn.Control)
		groups = append(groups, targetGroup(standIn.Address, f.Model, region))
	}
	standIn, err := f.startStandIn("service", &jwstand.Service{Work: serviceWork})
	if err != nil {
		return nil, err
	}
	f.journals[region] = append(f.journals[region], standIn.Control)
	return append(groups, targetGroup(standIn.Address, f.Plain, region)), nil
}

// targetGroup returns the group of the host list for one target.
func targetGroup(address netip.AddrPort, service, region string) jwstand.HostGroup {
	return jwstand.HostGroup{Targets: []string{address.String()}, Labels: map[string]string{
		"role": "target", "service": service, "region": region, "dataCentre": region + "-1", "state": "live",
	}}
}

// openNode opens the ports of a node and returns its group of the host list.
// Other nodes reach it over a link. It reaches the platform over links too,
// which have a delay unless the platform is in the same region.
func (f *fleet) openNode(region string, i int, platform ...netip.AddrPort) (jwstand.HostGroup, error) {
	name := fmt.Sprintf("%s-n%d", region, i+1)
	nodeLink := &jwstand.Link{Name: name, Listen: loopback}
	links := &jwstand.Links{Control: loopback, Links: []*jwstand.Link{nodeLink}}
	for _, address := range platform {
		links.Links = append(links.Links, &jwstand.Link{Name: name + "-platform", Listen: loopback, Dial: address})
	}
	if err := links.Open(); err != nil {
		return jwstand.HostGroup{}, err
	}
	for k, l := range links.Links {
		if k == 0 || region != f.Regions[0] {
			l.SetConditions(jwstand.Conditions{Delay: jwstand.Duration(f.Delay)})
			f.regionLinks = append(f.regionLinks, l)
		}
	}
	dataCentre := region + "-1"
	if i == nodesPerRegion-1 {
		dataCentre = region + "-2"
	}
	settings, err := f.settings(name, region, dataCentre, nodeLink.Listen, links.Links[1:])
	if err != nil {
		return jwstand.HostGroup{}, err
	}
	n := &jwnode.Node{Settings: settings, Log: logr.Discard(), Meter: &jwmeter.Meter{Interval: meterInterval}}
	if err := n.Listen(); err != nil {
		return jwstand.HostGroup{}, err
	}
	nodeLink.Dial = n.NodesAddr()
	f.startPart("links", links.Run)
	f.nodes[region] = append(f.nodes[region], n)
	return jwstand.HostGroup{Targets: []string{n.CallersAddr().String()}, Labels: map[string]string{
		"role": "entry", "name": name, "region": region, "dataCentre": dataCentre,
		"state": "live", "nodes": nodeLink.Listen.String(),
	}}, nil
}

type jsonObject map[string]any

// settings builds the settings of a node, as an operator would write them. The
// periods of polls are shorter than usual, since a trial is short.
func (f *fleet) settings(name, region, dataCentre string, nodes netip.AddrPort, platform []*jwstand.Link) (*jwsettings.Settings, error) {
	var regions, links []jsonObject
	for i, r := range f.Regions {
		regions = append(regions, jsonObject{"name": r, "dataCentres": []string{r + "-1", r + "-2"}})
		for _, other := range f.Regions[i+1:] {
			links = append(links, jsonObject{"from": r, "to": other, "delay": f.Delay.String(), "costPerGB": f.LinkCostPerGB})
		}
	}
	text, err := json.Marshal(jsonObject{
		"node": name, "region": region, "dataCentre": dataCentre,
		"listen":    jsonObject{"callers": loopback, "operators": loopback, "nodes": loopback},
		"advertise": jsonObject{"nodes": nodes},
		"platform":  jsonObject{"keyValue": platform[0].Listen, "hosts": platform[1].Listen, "directory": platform[2].Listen},
		"operators": jsonObject{"token": operatorToken},
		"periods":   jsonObject{"hostsPoll": "1s", "directoryPoll": "5s", "hostsLag": "5s"},
		"regions":   regions,
		"links":     links,
	})
	if err != nil {
		return nil, errors.Wrap(err, "write settings")
	}
	return jwsettings.Parse(text)
}

// startStandIn starts a stand-in on free ports.
func (f *fleet) startStandIn(kind string, p jwstand.Program) (*jwstand.StandIn, error) {
	standIn := &jwstand.StandIn{Kind: kind, Program: p, Address: loopback, Control: loopback}
	if err := standIn.Listen(); err != nil {
		return nil, err
	}
	f.startPart(kind, standIn.Run)
	return standIn, nil
}

// startPart runs a part until close and records the error if it fails earlier.
func (f *fleet) startPart(what string, part func(context.Context) error) {
	f.wg.Go(func() {
		err := part(f.ctx)
		if err == nil || f.ctx.Err() != nil && errors.Is(err, context.Canceled) {
			return
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		f.errs = append(f.errs, errors.Wrap(err, what))
	})
}

// close stops all parts and returns the first error of any of them.
func (f *fleet) close() error {
	f.stop()
	f.wg.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.errs) > 0 {
		return errors.Wrap(f.errs[0], "part of the fleet failed")
	}
	return nil
}

// sumCounter returns the sum of one counter over all nodes, as of their last
// reports.
func (f *fleet) sumCounter(counter string, tags jwmeter.Tags) float64 {
	sum := 0.0
	for _, nodes := range f.nodes {
		for _, n := range nodes {
			sum += n.Meter.Total(counter, tags)
		}
	}
	return sum
}

// engineTotals returns the summed work of all model runners.
func (f *fleet) engineTotals() jwstand.Totals {
	var sum jwstand.Totals
	for _, list := range f.runners {
		for _, r := range list {
			t := r.Engine.Totals()
			sum.Requests += t.Requests
			sum.PromptTokens += t.PromptTokens
			sum.CachedTokens += t.CachedTokens
			sum.Generated += t.Generated
			sum.Requested += t.Requested
			sum.SlotTime += t.SlotTime
		}
	}
	return sum
}

// callerAddresses returns the addresses to which callers send requests, by
// region.
func (f *fleet) callerAddresses() map[string][]netip.AddrPort {
	hosts := make(map[string][]netip.AddrPort)
	for region, nodes := range f.nodes {
		for _, n := range nodes {
			hosts[region] = append(hosts[region], n.CallersAddr())
		}
	}
	return hosts
}
