package jwnode

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"jujubewheel/core/jwboard"
	"jujubewheel/core/jwcatalogue"
	"jujubewheel/core/jwclaim"
	"jujubewheel/core/jwclock"
	"jujubewheel/core/jwdirectory"
	"jujubewheel/core/jwdispatch"
	"jujubewheel/core/jwdrain"
	"jujubewheel/core/jwexplain"
	"jujubewheel/core/jwhost"
	"jujubewheel/core/jwpeer"
	"jujubewheel/core/jwrequest"
	"jujubewheel/core/jwtarget"
	"jujubewheel/io/jwaudit"
	"jujubewheel/io/jwconsul"
	"jujubewheel/io/jwforward"
	"jujubewheel/io/jwlisten"
	"jujubewheel/io/jwmeter"
	"jujubewheel/io/jwrest"
	"jujubewheel/io/jwsettings"
	"jujubewheel/io/jwtargetclient"
)

// Intervals and timeouts that are not settings, since no installation had to
// change them so far.
const (
	stateReportInterval = 5 * time.Second        // shortest time between two reports of this node's own state while nothing changes
	exchangeTimeout     = time.Second            // for one state exchange with a peer
	peerTimeout         = 15 * time.Second       // age of a peer's newest state from which on it is no relay and does not count as serving
	loadTimeout         = time.Second            // for one load report of a target
	platformTimeout     = 2 * time.Second        // for one call to a platform service or to a peer that replaces it
	confirmInterval     = 200 * time.Millisecond // between checks of the revision of the nodes that this one confirms for
	minPauseLimit       = 500 * time.Millisecond // lower bound of the pause after which the node counts as having been paused
	linger              = 3 * time.Second        // answering after the handover; longer than a call waits for its claim
)

// Node is one node of the system. Its exported fields are set before Listen or
// Run and don't change afterwards.
type Node struct {
	Settings *jwsettings.Settings
	Log      logr.Logger
	Meter    *jwmeter.Meter
	Audit    *jwaudit.Trail

	board          jwboard.Board
	self           jwrequest.Hop
	store          *jwconsul.KeyValue
	pool           *jwforward.Pool
	targets        *jwtargetclient.Client
	keeper         *jwclaim.Keeper
	drain          jwdrain.Drain
	follower       *jwcatalogue.Follower
	editor         *jwcatalogue.Editor
	hostRemovals   *jwcatalogue.HostRemovals
	sponsoredNodes *jwcatalogue.SponsoredNodes
	membership     *jwcatalogue.Membership
	gatherer       *jwcatalogue.Gatherer
	acceptance     *jwcatalogue.Acceptance
	exchange       *jwpeer.Exchange
	dispatcher     *jwdispatch.Dispatcher
	callers        *jwrest.Server
	nodeListener   net.Listener
	grpcServer     *grpc.Server
	operators      *jwrest.Server
	tracer         *jwexplain.Tracer
	keys           keys
	serving        atomic.Bool
	pauseDetector  jwclock.PauseDetector
}

// Run serves until ctx ends, then stops gracefully: the node accepts no new
// requests, finishes those in flight and hands its tickets and stored answers
// over to another node. Run returns nil after such a stop.
func (n *Node) Run(ctx context.Context) error {
	if err := n.Listen(); err != nil {
		return err
	}
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, work := errgroup.WithContext(work)
	n.startControllers(work, g)
	g.Go(func() error { return errors.Wrap(n.grpcServer.Serve(n.nodeListener), "serve nodes") })
	g.Go(func() error { return n.callers.Run(work) })
	g.Go(func() error { return n.operators.Run(work) })
	g.Go(func() error {
		err := n.runLifecycle(ctx, work)
		stop()
		n.grpcServer.GracefulStop()
		return err
	})
	err := g.Wait()
	if ctx.Err() != nil && (err == nil || errors.Is(err, context.Canceled)) {
		return nil
	}
	return err
}

// Listen opens the node's ports and sets up all its parts. Run calls it if it
// was not called before.
func (n *Node) Listen() error {
	if n.callers != nil {
		return nil
	}
	s := n.Settings
	n.pauseDetector.Limit = max(s.Periods.HostsLag/2, minPauseLimit)
	n.self = jwrequest.Hop{Node: s.Node, Region: s.Region, DataCentre: s.DataCentre}
	nodeListener, err := net.Listen("tcp", s.Listen.Nodes.String())
	if err != nil {
		return errors.Wrapf(err, "listen for nodes: %s", s.Listen.Nodes)
	}
	n.nodeListener = nodeListener
	if err := n.loadKeys(); err != nil {
		return err
	}
	n.assemble()
	callers := &jwlisten.Callers{
		Dispatcher: n.dispatcher, Gate: &n.drain, Tickets: n.keeper, Ready: n.ready, Log: n.Log,
		MaxHeader: s.Limits.MaxHeader,
		Counter:   n.dispatcher.Counter, Tracer: n.tracer,
	}
	handler, err := callers.Handler()
	if err != nil {
		return err
	}
	n.callers = &jwrest.Server{
		Name: "callers", Address: s.Listen.Callers, Handler: handler, MaxHeader: s.Limits.MaxHeader, Log: n.Log,
		TLS: serverTLS(n.keys.callers), MaxConnections: s.Limits.MaxConnections,
	}
	if err := n.callers.Listen(); err != nil {
		return err
	}
	if err := n.listenOperators(); err != nil {
		return err
	}
	n.setAdvertisedAddresses()
	n.Log.Info("listening", "callers", n.CallersAddr(), "operators", n.OperatorsAddr(), "nodes", n.NodesAddr())
	return nil
}

// setAdvertisedAddresses sets the addresses that are reported to peers, once the
// ports are open.
func (n *Node) setAdvertisedAddresses() {
	s := n.Settings
	n.board.Peers.Update(time.Now(), func(p *jwpeer.Peer) {
		p.CallerAddress = advertisedAddress(s.Advertise.Callers, n.callers.Addr())
		p.NodeAddress = advertisedAddress(s.Advertise.Nodes, n.NodesAddr())
	})
}

// advertisedAddress returns the address from the settings if it has a port,
// otherwise the one that the listener is bound to.
func advertisedAddress(configured, bound netip.AddrPort) netip.AddrPort {
	if configured.IsValid() && configured.Port() != 0 {
		return configured
	}
	return bound
}

// CallersAddr returns the address of the listener for callers. It is valid once
// Listen has returned.
func (n *Node) CallersAddr() netip.AddrPort { return n.callers.Addr() }

// NodesAddr returns the address of the listener for other nodes. It is valid
// once Listen has returned.
func (n *Node) NodesAddr() netip.AddrPort {
	bound, ok := n.nodeListener.Addr().(*net.TCPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	a := bound.AddrPort()
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

// startControllers starts the controllers in g; they run until ctx ends.
func (n *Node) startControllers(ctx context.Context, g *errgroup.Group) {
	s := n.Settings
	hosts := &jwhost.Watcher{
		List:  &jwconsul.HostList{Address: s.Platform.Hosts, Path: s.Platform.HostsPath, Timeout: platformTimeout},
		Peer:  &hostSource{peers: &n.board.Peers, pool: n.pool, self: n.self},
		Table: &n.board.Hosts, Period: s.Periods.HostsPoll, Now: time.Now, Apply: n.applyHosts,
	}
	directory := &jwdirectory.Watcher{
		Source: &jwconsul.Directory{Address: s.Platform.Directory, Timeout: platformTimeout},
		Peer:   &directorySource{peers: &n.board.Peers, pool: n.pool, self: n.self},
		Table:  &n.board.Directory, Period: s.Periods.DirectoryPoll,
	}
	poller := &jwtarget.Poller{
		Table: &n.board.Targets, Source: n.targets, Period: s.Periods.LoadPoll, Timeout: loadTimeout,
		Workers: s.Workers, Now: time.Now, Leaving: func(netip.AddrPort) { n.exchange.Trigger() },
		Busy: n.isBusyRelay,
	}
	for _, run := range []func(context.Context) error{
		hosts.Run, directory.Run, poller.Run, n.exchange.Run, n.follower.Run, n.wakeFollower, n.gatherer.Run, n.keeper.Run, n.reportRevision, n.maintainTables,
		n.observer().Run, n.keys.run,
	} {
		g.Go(func() error { return run(ctx) })
	}
}

// reportRevision reports to the other nodes the catalogue revision that is in
// force at this node and at all nodes that it confirms revisions for.
func (n *Node) reportRevision(ctx context.Context) error {
	for {
		changed := n.board.Catalogue.Changed()
		revision := n.sponsoredNodes.Confirmed()
		if n.board.Peers.Self().Revision != revision {
			n.board.Peers.Update(time.Now(), func(p *jwpeer.Peer) {
				p.Revision = revision
				p.OldestChange = n.board.Catalogue.OldestChange()
			})
		}
		select {
		case <-changed:
		case <-time.After(confirmInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// wakeFollower makes the follower ask peers for catalogue changes as soon as one
// of them is known to have a newer revision than this node.
func (n *Node) wakeFollower(ctx context.Context) error {
	for {
		changed := n.board.Peers.Changed()
		revision := n.board.Catalogue.Revision()
		ahead := n.board.Peers.Select(func(p jwpeer.Peer) bool { return p.Revision > revision })
		if len(ahead) > 0 {
			n.follower.Wake()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// maintainTables does the periodic work on the tables once a second: it removes
// expired peers and idle owners of the limiter, and sets which serving nodes
// share the region's limits, reports of suspect requests and routing of requests
// to other regions.
func (n *Node) maintainTables(ctx context.Context) error {
	for {
		now := time.Now()
		n.board.Peers.Forget(now.Add(-jwpeer.MaxAge))
		n.board.Limiter.Forget(now)
		var members []string
		for _, p := range n.board.Peers.Fresh(now.Add(-peerTimeout)) {
			if p.Region == n.self.Region && p.State == jwpeer.Serving {
				members = append(members, p.Name)
			}
		}
		n.board.Limiter.SetMembers(members)
		n.board.Suspects.SetMembers(members)
		n.board.Regions.SetLocalNodes(len(members))
		select {
		case <-time.After(time.Second):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// isBusyRelay reports whether this node relays state for many others. In a small
// system, with two nodes a data centre, each node is a relay but has few
// messages to pass on.
func (n *Node) isBusyRelay() bool {
	return n.exchange.IsRelay() && n.board.Peers.Len() > busyRelayPeers
}

// busyRelayPeers is the number of known nodes above which a relay's messages are a
// noticeable load.
const busyRelayPeers = 100

// watchesStore reports whether this node watches the platform's key-value service
// for catalogue changes.
func (n *Node) watchesStore() bool {
	return n.exchange.IsRelay()
}

// setState reports the node's state to the other nodes and records it in the
// audit trail.
func (n *Node) setState(state jwpeer.State) {
	n.board.Peers.Update(time.Now(), func(p *jwpeer.Peer) { p.State = state })
	n.Audit.Add(jwaudit.Record{Kind: jwaudit.NodeState, Subject: n.self.Node, To: string(state)})
}
