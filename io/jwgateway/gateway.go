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

	views      encodedViews
	pulse      jwclock.Pulse
	epoch      atomic.Pointer[epoch]
	meters     *meters
	store      storeState
	follower   *follower
	recent     jwstore.Recent // changes of the store, kept by a relay for others
	pulledTo   atomic.Uint64  // revision of the store up to which another node's view was taken
	pulling    atomic.Bool    // another node is asked
	viewed     atomic.Int64   // when the store was read last, nanoseconds since begun
	bounds     atomic.Pointer[jwsettings.Bounds]
	entries    jwentry.Table
	targets    jwinstance.Table
	members    jwmember.Table
	retries    jwbudget.Retry
	quotas     jwquota.Ledger
	sharing    jwquotaexchange.Exchange // of the quotas' units with other nodes
	regions    regionTable
	unseenAt   time.Time // when nodes that were not seen were called last; of exchange only, as unseenTurn
	unseenTurn int
	exchanging sync.Map // names of the peers that an exchange waits for
	demand     jwentry.Demand
	suspects   jwsuspect.Table
	crashes    singleflight.Group // questions whether targets have crashed
	synced     atomic.Bool        // the store was read once
	stopping   atomic.Bool
	ending     atomic.Bool // the grace period is over: what still runs is cut off
	begun      time.Time
	stopFrom   atomic.Int64  // when the planned stop began, nanoseconds since begun
	fleetLost  atomic.Bool   // the store came back without the size of the fleet
	changed    chan struct{} // the registration has to be written anew
	inFlight   atomic.Int64
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
	g.pulse.Begin()
	group.Go(func() error { g.watchPulse(work); return nil })
	group.Go(func() error { g.follow(work); return nil })
	group.Go(func() error { g.start(work); return nil })
	group.Go(func() error { g.register(work); return nil })
	group.Go(func() error { g.exchange(work); return nil })
	group.Go(func() error { g.sharing.Run(work); return nil })
	group.Go(func() error { g.probe(work); return nil })
	group.Go(func() error { g.reload(work); return nil })
	group.Go(func() error { g.observe(work); return nil })
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
	g.begun = time.Now()
	g.pulse.Limit, g.pulse.Boot = pauseLimit, g.Boot
	g.meters = newMeters(g.Meter)
	g.follower = newFollower(g)
	g.Targets.Share = g.connShare
	g.Targets.Opened = func() { g.meters.opened.Inc(1) }
	g.changed = make(chan struct{}, 1)
	g.members.Self = jwmember.Member{
		Name: s.Node, Region: s.Region, DataCentre: s.DataCentre,
		Callers: o.Listen.Callers, Nodes: o.Listen.Nodes,
		Start: time.Now().UnixNano(), Serving: false, Capacity: o.Capacity(),
	}
	g.members.RelayThreshold = g.RelayThreshold
	g.targets.Node, g.targets.Region = s.Node, s.Region
	g.suspects.Node, g.suspects.Region = s.Node, s.Region
	g.targets.Warmup = g.warmup
	g.targets.Share = g.coldShare
	g.targets.LimitPart = g.limitPart
	g.targets.Rand = rand.IntN
	g.targets.Nodes = func() int { return g.members.Count(time.Now(), s.Region) }
	g.bounds.Store(&o.Bounds)
	g.retries.Limits = func() jwbudget.Limits {
		b := g.bounds.Load()
		return jwbudget.Limits{Ratio: b.RetryRatio, Slack: b.RetrySlack, Window: b.RetryWindow}
	}
	g.quotas.Quota = g.quotaOf
	g.quotas.Bounds = func() jwquota.Bounds {
		b := g.bounds.Load()
		return jwquota.Bounds{Window: b.QuotaWindow, Ratio: b.QuotaRatio, Slack: b.QuotaSlack}
	}
	g.quotas.Lacks = g.sharing.Kick
	g.sharing.Ledger, g.sharing.Members, g.sharing.Limited = &g.quotas, &g.members, g.limited
	g.sharing.Window = func() time.Duration { return g.bounds.Load().QuotaWindow }
	g.sharing.Call, g.sharing.Log = g.nodeCall, g.Log
	g.retries.Nodes = func() int { return g.members.Count(time.Now(), "") }
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

// connUse is the part of the connections that a target takes which nodes keep
// unused; the rest is for what is in flight.
const connUse = 0.5

// connShare is how many unused connections to a target this node may keep.
func (g *Gateway) connShare(a netip.AddrPort) int {
	c := g.entries.Current()
	if c == nil {
		return 1
	}
	s := c.Services[g.targets.ServiceAt(a)]
	if s == nil || s.MaxConns == 0 {
		return 1
	}
	return int(connUse*float64(s.MaxConns)) / g.members.Count(time.Now(), g.Settings.Region)
}

// coldShare is how many requests a second this node may send to a cold target.
func (g *Gateway) coldShare(service, target string) float64 {
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
func (g *Gateway) limitPart(rate float64, target string, knows func(node string) bool) jwbudget.LimitPart {
	now := time.Now()
	if g.members.ListedFor(now) < jwbudget.LimitSettle {
		return jwbudget.LimitPart{}
	}
	return jwbudget.PartOf(rate, g.members.OwnsAmong(now, target, knows), g.members.Count(now, g.Settings.Region))
}

// leaving reports whether the node has been stopping for so long that a new
// request might outlast it.
func (g *Gateway) leaving() bool {
	return g.stopping.Load() && time.Since(g.begun) > time.Duration(g.stopFrom.Load())+g.linger()
}

// ready reports whether the node serves callers.
func (g *Gateway) ready() bool {
	return g.entries.Current() != nil && !g.stopping.Load() && g.pulse.Alive()
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

// observePeriod is the time between two settings of the gauges.
const observePeriod = time.Second

// observe sets the gauges now and then.
func (g *Gateway) observe(ctx context.Context) {
	for ctx.Err() == nil {
		now := time.Now()
		g.meters.version.Update(float64(g.entries.Version()))
		g.meters.nodes.Update(float64(len(g.members.Live(now, ""))))
		g.meters.inFlight.Update(float64(g.inFlight.Load()))
		g.meters.limited.Update(float64(g.targets.LimitedTargets()))
		g.meters.budget(g.retries.Left(now))
		g.meters.storeAge.Update((now.Sub(g.begun) - time.Duration(g.viewed.Load())).Seconds())
		if g.LostLines != nil {
			g.meters.lost.Update(float64(g.LostLines()))
		}
		jwclock.Sleep(ctx, observePeriod)
	}
}
