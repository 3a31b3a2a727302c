package jwgateway

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	tally "github.com/uber-go/tally/v4"

	"jujubewheel/core/jwbalance"
	"jujubewheel/core/jwclock"
	"jujubewheel/core/jwinstance"
	"jujubewheel/core/jwmember"
	"jujubewheel/core/jwplacement"
)

const (
	// regionLoadsPath is the path of the exchange of loads between regions.
	regionLoadsPath = "/regionloads"
	// regionLoadsInterval is the time between two exchanges of loads with another region. One node
	// of each region takes part in them.
	regionLoadsInterval = 250 * time.Millisecond
	// roomInterval is how long the room of the targets of this region is used.
	roomInterval = 50 * time.Millisecond
	// workMemory is the time within which the assumed time of work doubles while only longer times
	// are measured.
	workMemory = time.Minute
	// minRequestWork is the least work of a request; it also counts while none was measured.
	minRequestWork = time.Millisecond
	// maxRegionLoadsAge is the age up to which loads of other regions are passed on.
	maxRegionLoadsAge = jwbalance.DefaultMaxAge
)

// regionBalance holds what a node knows of the demand and the room of the regions.
type regionBalance struct {
	jwbalance.Balancer
	mu      sync.Mutex
	rooms   map[string]serviceRoom
	lengths map[string]answerLength

	exchanges sync.Map // regions with an exchange of loads in flight
}

type serviceRoom struct {
	jwinstance.Capability
	eventGap time.Duration // between events of targets that do nothing else
	readTime time.Duration // of a thousand prompt tokens by such targets
	at       time.Time
}

// balanceState is the part of a state that concerns the balance between regions. It is sent within
// the region only.
type balanceState struct {
	Source  jwbalance.Source     `json:"source"`
	Demand  jwbalance.Demand     `json:"demand,omitempty"`
	Regions []jwbalance.Reported `json:"regions,omitempty"`
}

// regionLoads is what a region reports to another one.
type regionLoads struct {
	Member jwmember.Member           `json:"member"`
	Loads  map[string]jwbalance.Load `json:"loads"`
}

// room returns the room of the targets of a service in this region.
func (g *Gateway) capabilityOf(now time.Time, service string) serviceRoom {
	b := &g.balance
	b.mu.Lock()
	r, ok := b.rooms[service]
	b.mu.Unlock()
	if age := now.Sub(r.at); ok && age >= 0 && age < roomInterval {
		return r
	}
	r = r.next(g.targets.Capability(now, service), now)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.rooms == nil {
		b.rooms = make(map[string]serviceRoom)
	}
	b.rooms[service] = r
	return r
}

// next returns the room after another measurement. A target that does several things takes longer for
// each, so work is measured by the shortest times; these count for about workMemory, and longer while
// no target is usable.
func (r serviceRoom) next(room jwinstance.Capability, now time.Time) serviceRoom {
	grown := 1 + now.Sub(r.at).Seconds()/workMemory.Seconds()
	shortest := func(old, d time.Duration) time.Duration {
		if old > 0 && d > 0 {
			return min(time.Duration(grown*float64(old)), d)
		}
		return max(old, d)
	}
	if room.Slots == 0 {
		room.Slots = r.Slots
	}
	return serviceRoom{room, shortest(r.eventGap, room.EventGap), shortest(r.readTime, room.ReadTime), now}
}

// work returns the work of a request with tokens to be read and events to be made.
func (r serviceRoom) work(tokens, events int) float64 {
	return max(time.Duration(tokens)*r.readTime/1000+time.Duration(events)*r.eventGap/time.Duration(max(r.Slots, 1)), minRequestWork).Seconds()
}

// balancedRegion chooses the region of a request by the shares that go to other regions. It returns
// false if these do not apply: the service's overload is not controlled, this region can't take the
// request, it was sent before, or nothing is known of other regions.
func (g *Gateway) balancedRegion(now time.Time, q *request, n jwinstance.Need, here *jwplacement.Option) (jwplacement.Choice, bool) {
	q.forwardShare, q.shareWait = jwbalance.Share{}, 0
	if q.forwarded || q.mixed || n.Prompt.Tokens == 0 || !g.controlsOverload(q.service) {
		return jwplacement.Choice{}, false
	}
	miss := n.Prompt.Tokens
	if here != nil {
		miss = here.MissTokens
	}
	room := g.capabilityOf(now, q.service)
	work := room.work(miss, g.balance.expectedEvents(q.service, n.Events))
	class := jwbalance.ClassOf(q.homes)
	if !q.counted {
		q.counted = true
		g.balance.Count(now, q.service, class, work)
	}
	mayStay := q.homes.Allows(g.Settings.Region)
	if here == nil && mayStay || len(q.tried) > 0 {
		return jwplacement.Choice{}, false
	}
	p := g.plan(now, q.service)
	if room.Capacity <= 0 {
		p.Known = false // the shares don't keep a request where no target can serve it now
	}
	if q.drawn && mayStay {
		return stay(here, p)
	}
	options := make(map[string]jwplacement.Option)
	s := g.balance.Choose(jwbalance.Candidate{Service: q.service, Class: class, Work: work, MustLeave: !mayStay, Drawn: q.drawn, Preference: func(s jwbalance.Share) (float64, bool) {
		if !q.homes.Allows(s.Region) || q.rejectedRegions[s.Region] || len(g.members.Live(now, s.Region)) == 0 {
			return 0, false
		}
		o := g.sharedOption(now, s, n)
		options[s.Region] = o
		return preference(n, here, o), true
	}}, p)
	q.drawn = true
	if s.Region == "" {
		return stay(here, p)
	}
	o := options[s.Region]
	q.forwardShare, q.shareWait = s, o.Expected
	return jwplacement.Choice{Option: o, Reason: jwplacement.ByShare}, true
}

// stay returns the choice of this region for a request that no share sends away.
func stay(here *jwplacement.Option, p jwbalance.Plan) (jwplacement.Choice, bool) {
	if here == nil || !p.Known {
		return jwplacement.Choice{}, false
	}
	return jwplacement.Choice{Option: *here, Reason: jwplacement.Local}, true
}

// preference returns how much better another region is for a request than this one, in requests: a
// request of which more is cached there, or that this region would serve late, goes first.
func preference(n jwinstance.Need, here *jwplacement.Option, other jwplacement.Option) float64 {
	if here == nil {
		return 0
	}
	p := float64(here.MissTokens-other.MissTokens) / float64(n.Prompt.Tokens)
	if n.FirstEventGoal > 0 {
		p += min(float64(2*here.Expected)/float64(n.FirstEventGoal)-1, 1)
	}
	return p
}

// answerLength holds moving averages of the events of answers and of the maximums that their callers
// gave.
type answerLength struct{ events, limit float64 }

const (
	// answerWeight is the weight of a new answer in the averages of answerLength.
	answerWeight = 0.02
	// initialAnswerRatio is the assumed length of answers relative to their maximum.
	initialAnswerRatio = 0.5
)

// recordLength records the number of events of an answer that was served.
func (g *Gateway) recordLength(q *request) {
	if q.events == 0 || !g.controlsOverload(q.service) {
		return
	}
	limit := float64(g.targetNeed(q).Events)
	b := &g.balance
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.lengths == nil {
		b.lengths = make(map[string]answerLength)
	}
	l, ok := b.lengths[q.service]
	if !ok {
		l = answerLength{initialAnswerRatio * limit, limit}
	}
	l.events += answerWeight * (float64(q.events) - l.events)
	l.limit += answerWeight * (limit - l.limit)
	b.lengths[q.service] = l
}

// expectedEvents returns the expected events of an answer of a service with at most limit events.
func (b *regionBalance) expectedEvents(service string, limit int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	ratio := initialAnswerRatio
	if l := b.lengths[service]; l.limit > 0 {
		ratio = min(l.events/l.limit, 1)
	}
	return int(ratio * float64(limit))
}

// plan returns the plan for a service.
func (g *Gateway) plan(now time.Time, service string) jwbalance.Plan {
	return g.balance.Plan(now, service, func() jwbalance.Room {
		r := g.capabilityOf(now, service)
		return jwbalance.Room{Capacity: r.Capacity, Backlog: r.Backlog}
	})
}

// sharedOption estimates the wait of a request in a region that gets a share.
func (g *Gateway) sharedOption(now time.Time, s jwbalance.Share, n jwinstance.Need) jwplacement.Option {
	o := g.regionOption(now, s.Region, n)
	o.Known, o.Queue, o.Expected = true, s.Wait, g.regions.roundTrip(s.Region)+s.Wait+o.OwnReadTime
	return o
}

// balanceStateFor returns what this node reports of the balance within its region.
func (g *Gateway) balanceStateFor(now time.Time, source jwbalance.Source) *balanceState {
	// Only the node that exchanged loads with a region passes them on and, in a large region, the relays
	// to the nodes that report through them.
	direct := source != jwbalance.FromRegion
	b := &balanceState{Source: source, Demand: g.balance.Demand(now, source), Regions: g.balance.Regions(now, maxRegionLoadsAge, direct)}
	if len(b.Demand) == 0 && len(b.Regions) == 0 {
		return nil
	}
	return b
}

// mergeBalance merges what a node of this region reported of the balance.
func (g *Gateway) mergeBalance(now time.Time, s state) {
	if s.Balance == nil || s.Member.Region != g.Settings.Region {
		return
	}
	g.balance.MergeDemand(now, s.Member.Name, s.Balance.Source, s.Balance.Demand)
	for _, r := range s.Balance.Regions {
		g.balance.MergeRegion(now.Add(-time.Duration(r.AgeMS)*time.Millisecond), r.Region, false, r.Loads)
	}
}

// exchangeRegionLoads exchanges loads with the other regions until ctx ends, if this node does so for
// its region.
func (g *Gateway) exchangeRegionLoads(ctx context.Context) {
	report := &shareReport{meter: g.Meter, logged: make(map[pairKey]loggedShare), gauges: make(map[pairKey]tally.Gauge), ages: make(map[string]tally.Gauge)}
	for ctx.Err() == nil {
		now := time.Now()
		if len(g.balancedServices()) == 0 {
			jwclock.Sleep(ctx, regionLoadsInterval)
			continue
		}
		g.reportShares(now, report)
		if g.exchangesLoads(now) {
			for _, region := range g.staleRegions(now) {
				if peers := g.remotePeers(now, region); len(peers) > 0 {
					go g.exchangeLoadsWith(ctx, region, peers[0])
				}
			}
		}
		jwclock.Sleep(ctx, regionLoadsInterval)
	}
}

// balancedServices returns the services whose requests are spread over the regions by shares: those
// with engines, if their overload is controlled.
func (g *Gateway) balancedServices() []string {
	c := g.entries.Current()
	if c == nil {
		return nil
	}
	var list []string
	for name, s := range c.Services {
		if s.Engine != nil && g.controlsOverload(name) {
			list = append(list, name)
		}
	}
	return list
}

// exchangesLoads reports whether this node exchanges loads with other regions: of the live nodes,
// or of the relays of a large region, the first one by name.
func (g *Gateway) exchangesLoads(now time.Time) bool {
	nodes := g.members.Live(now, g.Settings.Region)
	if g.members.Large(now, g.Settings.Region) {
		if !g.members.IsRelay(now) {
			return false
		}
		nodes = g.members.OtherRelays(now, g.Settings.Region)
	}
	for _, m := range nodes {
		if m.Name < g.Settings.Node {
			return false
		}
	}
	return true
}

// staleRegions returns the other regions whose last loads are older than half the interval: where
// both regions call each other, one call is enough for both.
func (g *Gateway) staleRegions(now time.Time) []string {
	recent := map[string]bool{g.Settings.Region: true}
	for _, r := range g.balance.Regions(now, regionLoadsInterval/2, false) {
		recent[r.Region] = true
	}
	var list []string
	for _, region := range g.Settings.Gateway.DataCentres {
		if !recent[region] {
			recent[region] = true
			list = append(list, region)
		}
	}
	return list
}

// loads returns the loads of this region that it reports to others.
func (g *Gateway) loads(now time.Time) regionLoads {
	r := regionLoads{Member: g.members.Local(), Loads: make(map[string]jwbalance.Load)}
	for _, name := range g.balancedServices() {
		room := g.capabilityOf(now, name)
		r.Loads[name] = g.balance.Load(now, name, jwbalance.Room{Capacity: room.Capacity, Backlog: room.Backlog})
	}
	return r
}

// exchangeLoadsWith sends the loads of this region to a node of another one and merges its answer,
// unless an exchange with that region is in flight.
func (g *Gateway) exchangeLoadsWith(ctx context.Context, region string, m jwmember.Member) {
	if _, busy := g.balance.exchanges.LoadOrStore(region, true); busy {
		return
	}
	defer g.balance.exchanges.Delete(region)
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	start := time.Now()
	body, err := json.Marshal(g.loads(start))
	if err != nil {
		g.Log.Error(err, "failed to encode the loads of the region")
		return
	}
	answer, err := g.nodeCall(ctx, m, http.MethodPost, regionLoadsPath, body)
	if err != nil {
		g.Log.V(1).Info("loads of a region not received", "peer", m.Name, "error", err.Error())
		return
	}
	var r regionLoads
	if err := json.Unmarshal(answer, &r); err != nil {
		g.Log.Info("loads of a region not readable", "peer", m.Name, "error", err.Error())
		return
	}
	now := time.Now()
	g.mergeLoads(now.Add(-now.Sub(start)/2), r)
}

// mergeLoads merges the loads that a node of another region measured at the given time.
func (g *Gateway) mergeLoads(at time.Time, r regionLoads) {
	if r.Member.Region == "" || r.Member.Region == g.Settings.Region || len(r.Loads) == 0 {
		return
	}
	g.balance.MergeRegion(at, r.Member.Region, true, r.Loads)
}

// serveRegionLoads merges the loads of another region and answers with those of this one.
func (g *Gateway) serveRegionLoads(w http.ResponseWriter, r *http.Request) {
	if len(g.balancedServices()) == 0 {
		http.NotFound(w, r)
		return
	}
	var in regionLoads
	if err := json.NewDecoder(io.LimitReader(r.Body, maxStateSize)).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	now := time.Now()
	g.mergeLoads(now.Add(-g.regions.roundTrip(in.Member.Region)/2), in)
	w.Header()["Content-Type"] = []string{"application/json"}
	if err := json.NewEncoder(w).Encode(g.loads(now)); err != nil {
		g.Log.V(1).Info("failed to send the loads of the region", "peer", in.Member.Name, "error", err.Error())
	}
}
