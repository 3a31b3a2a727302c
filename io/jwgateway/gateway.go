package jwgateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/singleflight"

	"jujubewheel/core/jwadmission"
	"jujubewheel/core/jwbudget"
	"jujubewheel/core/jwclock"
	"jujubewheel/core/jwentry"
	"jujubewheel/core/jwinstance"
	"jujubewheel/core/jwmember"
	"jujubewheel/core/jwmemory"
	"jujubewheel/core/jwpart"
	"jujubewheel/core/jwplacement"
	"jujubewheel/core/jwquota"
	"jujubewheel/core/jwsender"
	"jujubewheel/core/jwstore"
	"jujubewheel/core/jwsuspect"
	"jujubewheel/core/jwversion"
	"jujubewheel/core/jwwaitroom"
	"jujubewheel/io/jwconn"
	"jujubewheel/io/jwlog"
	"jujubewheel/io/jwmeter"
	"jujubewheel/io/jwquotaexchange"
	"jujubewheel/io/jwrest"
	"jujubewheel/io/jwsettings"
)

// Gateway is one node. Set its exported fields, then call Run.
type Gateway struct {
	Settings        *jwsettings.Settings
	Feed            jwstore.Feed
	Records         RecordDecoder
	Dialect         Dialect
	Targets         *jwconn.Pool                                   // connections to targets
	Nodes           *jwconn.Pool                                   // connections to other nodes
	Meter           *jwmeter.Meter                                 // counters and histograms; nil for none
	DroppedLogLines func() int64                                   // returns how many log lines were dropped so far; may be nil
	OnListening     func(callers, directory, nodes netip.AddrPort) // called once all ports are open; may be nil
	Log             logr.Logger
	Decisions       *jwlog.Decisions            // log of the decisions about requests; nil for none
	Reload          <-chan *jwsettings.Settings // receives settings that changed while the node runs
	Admission       jwadmission.Policy          // which requests are rejected
	Placement       jwplacement.Policy          // which region serves a request
	ControlOverload bool                        // the platform's rules ask for overload control of all services
	RelayThreshold  int                         // number of nodes in a region from which on they exchange state through relays; 0 for the default
	TimeSinceBoot   func() time.Duration        // returns the time since the host started, including time suspended; nil for the host's clock

	viewCache           encodedViewCache
	pauseDetector       jwclock.PauseDetector
	epoch               atomic.Pointer[epoch]
	metrics             *metrics
	store               storeState
	storeWatcher        *storeWatcher
	recentChanges       jwstore.Recent // changes of the store that a relay keeps for other nodes
	pulledRevision      atomic.Uint64  // store revision of the last view taken from another node
	pullingView         atomic.Bool    // a view is being fetched from another node
	configPulledAt      atomic.Int64   // when the last fetch of a configuration in flight began, nanoseconds since startTime; 0 for none
	storeReadAt         atomic.Int64   // time of the last successful store read, nanoseconds since startTime
	storeReadEnded      atomic.Int64   // when that read ended, nanoseconds since startTime
	bounds              atomic.Pointer[jwsettings.Bounds]
	entries             jwentry.Table
	targets             jwinstance.Table
	members             jwmember.Table
	retryBudget         jwbudget.RetryBudget
	quotas              jwquota.Ledger
	quotaExchange       jwquotaexchange.Exchange // exchanges quota units with other nodes
	regions             regionTable
	sharedReport        sharedReport
	balance             regionBalance
	pressure            jwadmission.Pressure
	unseenCalledAt      time.Time // time of the last exchange with unseen nodes; used by exchangeStates only, like unseenTurn
	unseenTurn          int
	exchangesInFlight   sync.Map // names of the peers with an exchange in flight
	demand              jwentry.Demand
	room                jwwaitroom.Room
	suspects            jwsuspect.Table
	parts               jwpart.Table
	shares              shareTable
	crashChecks         singleflight.Group // checks in flight of whether a target has crashed
	fullReadDone        atomic.Bool        // all keys of the store were read once
	stopping            atomic.Bool
	graceOver           atomic.Bool // the grace period is over and requests in flight are aborted
	startTime           time.Time
	stopState           stopState
	stopStartedAt       atomic.Int64  // when the planned stop began, nanoseconds since startTime
	fleetSizeMissing    atomic.Bool   // the store was restored without the size of the fleet
	confirmationsDue    chan struct{} // signals that a target must be asked whether it is cold
	registrationChanged chan struct{} // signals that the registration must be written again
	registersEarly      atomic.Bool   // the node registers although it doesn't serve yet
	registered          atomic.Bool   // the node has written its registration once
	inFlight            atomic.Int64
	memory              jwmemory.Account  // bytes held for requests of services with overload control
	incoming            jwmemory.Incoming // bytes held of answers that can't be passed on yet
	callers             jwmemory.Callers  // bytes held for the connections of callers
	slowStreams         slowStreams
	forwards            forwardTable
	abandonedForwards   abandonedForwards
	senders             jwsender.Table
	senderAdded         chan struct{} // signals that senders is no longer empty
	origins             jwversion.Table
	originReports       originReports
	storedVersions      storedVersions
	versionsReader      versionsReader
	versionLacking      chan struct{} // signals that storedVersions lacks a registered version
	streamLives         atomic.Pointer[streamLives]
	versionsSince       atomic.Int64 // since when no registration was missed, nanoseconds since startTime; 0 before the first read
}

// Run serves until ctx ends and then until the requests in flight are done or most of the grace
// period has passed.
func (g *Gateway) Run(ctx context.Context) error {
	g.prepare()
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	group, work := errgroup.WithContext(work)
	servers := g.servers()
	for _, s := range servers {
		if err := s.Listen(); err != nil {
			return err
		}
	}
	g.members.SetAddresses(servers[callersServer].Addr(), servers[nodesServer].Addr())
	if g.OnListening != nil {
		g.OnListening(servers[callersServer].Addr(), servers[directoryServer].Addr(), servers[nodesServer].Addr())
	}
	for _, s := range servers {
		group.Go(func() error { return s.Run(work) })
	}
	g.newEpoch(work)
	g.pauseDetector.Reset()
	group.Go(func() error { g.watchPauses(work); return nil })
	group.Go(func() error { g.watchStore(work); return nil })
	group.Go(func() error { g.bootstrapFromPeers(work); return nil })
	group.Go(func() error { g.keepRegistered(work); return nil })
	group.Go(func() error { g.exchangeStates(work); return nil })
	group.Go(func() error { g.exchangeRegionLoads(work); return nil })
	group.Go(func() error { g.quotaExchange.Run(work); return nil })
	group.Go(func() error { g.probeTargets(work); return nil })
	group.Go(func() error { g.confirmTargets(work); return nil })
	group.Go(func() error { g.reload(work); return nil })
	group.Go(func() error { g.updateGauges(work); return nil })
	group.Go(func() error { g.runRoom(work); return nil })
	group.Go(func() error { g.watchVersions(work); return nil })
	group.Go(func() error { g.keepVersionsStored(work); return nil })
	group.Go(func() error { g.watchSenders(work); return nil })
	g.Log.Info("started", "bounds", *g.bounds.Load(), "region", g.Settings.Region, "dataCentre", g.Settings.DataCentre)
	select {
	case <-ctx.Done():
		g.stop(servers)
	case <-work.Done():
	}
	cancel()
	err := group.Wait()
	g.Log.Info("stopped")
	return err
}

// prepare connects the parts of the node before it starts.
func (g *Gateway) prepare() {
	s, o := g.Settings, g.Settings.Gateway
	g.startTime = time.Now()
	g.pauseDetector.Limit, g.pauseDetector.TimeSinceBoot = pauseLimit, g.TimeSinceBoot
	g.metrics = newMetrics(g.Meter)
	if o.Overload.Enabled() {
		g.metrics.registerMemory()
	}
	g.prepareRoom()
	g.memory.Budget = jwmemory.Budget(o.MemoryBytes)
	g.incoming.Budget = jwmemory.IncomingBudget(o.MemoryBytes)
	g.incoming.OnGiveUp = func() { g.metrics.answersGivenUp.Inc(1) }
	g.callers.Budget, g.callers.MaxConns = jwmemory.CallersBudget(o.MemoryBytes), o.MaxCallers()
	g.callers.OnGiveUp = func(p jwmemory.Phase) { g.metrics.callersGivenUp[p].Inc(1) }
	g.Targets.Incoming, g.Nodes.Incoming = &g.incoming, &g.incoming
	g.storeWatcher = newStoreWatcher(g)
	g.Targets.MaxIdlePerPeer = g.maxIdleConns
	g.Targets.OnPeerClose = g.confirmAt
	g.Targets.OnWrongAnswer = func(netip.AddrPort) { g.metrics.wrongAnswers.Inc(1) }
	g.Targets.OnDial = func() { g.metrics.connectionsOpened.Inc(1) }
	g.registrationChanged = make(chan struct{}, 1)
	g.confirmationsDue = make(chan struct{}, 1)
	g.versionLacking = make(chan struct{}, 1)
	g.senderAdded = make(chan struct{}, 1)
	g.senders.OnFirst = func() { wake(g.senderAdded) }
	g.members.Self = jwmember.Member{
		Name: s.Node, Region: s.Region, DataCentre: s.DataCentre,
		Callers: o.Listen.Callers, Nodes: o.Listen.Nodes,
		Start: time.Now().UnixNano(), Serving: false, Capacity: o.Capacity(),
	}
	g.members.RelayThreshold = g.RelayThreshold
	g.targets.Node, g.targets.Region = s.Node, s.Region
	g.balance.Region = s.Region
	g.suspects.Node, g.suspects.Region = s.Node, s.Region
	g.targets.IgnorePace = !o.Overload.Enabled()
	g.targets.Warmup = g.warmup
	g.targets.ColdRate = g.coldRate
	g.targets.LimitShare = g.limitShare
	g.targets.Rand = rand.IntN
	g.targets.Nodes = func() int { return g.members.Count(time.Now(), s.Region) }
	g.targets.ReportInterval = g.reportInterval
	g.bounds.Store(&o.Bounds)
	g.retryBudget.Limits = func() jwbudget.Limits {
		b := g.bounds.Load()
		return jwbudget.Limits{Ratio: b.RetryRatio, Slack: b.RetrySlack, Window: b.RetryWindow}
	}
	g.quotas.Quota = g.quotaOf
	g.quotas.Bounds = func() jwquota.Bounds {
		b := g.bounds.Load()
		return jwquota.Bounds{Window: b.QuotaWindow, Ratio: b.QuotaRatio, Slack: b.QuotaSlack}
	}
	g.quotas.OnShortage = g.quotaExchange.Wake
	g.quotaExchange.Ledger, g.quotaExchange.Members, g.quotaExchange.Limited = &g.quotas, &g.members, g.hasQuotas
	g.quotaExchange.Window = func() time.Duration { return g.bounds.Load().QuotaWindow }
	g.quotaExchange.Call, g.quotaExchange.Log = g.nodeCall, g.Log
	g.retryBudget.Nodes = func() int { return g.members.Count(time.Now(), "") }
	g.retryBudget.Age = func() time.Duration { return g.members.FirstRegisteredFor(time.Now()) }
}

// wake signals on a channel of capacity one, unless a signal waits there.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Indexes of servers in the result of Gateway.servers.
const (
	callersServer = iota
	_             // the readiness server
	directoryServer
	nodesServer
)

// servers returns the servers of all listeners, in the order of the indexes above.
func (g *Gateway) servers() []*jwrest.Server {
	l := g.Settings.Gateway.Listen
	list := []*jwrest.Server{
		g.server("callers", l.Callers, http.HandlerFunc(g.serveCaller)),
		g.server("ready", l.Ready, http.HandlerFunc(g.serveReady)),
		g.server("directory", l.Directory, http.HandlerFunc(g.serveDirectory)),
		g.server("nodes", l.Nodes, http.HandlerFunc(g.serveNode)),
	}
	if l.Metrics.IsValid() && g.Meter != nil {
		list = append(list, g.server("metrics", l.Metrics, g.Meter.Handler()))
	}
	for _, s := range list[:nodesServer] {
		s.Callers = &g.callers
	}
	list[callersServer].Full = http.HandlerFunc(g.rejectForCallers)
	return list
}

func (g *Gateway) server(name string, a netip.AddrPort, h http.Handler) *jwrest.Server {
	return &jwrest.Server{Name: name, Address: a, Handler: h, Log: g.Log, DrainLimit: 50 * time.Millisecond}
}

// warmup returns how long a target of a service is cold and how many requests per second all nodes
// together may send to it during that time.
func (g *Gateway) warmup(service string) (time.Duration, float64) {
	c := g.entries.Current()
	if c == nil {
		return 0, 0
	}
	s := c.Services[service]
	if s == nil {
		return 0, 0
	}
	return s.Warmup, s.WarmupRate
}

// idleConnShare is the share of a target's maximum number of connections that the nodes keep idle.
// The rest is left for requests in flight.
const idleConnShare = 0.5

// maxIdleConns returns how many idle connections to a target this node may keep.
func (g *Gateway) maxIdleConns(a netip.AddrPort) int {
	c := g.entries.Current()
	if c == nil {
		return 1
	}
	s := c.Services[g.targets.ServiceAt(a)]
	if s == nil || s.MaxConns == 0 {
		return 1
	}
	return int(idleConnShare*float64(s.MaxConns)) / g.members.Count(time.Now(), g.Settings.Region)
}

// coldRate returns how many requests per second this node may send to a cold target.
func (g *Gateway) coldRate(service, target string) float64 {
	now := time.Now()
	if !g.members.CountedByAll(now) {
		return 0
	}
	_, rate := g.warmup(service)
	b := g.bounds.Load()
	l := jwbudget.ColdLimits{Rate: rate, Ratio: b.ColdRatio, Slack: b.ColdSlack}
	return jwbudget.ColdShare(l, g.members.Owns(now, target), g.members.Count(now, g.Settings.Region))
}

// limitShare returns this node's share of the limit that a target announces. mayOwn reports whether
// a node may own the target.
func (g *Gateway) limitShare(rate float64, target string, mayOwn func(node string) bool) jwbudget.LimitShare {
	now := time.Now()
	if g.members.RegisteredFor(now) < jwbudget.LimitSettle {
		return jwbudget.LimitShare{}
	}
	return jwbudget.LimitShareOf(rate, g.members.OwnsAmong(now, target, mayOwn), g.members.Count(now, g.Settings.Region))
}

// ready reports whether the node accepts callers' requests.
func (g *Gateway) ready() bool {
	return g.entries.Current() != nil && !g.stopping.Load() && g.pauseDetector.Valid()
}

// reload applies changed settings. Only the bounds can change while the node runs; a changed
// address is only logged.
func (g *Gateway) reload(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-g.Reload:
			o := s.Gateway
			if o.Listen != g.Settings.Gateway.Listen || o.Store != g.Settings.Gateway.Store {
				g.Log.Info("changed settings of listen or store take effect after a restart only")
			}
			g.bounds.Store(&o.Bounds)
			g.Log.Info("settings in force", "bounds", o.Bounds)
		}
	}
}

// gaugeInterval is the time between two updates of the gauges.
const gaugeInterval = time.Second

// updateGauges updates the gauges periodically until ctx ends.
func (g *Gateway) updateGauges(ctx context.Context) {
	for ctx.Err() == nil {
		now := time.Now()
		g.metrics.version.Update(float64(g.entries.Version()))
		g.metrics.nodes.Update(float64(len(g.members.Live(now, ""))))
		g.metrics.inFlight.Update(float64(g.inFlight.Load()))
		g.metrics.updateMemory(&g.memory, g.slowStreams.count())
		bytes, conns := g.callers.Held()
		g.metrics.callerBytes.Update(float64(bytes))
		g.metrics.callerConns.Update(float64(conns))
		g.metrics.incomingBytes.Update(float64(g.incoming.Held()))
		g.metrics.origins.Update(float64(g.origins.Len()))
		g.metrics.barredParts.Update(float64(g.parts.Bars()))
		g.metrics.limitedTargets.Update(float64(g.targets.LimitedTargets()))
		g.metrics.setRetriesLeft(g.retryBudget.Left(now))
		g.metrics.storeReadAge.Update(g.storeReadAge(now).Seconds())
		if g.DroppedLogLines != nil {
			g.metrics.logLinesLost.Update(float64(g.DroppedLogLines()))
		}
		jwclock.Sleep(ctx, gaugeInterval)
	}
}
