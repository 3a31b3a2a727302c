package jwnode

import (
	"math/rand/v2"
	"time"

	"github.com/google/uuid"

	"jujubewheel/core/jwboard"
	"jujubewheel/core/jwcatalogue"
	"jujubewheel/core/jwclaim"
	"jujubewheel/core/jwdispatch"
	"jujubewheel/core/jwexplain"
	"jujubewheel/core/jwpeer"
	"jujubewheel/core/jwrouter"
	"jujubewheel/io/jwconsul"
	"jujubewheel/io/jwforward"
	"jujubewheel/io/jwsettings"
	"jujubewheel/io/jwtargetclient"
)

// assemble creates the parts of the node and connects them to the board.
func (n *Node) assemble() {
	s := n.Settings
	incarnation := uuid.Must(uuid.NewV7()).String()
	n.store = &jwconsul.KeyValue{Address: s.Platform.KeyValue, Timeout: platformTimeout}
	n.pool = &jwforward.Pool{Credentials: n.nodeCredentials()}
	n.targets = &jwtargetclient.Client{}
	n.tracer = &jwexplain.Tracer{Node: s.Node, Region: s.Region, Now: time.Now}
	n.assembleBoard()
	n.assembleKeeper(incarnation)
	n.assembleDispatcher()
	n.assembleCatalogue(incarnation)
	n.assembleExchange()
	n.assembleServer()
	n.board.Peers.SetSelf(jwpeer.Peer{
		Name: s.Node, Region: s.Region, DataCentre: s.DataCentre,
		Incarnation: incarnation, State: jwpeer.Joining, Sequence: 1,
	}, time.Now())
	n.addSeeds(time.Now())
}

// assembleBoard sets the name and region of this node in the tables, and the
// links to other regions.
func (n *Node) assembleBoard() {
	s := n.Settings
	n.board.Targets.Node = s.Node
	n.board.Targets.Region = s.Region
	n.board.Limiter.Node = s.Node
	n.board.Suspects.Node = s.Node
	n.board.Suspects.Region = s.Region
	n.board.Regions.Links = regionLinks(s)
}

// regionLinks returns the link from this node's region to each region, by the
// name of the region.
func regionLinks(s *jwsettings.Settings) map[string]jwrouter.Link {
	out := make(map[string]jwrouter.Link)
	for _, r := range s.Regions {
		l := s.Link(s.Region, r.Name)
		out[r.Name] = jwrouter.Link{Delay: l.Delay, Price: l.CostPerGB}
	}
	return out
}

// assembleKeeper creates the claim keeper and the drain, which together make
// sure that a key runs at most once, even when the node is stopped.
func (n *Node) assembleKeeper(incarnation string) {
	s := n.Settings
	n.keeper = &jwclaim.Keeper{
		Store: n.store, Node: s.Node, Region: s.Region, Incarnation: incarnation,
		Salt: []byte(s.Claims.Salt), Peers: servingPeers{&n.board.Peers},
		KeyMemory: s.Claims.KeyMemory, GroupWindow: s.Claims.GroupWindow,
	}
	n.drain.Keys = n.keeper
	n.drain.Successors = n.successors
	n.drain.InFlightTimeout = s.DrainLimit
	n.drain.Linger = linger
	n.drain.OnStateChange = n.drainChanged
}

// assembleDispatcher creates the router and the dispatcher of the request path.
func (n *Node) assembleDispatcher() {
	s := n.Settings
	router := &jwrouter.Router{
		Region: s.Region, DataCentre: s.DataCentre, Targets: &n.board.Targets, Regions: &n.board.Regions,
	}
	n.dispatcher = &jwdispatch.Dispatcher{
		Self: n.self, Board: &n.board, Router: router, Targets: n.targets, Peers: n.pool, Claims: n.keeper,
		OnCrash:  n.reportCrash,
		Departed: func(p jwpeer.Peer) bool { return n.hostRemovals.Gone(memberOf(p)) },
		Now:      time.Now, Counter: &counter{meter: n.Meter, settings: s}, Tracer: n.tracer,
	}
}

// assembleCatalogue creates the parts that bring catalogue changes into force
// and those that find out whether a change is in force at all nodes.
func (n *Node) assembleCatalogue(incarnation string) {
	s := n.Settings
	n.editor = &jwcatalogue.Editor{Store: n.store, Table: &n.board.Catalogue}
	n.follower = &jwcatalogue.Follower{
		Store: n.store, Table: &n.board.Catalogue, WatchesStore: n.watchesStore,
		Source: &changeSource{peers: &n.board.Peers, pool: n.pool, self: s.Node},
	}
	n.hostRemovals = &jwcatalogue.HostRemovals{Hosts: &n.board.Hosts, Lag: s.Periods.HostsLag}
	n.sponsoredNodes = &jwcatalogue.SponsoredNodes{
		Table: &n.board.Catalogue, Peers: &n.board.Peers, HostRemovals: n.hostRemovals, Serving: n.ready,
	}
	n.membership = &jwcatalogue.Membership{
		Member: jwcatalogue.Member{Name: s.Node, Region: s.Region, Incarnation: incarnation},
		Store:  n.store, Follower: n.follower,
		Sponsors: &sponsorClient{peers: &n.board.Peers, pool: n.pool}, SponsoredNodes: n.sponsoredNodes,
	}
	n.gatherer = &jwcatalogue.Gatherer{
		Name: s.Node, Region: s.Region, Store: n.store, Table: &n.board.Catalogue, Peers: freshPeers{&n.board.Peers},
		HostRemovals: n.hostRemovals, Registered: n.membership.Registered,
	}
	n.acceptance = &jwcatalogue.Acceptance{Store: n.store}
}

// assembleExchange creates the exchange of state with other nodes.
func (n *Node) assembleExchange() {
	s := n.Settings
	reporter := &jwboard.Reporter{Board: &n.board, Moves: n.keeper, Now: time.Now}
	n.exchange = &jwpeer.Exchange{
		Table: &n.board.Peers, Transport: n.pool, News: reporter,
		Period: s.Periods.Exchange, MinHeartbeatInterval: stateReportInterval, Timeout: exchangeTimeout, Silence: peerTimeout,
		Now: time.Now, Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Gatherer: jwcatalogue.GathererOf,
	}
	reporter.Trigger = n.exchange.Trigger
}

// assembleServer creates the gRPC server for other nodes.
func (n *Node) assembleServer() {
	server := &jwforward.Server{
		Credentials: n.nodeCredentials(),
		Dispatcher:  n.dispatcher, Gate: &n.drain, Ready: n.ready, Exchanger: n.exchange,
		HandoverReceiver: &auditedHandoverReceiver{keeper: n.keeper, audit: n.Audit},
		Sponsor:          &sponsorServer{sponsoredNodes: n.sponsoredNodes, region: n.Settings.Region},
		Catalogue:        &changeRecords{&n.board.Catalogue}, Workspaces: &n.board.Directory, HostList: &n.board.Hosts,
		MaxBody: n.Settings.Limits.MaxBody,
	}
	n.grpcServer = server.GRPC()
}
