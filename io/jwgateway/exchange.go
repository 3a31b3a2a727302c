package jwgateway

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"jujubewheel/core/jwclock"
	"jujubewheel/core/jwinstance"
	"jujubewheel/core/jwmember"
	"jujubewheel/core/jwstore"
	"jujubewheel/core/jwsuspect"
	"jujubewheel/io/jwconn"
)

// The paths of the calls between nodes that are no forwards.
const (
	statePath = "/state"
	viewPath  = "/view"
)

const (
	// exchangePeriod is the time between two exchanges with the nodes of other
	// regions.
	exchangePeriod = time.Second
	// localPeriod is the time between two exchanges with a node of the region;
	// targets are chosen by what these have in flight.
	localPeriod = 100 * time.Millisecond
	// localPeriodNodes is the number of nodes in a region up to which localPeriod
	// holds; it grows with more, so that the work of each stays the same.
	localPeriodNodes = 4
	exchangeTimeout  = time.Second
	maxStateSize     = 4 << 20
	// localReportAge and remoteNewsAge are how long an event is reported within the region and to
	// others: several exchanges, as one may be lost.
	localReportAge  = 4 * localPeriod
	remoteReportAge = 2*exchangePeriod + exchangePeriod/2
)

// state is what a node reports of itself to another one.
type state struct {
	Member      jwmember.Member                   `json:"member"`
	Version     uint64                            `json:"version"`            // of the configuration in force
	Waits       map[string]int64                  `json:"waits,omitempty"`    // milliseconds until a first event, by service, for other regions
	Gaps        map[string]int64                  `json:"gaps,omitempty"`     // milliseconds between two events, by service, for other regions
	InSync      bool                              `json:"inSync"`             // it reaches the store
	Revision    jwstore.Revision                  `json:"revision"`           // of the store, up to which it was read
	Cold        map[string]int64                  `json:"cold,omitempty"`     // milliseconds for which targets stay cold, within the region only
	Limits      map[string]jwinstance.LimitReport `json:"limits,omitempty"`   // that targets name, within the region only
	Leaving     map[string]int64                  `json:"leaving,omitempty"`  // targets that said so, by their start, within the region only
	Suspects    []jwsuspect.Notice                `json:"suspects,omitempty"` // requests that were in flight as targets crashed
	Placed      *jwinstance.Places                `json:"placed,omitempty"`
	LocalSeen   []string                          `json:"localSeen,omitempty"` // nodes of the region seen lately, for other regions
	Loads       *jwinstance.Loads                 `json:"loads,omitempty"`     // within the region only
	RelayReport *relayReport                      `json:"through,omitempty"`   // where nodes report through relays
}

// state returns what is reported to a node of a region.
func (g *Gateway) state(now time.Time, region string) state {
	s := state{
		Member: g.members.Me(), Version: g.entries.Version(), Waits: map[string]int64{}, Gaps: map[string]int64{},
		InSync: !g.store.stale(now), Revision: g.store.revision.Load(),
	}
	if c := g.entries.Current(); c != nil && region != g.Settings.Region {
		for name := range c.Services {
			if d, ok := g.targets.Wait(now, name); ok {
				s.Waits[name] = d.Milliseconds()
				s.Gaps[name] = g.targets.Gap(now, name).Milliseconds()
			}
		}
	}
	if region == g.Settings.Region {
		loads, placed := g.targets.Report(now)
		s.Loads, s.Placed = jwinstance.Columns(loads), jwinstance.PlaceColumns(placed)
		s.Cold = g.targets.ReportCold(now)
		s.Limits = g.targets.ReportLimits(now, false)
		s.Leaving = g.targets.ReportLeaving()
		s.Suspects = g.suspectNotices(now, region, localReportAge)
	} else {
		s.Placed = jwinstance.PlaceColumns(g.targets.ReportRemote(now))
		s.LocalSeen = g.members.LocalSeen(now)
		s.Suspects = g.suspectNotices(now, region, remoteReportAge)
	}
	return s
}

// exchangeStates pushes the state of the node to its peers and pulls theirs, those of
// the region more often.
func (g *Gateway) exchangeStates(ctx context.Context) {
	var far time.Time
	for ctx.Err() == nil {
		now := time.Now()
		if g.members.Large(now, g.Settings.Region) {
			if now.Sub(far) >= exchangePeriod && g.members.IsRelay(now) {
				far = now
				g.exchangeRemote(ctx, now)
			}
			g.exchangeViaRelay(ctx, now)
			jwclock.Sleep(ctx, g.relayExchangePeriod(now))
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
		if now.Sub(far) >= exchangePeriod {
			far = now
			g.exchangeRemote(ctx, now)
		}
		jwclock.Sleep(ctx, min(localPeriod*time.Duration(max(near, localPeriodNodes))/localPeriodNodes, exchangePeriod))
	}
}

// exchangeRemote exchanges state with one node of each other region, which knows what all of
// that region know, or to its relays.
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

// exchangeWith exchanges state once with each of the peers that fit; of two peers one
// begins.
func (g *Gateway) exchangeWith(ctx context.Context, peers []jwmember.Member, fits func(jwmember.Member) bool) {
	now := time.Now()
	me := g.members.Me()
	for _, m := range peers {
		// One that is not seen may have started anew and know nobody.
		if m.Name < me.Name && me.Serving && g.members.RecentlySeen(now, m.Name) || !fits(m) {
			continue
		}
		g.sendStateTo(ctx, now, m)
	}
}

// sendStateTo exchanges state with a peer, unless it has not answered yet.
func (g *Gateway) sendStateTo(ctx context.Context, now time.Time, m jwmember.Member) {
	if _, busy := g.exchangesInFlight.LoadOrStore(m.Name, true); busy {
		return
	}
	g.sendState(ctx, m, g.state(now, m.Region))
}

// sendState pushes a state to a peer and merges its answer; g.exchanging holds its name.
func (g *Gateway) sendState(ctx context.Context, m jwmember.Member, s state) {
	body, err := json.Marshal(s)
	if err != nil {
		g.exchangesInFlight.Delete(m.Name)
		g.Log.Error(err, "state not encoded")
		return
	}
	go func() {
		defer g.exchangesInFlight.Delete(m.Name)
		g.exchangeState(ctx, m, body)
	}()
}

func (g *Gateway) exchangeState(ctx context.Context, m jwmember.Member, body []byte) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	start := time.Now()
	answer, err := g.nodeCall(ctx, m, http.MethodPost, statePath, body)
	if err != nil {
		g.members.Failed(time.Now(), m.Name)
		g.Nodes.Drop(m.Nodes)
		return
	}
	var s state
	if err := json.Unmarshal(answer, &s); err != nil {
		g.Log.Info("state not readable", "peer", m.Name, "error", err.Error())
		return
	}
	g.mergeState(s, m)
	g.regions.recordRoundTrip(s.Member.Region, time.Since(start))
}

// nodeCall makes a call to another node and returns the body of the answer.
func (g *Gateway) nodeCall(ctx context.Context, m jwmember.Member, method, path string, body []byte) ([]byte, error) {
	a, err := g.Nodes.Do(ctx, &jwconn.Call{Peer: m.Nodes, Method: method, Target: path, Host: m.Nodes.String(), Body: body})
	if err != nil {
		return nil, err
	}
	defer a.Close()
	return io.ReadAll(io.LimitReader(a.Body, 8<<20))
}

// mergeState merges what a peer reports of itself.
func (g *Gateway) mergeState(s state, from jwmember.Member) {
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
	g.targets.MergeCold(now, s.Cold)
	g.targets.MergeLimits(now, s.Limits)
	for _, id := range g.targets.MergeLeaving(s.Leaving) {
		g.Log.Info("target leaves", "target", id, "from", s.Member.Name)
	}
	g.suspects.Merge(s.Suspects, now)
	if s.InSync && s.Member.Region == g.Settings.Region {
		g.store.syncedPeerSeen.Store(now.UnixNano())
	}
	if s.Version > g.entries.Version() || g.peerIsAhead(now, s.Revision) {
		if from.Name == "" {
			from = s.Member
		}
		go g.pullView(from.Nodes)
	}
}

func (g *Gateway) serveState(w http.ResponseWriter, r *http.Request) {
	var s state
	if err := json.NewDecoder(io.LimitReader(r.Body, maxStateSize)).Decode(&s); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	g.mergeState(s, jwmember.Member{})
	w.Header()["Content-Type"] = []string{"application/json"}
	if err := json.NewEncoder(w).Encode(g.replyState(time.Now(), s)); err != nil {
		g.Log.V(1).Info("state not sent", "peer", s.Member.Name, "error", err.Error())
	}
}
