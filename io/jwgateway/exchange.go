package jwgateway

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"time"

	"jujubewheel/core/jwbalance"
	"jujubewheel/core/jwclock"
	"jujubewheel/core/jwinstance"
	"jujubewheel/core/jwledger"
	"jujubewheel/core/jwmember"
	"jujubewheel/core/jwpart"
	"jujubewheel/core/jwstore"
	"jujubewheel/core/jwsuspect"
	"jujubewheel/io/jwconn"
)

// Paths of the calls between nodes other than forwarded requests.
const (
	statePath = "/state"
	viewPath  = "/view"
)

const (
	// exchangeInterval is the time between two exchanges with the nodes of other regions.
	exchangeInterval = time.Second
	// localInterval is the time between two exchanges with a node of the same region. It is short
	// because targets are chosen by the requests that these nodes have in flight.
	localInterval = 100 * time.Millisecond
	// localIntervalNodes is the number of nodes in a region up to which localInterval applies. With
	// more nodes the interval grows in proportion, so that the load of each node stays constant.
	localIntervalNodes = 4
	exchangeTimeout    = time.Second
	maxStateSize       = 4 << 20
)

// state is what a node reports about itself to another one.
type state struct {
	Member  jwmember.Member `json:"member"`
	Version uint64          `json:"version"` // of the configuration in force
	// ConfigAge is how long ago, in milliseconds, that version was known to be the newest; nil if unknown.
	ConfigAge *int64                            `json:"configAge,omitempty"`
	Waits     map[string]int64                  `json:"waits,omitempty"`  // milliseconds until a first event by service, sent to other regions only
	Gaps      map[string]int64                  `json:"gaps,omitempty"`   // milliseconds between two events by service, sent to other regions only
	InSync    bool                              `json:"inSync"`           // the node reaches the store
	Revision  jwstore.Revision                  `json:"revision"`         // store revision up to which the node has read
	Cold      map[string]int64                  `json:"cold,omitempty"`   // milliseconds for which targets stay cold, sent within the region only
	Limits    map[string]jwinstance.LimitReport `json:"limits,omitempty"` // limits that targets announce, sent within the region only
	// Leaving holds targets that announced leaving, with the start of their incarnation; sent
	// within the region only.
	Leaving     map[string]int64             `json:"leaving,omitempty"`
	Suspects    jwsuspect.Update             `json:"crashes,omitzero"` // requests that were in flight when targets crashed, and those served since
	Parts       jwpart.Update                `json:"parts,omitzero"`   // parts of prompts that were in flight when targets crashed, and those served since
	Placed      *jwinstance.PlacementColumns `json:"placed,omitempty"`
	LocalSeen   []string                     `json:"localSeen,omitempty"` // nodes of the region seen recently, sent to other regions only
	Loads       *jwinstance.LoadColumns      `json:"loads,omitempty"`     // sent within the region only
	RelayReport *relayReport                 `json:"through,omitempty"`   // set if state is exchanged through relays
	Ledger      *jwledger.Report             `json:"ledger,omitempty"`    // demand for services with overload control, sent within the region only
	Balance     *balanceState                `json:"balance,omitempty"`   // sent within the region only
}

// state returns the state to be reported to a node of a region.
func (g *Gateway) state(now time.Time, region string) state {
	configAge := g.configAge(now) // before the version, which may then be later and never earlier
	s := state{
		Member: g.members.Local(), Version: g.entries.Version(), ConfigAge: configAge, Waits: map[string]int64{}, Gaps: map[string]int64{},
		InSync: !g.store.stale(now), Revision: g.store.revision.Load(), Ledger: g.ledgerFor(now, region),
	}
	if c := g.entries.Current(); c != nil && region != g.Settings.Region {
		for name := range c.Services {
			if d, ok := g.targets.Wait(now, name); ok {
				s.Waits[name] = (d + g.serviceRoomWait(name)).Milliseconds()
				s.Gaps[name] = g.targets.Gap(now, name).Milliseconds()
			}
		}
	}
	if region == g.Settings.Region {
		loads, placed := g.targets.Report(now)
		s.Loads, s.Placed = jwinstance.NewLoadColumns(loads), jwinstance.NewPlacementColumns(placed)
		s.Cold = g.targets.ReportCold(now)
		s.Balance = g.balanceStateFor(now, jwbalance.FromNode)
		s.Limits = g.targets.ReportLimits(now, false)
		s.Leaving = g.targets.ReportLeaving()
	} else {
		s.Placed = jwinstance.NewPlacementColumns(g.targets.ReportRemote(now))
		s.LocalSeen = g.members.LocalSeen(now)
	}
	return s
}

// exchangeIntervalFor returns the time between two exchanges with so many other nodes of the region.
func exchangeIntervalFor(nodes int) time.Duration {
	return min(localInterval*time.Duration(max(nodes, localIntervalNodes))/localIntervalNodes, exchangeInterval)
}

// exchangeStates sends the node's state to its peers and merges theirs, more often within the
// region, until ctx ends.
func (g *Gateway) exchangeStates(ctx context.Context) {
	var far time.Time
	for ctx.Err() == nil {
		now := time.Now()
		if g.members.Large(now, g.Settings.Region) {
			if now.Sub(far) >= exchangeInterval && g.members.IsRelay(now) {
				far = now
				g.exchangeRemote(ctx, now)
			}
			g.exchangeViaRelay(ctx, now)
			jwclock.Sleep(ctx, g.relayExchangeInterval(now))
			continue
		}
		peers := g.members.Peers(now)
		near := 0
		for _, m := range peers {
			if m.Region == g.Settings.Region {
				near++
			}
		}
		g.exchangeWith(ctx, peers, func(m jwmember.Member) bool { return m.Region == g.Settings.Region })
		if now.Sub(far) >= exchangeInterval {
			far = now
			g.exchangeRemote(ctx, now)
		}
		jwclock.Sleep(ctx, exchangeIntervalFor(near))
	}
}

// exchangeRemote exchanges state with one node of each other region, which knows what all nodes of
// its region know, or with that region's relays.
func (g *Gateway) exchangeRemote(ctx context.Context, now time.Time) {
	asked := make(map[string]bool)
	for _, region := range g.Settings.Gateway.DataCentres {
		if region == g.Settings.Region || asked[region] {
			continue
		}
		asked[region] = true
		for _, m := range g.remotePeers(now, region) {
			g.sendStateTo(ctx, now, m)
		}
	}
}

// exchangeWith exchanges state once with each peer that fits selects. Of two peers that see each
// other, the one whose name sorts first starts the exchange.
func (g *Gateway) exchangeWith(ctx context.Context, peers []jwmember.Member, fits func(jwmember.Member) bool) {
	now := time.Now()
	me := g.members.Local()
	for _, m := range peers {
		// A peer that was not seen recently may have restarted without knowing any other node.
		if m.Name < me.Name && me.Serving && g.members.RecentlySeen(now, m.Name) || !fits(m) {
			continue
		}
		g.sendStateTo(ctx, now, m)
	}
}

// sendStateTo exchanges state with a peer unless an exchange with it is in flight.
func (g *Gateway) sendStateTo(ctx context.Context, now time.Time, m jwmember.Member) {
	if _, busy := g.exchangesInFlight.LoadOrStore(m.Name, true); busy {
		return
	}
	g.sendState(ctx, m, g.state(now, m.Region))
}

// sendState sends a state to a peer and merges the state in its answer. The peer's name must be in
// g.exchangesInFlight.
func (g *Gateway) sendState(ctx context.Context, m jwmember.Member, s state) {
	now := time.Now()
	s.Suspects, s.Parts = g.suspects.UpdateFor(m.Name, m.Region, now), g.parts.UpdateFor(m.Name, m.Region, now)
	body, err := json.Marshal(s)
	if err != nil {
		g.exchangesInFlight.Delete(m.Name)
		g.Log.Error(err, "failed to encode the state")
		return
	}
	go func() {
		defer g.exchangesInFlight.Delete(m.Name)
		g.exchangeState(ctx, m, body)
	}()
}

// exchangeState sends an encoded state to a peer and merges the state in its answer.
func (g *Gateway) exchangeState(ctx context.Context, m jwmember.Member, body []byte) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	start := time.Now()
	answer, err := g.nodeCall(ctx, m, http.MethodPost, statePath, body)
	if err != nil {
		g.members.MarkUnreachable(time.Now(), m.Name)
		g.Nodes.CloseIdle(m.Nodes)
		return
	}
	var s state
	if err := json.Unmarshal(answer, &s); err != nil {
		g.Log.Info("state not readable", "peer", m.Name, "error", err.Error())
		return
	}
	g.mergeState(s, m, start)
	g.regions.recordRoundTrip(s.Member.Region, time.Since(start))
}

// nodeCall calls another node and returns the body of the answer.
func (g *Gateway) nodeCall(ctx context.Context, m jwmember.Member, method, path string, body []byte) ([]byte, error) {
	a, err := g.Nodes.Do(ctx, &jwconn.Call{Peer: m.Nodes, Method: method, Target: path, Host: m.Nodes.String(), Body: body})
	if err != nil {
		return nil, err
	}
	defer a.Close()
	return io.ReadAll(io.LimitReader(a.Body, 8<<20))
}

// mergeState merges the state that a peer reported. from is the peer if this node called it, and
// zero if the peer called. The state is not from before notBefore.
func (g *Gateway) mergeState(s state, from jwmember.Member, notBefore time.Time) {
	now := time.Now()
	if g.members.Seen(now, s.Member) {
		g.dropOldConnections(s.Member)
	}
	g.regions.merge(now, s)
	g.members.SeenByOther(now, s.LocalSeen)
	if s.RelayReport != nil && s.RelayReport.FromRelay {
		g.targets.MergeRelay(now, s.Member.Name, s.Loads.List(), s.Placed.List())
	} else {
		g.targets.Merge(now, s.Member.Name, s.Loads.List(), s.Placed.List())
	}
	g.mergeRelayReport(now, s)
	g.mergeLedger(now, s)
	g.mergeBalance(now, s)
	g.offerAll(now)
	for _, x := range g.targets.MergeCold(now, s.Cold) {
		g.Log.Info("target is cold", "target", x.ID, "from", s.Member.Name, "coldMs", x.Left.Milliseconds(), "sends", x.Sends)
	}
	g.targets.MergeLimits(now, s.Limits)
	for _, id := range g.targets.MergeLeaving(s.Leaving) {
		g.Log.Info("target leaves", "target", id, "from", s.Member.Name)
	}
	g.mergeSuspects(now, s.Suspects, s.Member.Name)
	g.mergeParts(now, s.Parts, s.Member.Name)
	if s.InSync && s.Member.Region == g.Settings.Region {
		g.store.syncedPeerSeen.Store(now.UnixNano())
	}
	g.entries.Confirm(s.Version, s.configKnownAt(notBefore))
	if from.Name == "" {
		from = s.Member
	}
	g.catchUp(now, s, from.Nodes)
}

// catchUp fetches from a peer what its state shows that this node lacks.
func (g *Gateway) catchUp(now time.Time, s state, peer netip.AddrPort) {
	if s.Version > g.entries.Version() {
		go g.pullConfig(peer)
	}
	if g.peerIsAhead(now, s.Revision) {
		go g.pullView(peer)
	}
}

// serveState merges the state that a peer sent and answers with this node's.
func (g *Gateway) serveState(w http.ResponseWriter, r *http.Request) {
	var s state
	if err := json.NewDecoder(io.LimitReader(r.Body, maxStateSize)).Decode(&s); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	g.senders.Alive(time.Now(), s.Member.Name)
	g.mergeState(s, jwmember.Member{}, time.Now().Add(-exchangeTimeout))
	w.Header()["Content-Type"] = []string{"application/json"}
	if err := json.NewEncoder(w).Encode(g.replyState(time.Now(), s)); err != nil {
		g.Log.V(1).Info("failed to send the state", "peer", s.Member.Name, "error", err.Error())
	}
}
