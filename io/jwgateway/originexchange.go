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
}

// originAnswer is the answer to an originQuestion.
type originAnswer struct {
	Record   *jwversion.Record `json:"record,omitempty"` // nil if it isn't recorded
	Versions versionsOf        `json:"versions,omitzero"`
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
	now := time.Now()
	a := originAnswer{Versions: g.versionsOf(now, q.Service)}
	if o, ok := g.origins.Find(now, q.Request); ok {
		a.Record = &jwversion.Record{Request: q.Request, Origin: o}
	}
	if err := json.NewEncoder(w).Encode(a); err != nil {
		g.Log.V(1).Info("failed to send an origin", "error", err.Error())
	}
}

// askOrigin asks other nodes for the origin of a stream: its owners in the region, then those in the
// other regions that may keep it. It returns nil if none has it. v is what this node knows of the
// versions; the result combines it with what the others know. A request "" has no record.
func (g *Gateway) askOrigin(ctx context.Context, request, service string, v versionsOf) (*jwversion.Origin, versionsOf) {
	now := time.Now()
	near := g.withoutSelf(g.members.Owners(now, request, g.Settings.Region, localOwners+1))
	o, v := g.askOriginOf(ctx, near, localAskTimeout, originQuestion{request, service}, v)
	if o != nil || v.Known == soleVersion {
		return o, v
	}
	var remote []jwmember.Member
	// The first region keeps it, or the second one if the stream was begun in the first.
	const mayKeep = 2
	regions := jwmember.RankRegions(g.remoteRegions(), request)
	for _, region := range regions[:min(mayKeep, len(regions))] {
		remote = append(remote, g.members.Owners(now, request, region, localOwners)...)
	}
	return g.askOriginOf(ctx, remote, remoteAskTimeout, originQuestion{request, service}, v)
}

// askOriginOf asks nodes for the origin of a stream, as askOrigin does.
func (g *Gateway) askOriginOf(ctx context.Context, nodes []jwmember.Member, limit time.Duration, q originQuestion, v versionsOf) (*jwversion.Origin, versionsOf) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	answers := make(chan originAnswer, len(nodes))
	for _, m := range nodes {
		go func() { answers <- g.askOneOrigin(ctx, m, q) }()
	}
	for range nodes {
		a := <-answers
		if a.Record != nil {
			return &a.Record.Origin, v
		}
		v = v.with(a.Versions)
	}
	return nil, v
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
