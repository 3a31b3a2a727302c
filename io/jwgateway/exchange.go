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
	"jujubewheel/core/jwsuspect"
	"jujubewheel/io/jwconn"
)

// The paths of the calls between nodes that are no forwards.
const (
	statePath  = "/state"
	beliefPath = "/belief"
)

const (
	// exchangePeriod is the time between two exchanges with the nodes of other
	// regions.
	exchangePeriod = time.Second
	// nearPeriod is the time between two exchanges with a node of the region;
	// targets are chosen by what these have in flight.
	nearPeriod = 100 * time.Millisecond
	// nearNodes is the number of nodes in a region up to which nearPeriod
	// holds; it grows with more, so that the work of each stays the same.
	nearNodes       = 4
	exchangeTimeout = time.Second
	maxState        = 4 << 20
	// nearNews and farNews are how long news is told within the region and to
	// others: several exchanges, as one may be lost.
	nearNews = 4 * nearPeriod
	farNews  = 2*exchangePeriod + exchangePeriod/2
)

// state is what a node tells another one of itself.
type state struct {
	Member   jwmember.Member    `json:"member"`
	Version  uint64             `json:"version"`            // of the configuration in force
	Waits    map[string]int64   `json:"waits,omitempty"`    // milliseconds until a first event, by service, told to other regions
	Gaps     map[string]int64   `json:"gaps,omitempty"`     // milliseconds between two events, by service, told to other regions
	Sure     bool               `json:"sure"`               // it reaches the store
	Revision uint64             `json:"revision"`           // of the store, up to which it was read
	Cold     map[string]int64   `json:"cold,omitempty"`     // milliseconds for which targets stay cold, told within the region only
	Suspects []jwsuspect.Notice `json:"suspects,omitempty"` // requests that were in flight as targets crashed
	Placed   *jwinstance.Places `json:"placed,omitempty"`
	Near     []string           `json:"near,omitempty"`    // nodes of the region heard lately, told to other regions
	Loads    *jwinstance.Loads  `json:"loads,omitempty"`   // told within the region only
	Through  *through           `json:"through,omitempty"` // told where nodes speak through relays
}

// state returns what a node of a region is told.
func (g *Gateway) state(now time.Time, region string) state {
	s := state{
		Member: g.members.Me(), Version: g.entries.Version(), Waits: map[string]int64{}, Gaps: map[string]int64{},
		Sure: !g.store.doubt(now), Revision: g.store.revision.Load(),
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
		loads, placed := g.targets.Tell(now)
		s.Loads, s.Placed = jwinstance.Columns(loads), jwinstance.PlaceColumns(placed)
		s.Cold = g.targets.TellCold(now)
		s.Suspects = g.notices(now, region, nearNews)
	} else {
		s.Placed = jwinstance.PlaceColumns(g.targets.TellFar(now))
		s.Near = g.members.Near(now)
		s.Suspects = g.notices(now, region, farNews)
	}
	return s
}

// exchange tells the peers how the node fares and hears how they do, those of
// the region more often.
func (g *Gateway) exchange(ctx context.Context) {
	var far time.Time
	for ctx.Err() == nil {
		now := time.Now()
		if g.members.Crowded(now, g.Settings.Region) {
			if now.Sub(far) >= exchangePeriod && g.members.IsRelay(now) {
				far = now
				g.exchangeFar(ctx, now)
			}
			g.exchangeThrough(ctx, now)
			jwclock.Sleep(ctx, g.throughPeriod(now))
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
			g.exchangeFar(ctx, now)
		}
		jwclock.Sleep(ctx, min(nearPeriod*time.Duration(max(near, nearNodes))/nearNodes, exchangePeriod))
	}
}

// exchangeFar speaks to one node of each other region, which tells what all of
// that region know, or to its relays.
func (g *Gateway) exchangeFar(ctx context.Context, now time.Time) {
	asked := make(map[string]bool)
	for _, region := range g.Settings.Gateway.DataCentres {
		if region == g.Settings.Region || asked[region] {
			continue
		}
		asked[region] = true
		for _, m := range g.farNodes(now, region) {
			g.speak(ctx, now, m)
		}
	}
}

// exchangeWith speaks once to each of the peers that fit; of two peers one
// begins.
func (g *Gateway) exchangeWith(ctx context.Context, peers []jwmember.Member, fits func(jwmember.Member) bool) {
	now := time.Now()
	me := g.members.Me()
	for _, m := range peers {
		// One that is not heard may have started anew and know nobody.
		if m.Name < me.Name && me.Serving && g.members.Speaks(now, m.Name) || !fits(m) {
			continue
		}
		g.speak(ctx, now, m)
	}
}

// speak tells a peer how the node fares, unless it has not answered yet.
func (g *Gateway) speak(ctx context.Context, now time.Time, m jwmember.Member) {
	if _, busy := g.speaking.LoadOrStore(m.Name, true); busy {
		return
	}
	g.speakOf(ctx, m, g.state(now, m.Region))
}

// speakOf tells a peer a state; g.speaking holds its name.
func (g *Gateway) speakOf(ctx context.Context, m jwmember.Member, s state) {
	body, err := json.Marshal(s)
	if err != nil {
		g.speaking.Delete(m.Name)
		g.Log.Error(err, "state not encoded")
		return
	}
	go func() {
		defer g.speaking.Delete(m.Name)
		g.exchangeOne(ctx, m, body)
	}()
}

func (g *Gateway) exchangeOne(ctx context.Context, m jwmember.Member, body []byte) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	begun := time.Now()
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
	g.heardState(s, m)
	g.regions.tripped(s.Member.Region, time.Since(begun))
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

// heardState takes what a peer tells of itself.
func (g *Gateway) heardState(s state, from jwmember.Member) {
	now := time.Now()
	if g.members.Heard(now, s.Member) {
		g.beganAnew(s.Member)
	}
	g.regions.heard(now, s)
	g.members.HeardOf(now, s.Near)
	if s.Through != nil && s.Through.Relay {
		g.targets.HearRelay(now, s.Member.Name, s.Loads.List(), s.Placed.List())
	} else {
		g.targets.Hear(now, s.Member.Name, s.Loads.List(), s.Placed.List())
	}
	g.heardThrough(now, s)
	g.targets.HearCold(now, s.Cold)
	g.suspects.Merge(s.Suspects, now)
	if s.Sure && s.Member.Region == g.Settings.Region {
		g.store.sure.Store(now.UnixNano())
	}
	if s.Version > g.entries.Version() || g.behind(now, s.Revision) {
		if from.Name == "" {
			from = s.Member
		}
		go g.learn(from.Nodes)
	}
}

func (g *Gateway) serveState(w http.ResponseWriter, r *http.Request) {
	var s state
	if err := json.NewDecoder(io.LimitReader(r.Body, maxState)).Decode(&s); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	g.heardState(s, jwmember.Member{})
	w.Header()["Content-Type"] = []string{"application/json"}
	if err := json.NewEncoder(w).Encode(g.answer(time.Now(), s)); err != nil {
		g.Log.V(1).Info("state not told", "peer", s.Member.Name, "error", err.Error())
	}
}
