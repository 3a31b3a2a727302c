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

// The paces that are no settings, since nobody had to change them so far.
const (
	beat            = 5 * time.Second // between two states that a node reports of itself when nothing changes
	exchangeTimeout = time.Second
	silence         = 15 * time.Second // after which a peer is no relay
	loadTimeout     = time.Second
	platformTimeout = 2 * time.Second
	confirmEvery    = 200 * time.Millisecond // between looks at the nodes answered for
	shortestPause   = 500 * time.Millisecond // that a pulse takes for one
	linger          = 3 * time.Second        // answering after the handover; longer than a call waits for its claim
)

// Node is one node of the system; set its exported fields before Run.
type Node struct {
	Settings *jwsettings.Settings
	Log      logr.Logger
	Meter    *jwmeter.Meter
	Audit    *jwaudit.Trail

	board      jwboard.Board
	self       jwrequest.Hop
	store      *jwconsul.KeyValue
	pool       *jwforward.Pool
	targets    *jwtargetclient.Client
	keeper     *jwclaim.Keeper
	drain      jwdrain.Drain
	follower   *jwcatalogue.Follower
	editor     *jwcatalogue.Editor
	departures *jwcatalogue.Departures
	adoptions  *jwcatalogue.Adoptions
	membership *jwcatalogue.Membership
	gatherer   *jwcatalogue.Gatherer
	acceptance *jwcatalogue.Acceptance
	exchange   *jwpeer.Exchange
	dispatcher *jwdispatch.Dispatcher
	callers    *jwrest.Server
	nodes      net.Listener
	grpc       *grpc.Server
	operators  *jwrest.Server
	tracer     *jwexplain.Tracer
	keys       keys
	serving    atomic.Bool
	pulse      jwclock.Pulse
}

// Run serves until ctx ends, then stops gracefully: it takes no new requests,
// finishes those in flight and hands over what others must know.
func (n *Node) Run(ctx context.Context) error {
	if err := n.Listen(); err != nil {
		return err
	}
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, work := errgroup.WithContext(work)
	n.control(work, g)
	g.Go(func() error { return errors.Wrap(n.grpc.Serve(n.nodes), "serve nodes") })
	g.Go(func() error { return n.callers.Run(work) })
	g.Go(func() error { return n.operators.Run(work) })
	g.Go(func() error {
		err := n.live(ctx, work)
		stop()
		n.grpc.GracefulStop()
		return err
	})
	err := g.Wait()
	if ctx.Err() != nil && (err == nil || errors.Is(err, context.Canceled)) {
		return nil
	}
	return err
}

// Listen opens the node's ports and sets everything up; Run calls it if it was
// not called.
func (n *Node) Listen() error {
	if n.callers != nil {
		return nil
	}
	s := n.Settings
	n.pulse.Limit = max(s.Periods.HostsLag/2, shortestPause)
	n.self = jwrequest.Hop{Node: s.Node, Region: s.Region, DataCentre: s.DataCentre}
	nodes, err := net.Listen("tcp", s.Listen.Nodes.String())
	if err != nil {
		return errors.Wrapf(err, "listen for nodes: %s", s.Listen.Nodes)
	}
	n.nodes = nodes
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
	n.announce()
	n.Log.Info("listening", "callers", n.CallersAddr(), "operators", n.OperatorsAddr(), "nodes", n.NodesAddr())
	return nil
}

// announce fills in the addresses once the ports are open.
func (n *Node) announce() {
	s := n.Settings
	n.board.Peers.Update(time.Now(), func(p *jwpeer.Peer) {
		p.Callers = advertised(s.Advertise.Callers, n.callers.Addr())
		p.Nodes = advertised(s.Advertise.Nodes, n.NodesAddr())
	})
}

func advertised(set, bound netip.AddrPort) netip.AddrPort {
	if set.IsValid() && set.Port() != 0 {
		return set
	}
	return bound
}

// CallersAddr returns the address that callers use, once Listen has returned.
func (n *Node) CallersAddr() netip.AddrPort { return n.callers.Addr() }

// NodesAddr returns the address that other nodes use, once Listen has returned.
func (n *Node) NodesAddr() netip.AddrPort {
	bound, ok := n.nodes.Addr().(*net.TCPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	a := bound.AddrPort()
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

// control starts the controllers.
func (n *Node) control(ctx context.Context, g *errgroup.Group) {
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
		Workers: s.Workers, Now: time.Now, Leaving: func(netip.AddrPort) { n.exchange.Nudge() },
		Busy: n.carriesMuch,
	}
	for _, run := range []func(context.Context) error{
		hosts.Run, directory.Run, poller.Run, n.exchange.Run, n.follower.Run, n.wakeFollower, n.gatherer.Run, n.keeper.Run, n.reportRevision, n.tend,
		n.observer().Run, n.keys.run,
	} {
		g.Go(func() error { return run(ctx) })
	}
}

// reportRevision reports to the others which catalogue revision is in force here and
// at the nodes that this one answers for.
func (n *Node) reportRevision(ctx context.Context) error {
	for {
		changed := n.board.Catalogue.Changed()
		revision := n.adoptions.Confirmed()
		if n.board.Peers.Self().Revision != revision {
			n.board.Peers.Update(time.Now(), func(p *jwpeer.Peer) {
				p.Revision = revision
				p.Base = n.board.Catalogue.Base()
			})
		}
		select {
		case <-changed:
		case <-time.After(confirmEvery):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// wakeFollower has peers asked for changes as soon as one is known to have more
// than this node.
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

// tend does what is due now and then: it forgets peers long unresponsive and reports
// the limiter which nodes share the region's limits.
func (n *Node) tend(ctx context.Context) error {
	for {
		now := time.Now()
		n.board.Peers.Forget(now.Add(-jwpeer.MostAge))
		n.board.Limiter.Forget(now)
		var members []string
		for _, p := range n.board.Peers.Fresh(now.Add(-silence)) {
			if p.Region == n.self.Region && p.State == jwpeer.Serving {
				members = append(members, p.Name)
			}
		}
		n.board.Limiter.SetMembers(members)
		n.board.Suspects.SetMembers(members)
		n.board.Regions.SetNodes(len(members))
		select {
		case <-time.After(time.Second):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// carriesMuch reports that this node is a relay of many others. With two nodes a
// data centre each is a relay, and none has much to carry.
func (n *Node) carriesMuch() bool {
	return n.exchange.IsRelay() && n.board.Peers.Len() > manyPeers
}

// manyPeers is the number of nodes from which a relay's messages count.
const manyPeers = 100

// watches reports whether this node waits on the platform for catalogue changes.
func (n *Node) watches() bool {
	return n.exchange.IsRelay()
}

// setState reports to the others how far this node is.
func (n *Node) setState(state jwpeer.State) {
	n.board.Peers.Update(time.Now(), func(p *jwpeer.Peer) { p.State = state })
	n.Audit.Add(jwaudit.Record{Kind: jwaudit.NodeState, Subject: n.self.Node, To: string(state)})
}
