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
	"jujubewheel/core/jwplacement"
	"jujubewheel/core/jwquota"
	"jujubewheel/core/jwstore"
	"jujubewheel/core/jwsuspect"
	"jujubewheel/io/jwconn"
	"jujubewheel/io/jwlog"
	"jujubewheel/io/jwmeter"
	"jujubewheel/io/jwquotaexchange"
	"jujubewheel/io/jwrest"
	"jujubewheel/io/jwsettings"
)

// Gateway is one node; set its fields, then call Run.
type Gateway struct {
	Settings       *jwsettings.Settings
	Feed           jwstore.Feed
	Records        Records
	Dialect        Dialect
	Targets        *jwconn.Pool                                   // connections to targets
	Nodes          *jwconn.Pool                                   // connections to other nodes
	Meter          *jwmeter.Meter                                 // counters and histograms; nil for none
	LostLines      func() int64                                   // lines of the log that were dropped so far, if set
	Listening      func(callers, directory, nodes netip.AddrPort) // called once the ports are open, if set
	Log            logr.Logger
	Decisions      *jwlog.Decisions            // a line for each decision about a request; nil for none
	Reload         <-chan *jwsettings.Settings // settings that changed while the node runs
	Admission      jwadmission.Policy          // which requests are rejected
	Placement      jwplacement.Policy          // which region serves a request
	RelayThreshold int                         // nodes of a region from which on they exchange state through relays, 0 for the usual number
	Boot           func() time.Duration        // time since the host started, suspended or not; nil for the host's own

	viewCache           encodedViewCache
	pauseDetector       jwclock.Pulse
	epoch               atomic.Pointer[epoch]
	metrics             *metrics
	store               storeState
	storeWatcher        *storeWatcher
	recentChanges       jwstore.Recent // changes of the store, kept by a relay for others
	pulledRevision      atomic.Uint64  // revision of the store up to which another node's view was taken
	pullingView         atomic.Bool    // another node is asked
	storeReadAt         atomic.Int64   // when the store was read last, nanoseconds since begun
	bounds              atomic.Pointer[jwsettings.Bounds]
	entries             jwentry.Table
	targets             jwinstance.Table
	members             jwmember.Table
	retryBudget         jwbudget.Retry
	quotas              jwquota.Ledger
	quotaExchange       jwquotaexchange.Exchange // of the quotas' units with other nodes
	regions             regionTable
	unseenCalledAt      time.Time // when nodes that were not seen were called last; of exchange only, as unseenTurn
	unseenTurn          int
	exchangesInFlight   sync.Map // names of the peers that an exchange waits for
	demand              jwentry.Demand
	suspects            jwsuspect.Table
	crashChecks         singleflight.Group // questions whether targets have crashed
	storeRead           atomic.Bool        // the store was read once
	stopping            atomic.Bool
	graceOver           atomic.Bool // the grace period is over: what still runs is cut off
	startTime           time.Time
	stopStart           atomic.Int64  // when the planned stop began, nanoseconds since begun
	fleetSizeMissing    atomic.Bool   // the store came back without the size of the fleet
	registrationChanged chan struct{} // the registration has to be written anew
	inFlight            atomic.Int64
}

// Run serves until ctx ends and the requests in flight are done or the grace
// period is nearly over.
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
	g.members.Locate(servers[callersServer].Addr(), servers[nodesServer].Addr())
	if g.Listening != nil {
		g.Listening(servers[callersServer].Addr(), servers[directoryServer].Addr(), servers[nodesServer].Addr())
	}
	for _, s := range servers {
		group.Go(func() error { return s.Run(work) })
	}
	g.newEpoch(work)
	g.pauseDetector.Begin()
	group.Go(func() error { g.watchPauses(work); return nil })
	group.Go(func() error { g.watchStore(work); return nil })
	group.Go(func() error { g.bootstrapFromPeers(work); return nil })
	group.Go(func() error { g.keepRegistered(work); return nil })
	group.Go(func() error { g.exchangeStates(work); return nil })
	group.Go(func() error { g.quotaExchange.Run(work); return nil })
	group.Go(func() error { g.probeTargets(work); return nil })
	group.Go(func() error { g.reload(work); return nil })
	group.Go(func() error { g.updateGauges(work); return nil })
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

func (g *Gateway) prepare() {
	s, o := g.Settings, g.Settings.Gateway
	g.startTime = time.Now()
	g.pauseDetector.Limit, g.pauseDetector.Boot = pauseLimit, g.Boot
	g.metrics = newMetrics(g.Meter)
	g.storeWatcher = newStoreWatcher(g)
	g.Targets.Share = g.maxIdleConns
	g.Targets.Opened = func() { g.metrics.connectionsOpened.Inc(1) }
	g.registrationChanged = make(chan struct{}, 1)
	g.members.Self = jwmember.Member{
		Name: s.Node, Region: s.Region, DataCentre: s.DataCentre,
		Callers: o.Listen.Callers, Nodes: o.Listen.Nodes,
		Start: time.Now().UnixNano(), Serving: false, Capacity: o.Capacity(),
	}
	g.members.RelayThreshold = g.RelayThreshold
	g.targets.Node, g.targets.Region = s.Node, s.Region
	g.suspects.Node, g.suspects.Region = s.Node, s.Region
	g.targets.Warmup = g.warmup
	g.targets.Share = g.coldRate
	g.targets.LimitPart = g.limitPart
	g.targets.Rand = rand.IntN
	g.targets.Nodes = func() int { return g.members.Count(time.Now(), s.Region) }
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
	g.quotas.Lacks = g.quotaExchange.Kick
	g.quotaExchange.Ledger, g.quotaExchange.Members, g.quotaExchange.Limited = &g.quotas, &g.members, g.hasQuotas
	g.quotaExchange.Window = func() time.Duration { return g.bounds.Load().QuotaWindow }
	g.quotaExchange.Call, g.quotaExchange.Log = g.nodeCall, g.Log
	g.retryBudget.Nodes = func() int { return g.members.Count(time.Now(), "") }
}

// The places of some listeners in what servers returns.
const (
	callersServer = iota
	_             // that reports whether the node serves
	directoryServer
	nodesServer
)

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
	return list
}

func (g *Gateway) server(name string, a netip.AddrPort, h http.Handler) *jwrest.Server {
	return &jwrest.Server{Name: name, Address: a, Handler: h, Log: g.Log, DrainLimit: 50 * time.Millisecond}
}

// warmup returns how long a target of a service is cold and what all nodes
// together may send to it in a second meanwhile.
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

// idleConnShare is the part of the connections that a target takes which nodes keep
// unused; the rest is for what is in flight.
const idleConnShare = 0.5

// maxIdleConns is how many unused connections to a target this node may keep.
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

// coldRate is how many requests a second this node may send to a cold target.
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

// limitPart is this node's part in the limit that a target names.
func (g *Gateway) limitPart(rate float64, target string, mayOwn func(node string) bool) jwbudget.LimitPart {
	now := time.Now()
	if g.members.ListedFor(now) < jwbudget.LimitSettle {
		return jwbudget.LimitPart{}
	}
	return jwbudget.PartOf(rate, g.members.OwnsAmong(now, target, mayOwn), g.members.Count(now, g.Settings.Region))
}

// rejectsNewRequests reports whether the node has been stopping for so long that a new
// request might outlast it.
func (g *Gateway) rejectsNewRequests() bool {
	return g.stopping.Load() && time.Since(g.startTime) > time.Duration(g.stopStart.Load())+g.linger()
}

// ready reports whether the node serves callers.
func (g *Gateway) ready() bool {
	return g.entries.Current() != nil && !g.stopping.Load() && g.pauseDetector.Alive()
}

// reload takes settings that changed; what can change while the node runs are
// its bounds, and an address that differs is only logged.
func (g *Gateway) reload(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-g.Reload:
			o := s.Gateway
			if o.Listen != g.Settings.Gateway.Listen || o.Store != g.Settings.Gateway.Store {
				g.Log.Info("settings changed that need a restart")
			}
			g.bounds.Store(&o.Bounds)
			g.Log.Info("settings in force", "bounds", o.Bounds)
		}
	}
}

// gaugePeriod is the time between two settings of the gauges.
const gaugePeriod = time.Second

// updateGauges sets the gauges now and then.
func (g *Gateway) updateGauges(ctx context.Context) {
	for ctx.Err() == nil {
		now := time.Now()
		g.metrics.version.Update(float64(g.entries.Version()))
		g.metrics.nodes.Update(float64(len(g.members.Live(now, ""))))
		g.metrics.inFlight.Update(float64(g.inFlight.Load()))
		g.metrics.limitedTargets.Update(float64(g.targets.LimitedTargets()))
		g.metrics.setRetriesLeft(g.retryBudget.Left(now))
		g.metrics.storeReadAge.Update((now.Sub(g.startTime) - time.Duration(g.storeReadAt.Load())).Seconds())
		if g.LostLines != nil {
			g.metrics.logLinesLost.Update(float64(g.LostLines()))
		}
		jwclock.Sleep(ctx, gaugePeriod)
	}
}
