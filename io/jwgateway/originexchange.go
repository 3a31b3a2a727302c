package jwgateway

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"jujubewheel/core/jwclock"
	"jujubewheel/core/jwmember"
	"jujubewheel/core/jwversion"
)

// Paths of the calls between nodes about the origins of streams.
const (
	originsPath = "/origins" // reports some
	originPath  = "/origin"  // asks for one
)

const (
	// localOwners and remoteOwners are how many nodes of the region, and of one other region, keep the
	// origin of a stream besides the node that began it.
	localOwners  = 2
	remoteOwners = 1
	// originReportDelay is how long an origin waits to be reported together with others.
	originReportDelay = 10 * time.Millisecond
	// originReportTimeout limits one report.
	originReportTimeout = time.Second
	// localAskTimeout and remoteAskTimeout limit a question to the nodes of the region, and of all
	// others. A node that is gone doesn't answer at all.
	localAskTimeout  = 150 * time.Millisecond
	remoteAskTimeout = 500 * time.Millisecond
	maxOriginsSize   = 1 << 20
)

// originQuestion asks for the origin of a stream.
type originQuestion struct {
	Request string `json:"request"` // the request that brought the first event
	Service string `json:"service"`
	Read    bool   `json:"read,omitempty"` // whether to read the stored versions
}

// originAnswer is the answer to an originQuestion.
type originAnswer struct {
	Record   *jwversion.Record `json:"record,omitempty"` // nil if it isn't recorded
	Versions versionsOf        `json:"versions,omitzero"`
	// Stored is what the store had after the question came; nil if it wasn't read.
	Stored *versionsOf `json:"stored,omitempty"`
	// StoreSilent is whether the store was to be read and didn't answer in time.
	StoreSilent bool `json:"storeSilent,omitempty"`

	from string // region of the node that answered; "" if it didn't
}

// originReports holds the origins that are about to be reported. The zero value is empty.
type originReports struct {
	mu      sync.Mutex
	pending []jwversion.Record
}

// add reports an origin to its owners soon.
func (p *originReports) add(g *Gateway, records ...jwversion.Record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.pending) == 0 && len(records) > 0 {
		time.AfterFunc(originReportDelay, func() { p.send(g) })
	}
	p.pending = append(p.pending, records...)
}

// reportUnreported reports the origins of a service's streams that may still be taken up.
func (g *Gateway) reportUnreported(now time.Time, service string) {
	g.originReports.add(g, g.origins.TakeUnreported(now, service, g.streamLife(service))...)
}

// send reports the pending origins to their owners.
func (p *originReports) send(g *Gateway) {
	p.mu.Lock()
	records := p.pending
	p.pending = nil
	p.mu.Unlock()
	now := time.Now()
	byNode := make(map[string][]jwversion.Record)
	members := make(map[string]jwmember.Member)
	for _, r := range records {
		for _, m := range g.originOwners(now, r.Request) {
			members[m.Name] = m
			byNode[m.Name] = append(byNode[m.Name], r)
		}
	}
	for name, list := range byNode {
		go g.reportOrigins(members[name], list)
	}
}

// originOwners returns the other nodes that keep the origin of a stream that began at this node.
func (g *Gateway) originOwners(now time.Time, request string) []jwmember.Member {
	list := g.withoutSelf(g.members.Owners(now, request, g.Settings.Region, localOwners))
	for _, region := range jwmember.RankRegions(g.remoteRegions(), request) {
		if owners := g.members.Owners(now, request, region, remoteOwners); len(owners) > 0 {
			return append(list, owners...)
		}
	}
	return list
}

// withoutSelf returns the members other than this node.
func (g *Gateway) withoutSelf(list []jwmember.Member) []jwmember.Member {
	return slices.DeleteFunc(list, func(m jwmember.Member) bool { return m.Name == g.Settings.Node })
}

// remoteRegions returns the names of the other regions, sorted.
func (g *Gateway) remoteRegions() []string {
	var list []string
	for _, region := range g.Settings.Gateway.DataCentres {
		if region != g.Settings.Region {
			list = append(list, region)
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// reportOrigins reports origins to a node.
func (g *Gateway) reportOrigins(m jwmember.Member, records []jwversion.Record) {
	body, err := json.Marshal(records)
	if err != nil {
		g.Log.Error(err, "failed to encode origins")
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), originReportTimeout)
	defer cancel()
	if _, err := g.nodeCall(ctx, m, http.MethodPost, originsPath, body); err != nil {
		g.Log.Info("failed to report origins of streams", "peer", m.Name, "streams", len(records), "error", err.Error())
	}
	g.metrics.originsReported.Inc(int64(len(records)))
}

// serveOrigins keeps the origins that another node reports.
func (g *Gateway) serveOrigins(w http.ResponseWriter, r *http.Request) {
	var records []jwversion.Record
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxOriginsSize)).Decode(&records); err != nil {
		g.Log.Info("origins not readable", "error", err.Error())
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	now := time.Now()
	for _, record := range records {
		g.origins.Add(now, record, false)
	}
}

// serveOrigin answers another node's question for the origin of a stream.
func (g *Gateway) serveOrigin(w http.ResponseWriter, r *http.Request) {
	var q originQuestion
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxOriginsSize)).Decode(&q); err != nil {
		g.Log.Info("question for an origin not readable", "error", err.Error())
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	a := originAnswer{}
	if q.Read {
		a = g.versionsReader.begin(g).answer(r.Context(), q.Service)
	}
	now := time.Now()
	a.Versions = g.versionsOf(now, q.Service)
	if o, ok := g.origins.Find(now, q.Request); ok {
		a.Record = &jwversion.Record{Request: q.Request, Origin: o}
	}
	if err := json.NewEncoder(w).Encode(a); err != nil {
		g.Log.V(1).Info("failed to send an origin", "error", err.Error())
	}
}

// askOwners asks the owners in the region for the origin of a stream. It returns nil if none has it. v is what
// this node knows of the versions; the result combines it with what the owners know.
func (g *Gateway) askOwners(ctx context.Context, q originQuestion, v versionsOf) (*jwversion.Origin, versionsOf) {
	ctx, cancel := context.WithTimeout(ctx, localAskTimeout)
	defer cancel()
	near := g.localOwnersOf(q.Request)
	answers := g.askForOrigin(ctx, near, q)
	for range near {
		a := <-answers
		if a.Record != nil {
			return &a.Record.Origin, v
		}
		v = v.with(a.Versions)
	}
	return nil, v
}

// askRemoteOwners asks the nodes in other regions that may keep the origin of a stream.
func (g *Gateway) askRemoteOwners(ctx context.Context, q originQuestion) (*jwversion.Origin, originSource) {
	ctx, cancel := context.WithTimeout(ctx, remoteAskTimeout)
	defer cancel()
	remote, _ := g.remoteOwnersOf(q.Request, 0)
	answers := g.askForOrigin(ctx, remote, q)
	for range remote {
		if a := <-answers; a.Record != nil {
			return &a.Record.Origin, originPeer
		}
	}
	return nil, originUnknown
}

// askForSole asks nodes of all regions to read the stored versions, as the store hasn't answered this node yet.
// read is this node's own read, and v what it and the owners in the region know.
func (g *Gateway) askForSole(ctx context.Context, q originQuestion, v versionsOf, read *versionsRead) (*jwversion.Origin, originSource) {
	ctx, cancel := context.WithTimeout(ctx, remoteAskTimeout)
	defer cancel()
	q.Read = true
	remote, regions := g.remoteOwnersOf(q.Request, 1)
	nodes := append(g.localOwnersOf(q.Request), remote...)
	answers := g.askForOrigin(ctx, nodes, q)
	go func() {
		a := read.answer(ctx, q.Service)
		a.Versions, a.from = v, g.Settings.Region
		answers <- a
	}()
	all := agreement{regions: regions, asked: len(nodes) + 1}
	for range all.asked {
		a := <-answers
		if a.Record != nil {
			return &a.Record.Origin, originPeer
		}
		if a.Stored != nil && a.Stored.Known == soleVersion && v.with(*a.Stored) == *a.Stored {
			return &jwversion.Origin{Version: a.Stored.Sole}, originPeerSole
		}
		all.add(a)
	}
	if version, ok := all.version(); ok {
		return &jwversion.Origin{Version: version}, originAgreed
	}
	g.Log.Info("the versions of a service are not known", "service", q.Service, "request", q.Request, "asked", all.asked,
		"answered", all.answered, "storeSilent", all.silent, "storeAgeMs", g.storeReadAge(time.Now()).Milliseconds())
	return nil, originUnknown
}

// agreement counts what nodes know of a service's versions while the store answers none of them. An answer that
// doesn't come is no agreement: that node may know of another version.
type agreement struct {
	regions  []string // the other regions
	asked    int
	answered int
	silent   int // nodes that the store doesn't answer
	known    versionsOf
	from     map[string]bool // regions that answered
}

func (c *agreement) add(a originAnswer) {
	if a.from == "" {
		return
	}
	if c.from == nil {
		c.from = make(map[string]bool)
	}
	c.answered++
	c.from[a.from] = true
	c.known = c.known.with(a.Versions)
	if a.StoreSilent && a.Versions.Known == soleVersion {
		c.silent++
	}
}

// version returns the only version that the nodes know of, and whether they agree. Nodes of one region don't
// suffice: that region may be cut off from the store.
func (c *agreement) version() (string, bool) {
	for _, region := range c.regions {
		if !c.from[region] {
			return "", false
		}
	}
	return c.known.Sole, len(c.regions) > 0 && c.silent == c.asked && c.known.Known == soleVersion
}

// localOwnersOf returns the other nodes of the region that may keep the origin of a stream.
func (g *Gateway) localOwnersOf(request string) []jwmember.Member {
	return g.withoutSelf(g.members.Owners(time.Now(), request, g.Settings.Region, localOwners+1))
}

// remoteOwnersOf returns the nodes of other regions that may keep the origin of a stream, others of each further
// region, and all other regions.
func (g *Gateway) remoteOwnersOf(request string, others int) (list []jwmember.Member, regions []string) {
	// The first region keeps it, or the second one if the stream was begun in the first.
	const mayKeep = 2
	regions = jwmember.RankRegions(g.remoteRegions(), request)
	for i, region := range regions {
		n := others
		if i < mayKeep {
			n = localOwners
		}
		if n > 0 {
			list = append(list, g.members.Owners(time.Now(), request, region, n)...)
		}
	}
	return list, regions
}

// askForOrigin asks nodes for the origin of a stream. Each sends one answer, and there is room for one more.
func (g *Gateway) askForOrigin(ctx context.Context, nodes []jwmember.Member, q originQuestion) chan originAnswer {
	answers := make(chan originAnswer, len(nodes)+1)
	for _, m := range nodes {
		go func() { answers <- g.askOneOrigin(ctx, m, q) }()
	}
	return answers
}

// askOneOrigin asks a node for the origin of a stream. An answer that didn't come says nothing.
func (g *Gateway) askOneOrigin(ctx context.Context, m jwmember.Member, q originQuestion) (a originAnswer) {
	body, err := json.Marshal(q)
	if err != nil {
		g.Log.Error(err, "failed to encode a question for an origin")
		return originAnswer{}
	}
	raw, err := g.nodeCall(ctx, m, http.MethodPost, originPath, body)
	if err == nil {
		err = json.Unmarshal(raw, &a)
	}
	if err != nil {
		g.Log.Info("failed to ask for the origin of a stream", "peer", m.Name, "error", err.Error())
		return originAnswer{}
	}
	a.from = m.Region
	return a
}

// watchVersions reports the origins of this node's streams of a service once it may have more than one
// version: as long as it has one, they aren't reported.
func (g *Gateway) watchVersions(ctx context.Context) {
	sole := make(map[string]bool)
	for ctx.Err() == nil {
		now := time.Now()
		if c := g.entries.Current(); c != nil {
			for service := range g.livesOf(c).byService {
				isSole := g.versionsOf(now, service).Known == soleVersion
				if sole[service] && !isSole {
					g.reportUnreported(now, service)
				}
				sole[service] = isSole
			}
			if g.lacksVersions(now) {
				wake(g.versionLacking)
			}
		}
		jwclock.Sleep(ctx, versionCheckInterval)
	}
}
