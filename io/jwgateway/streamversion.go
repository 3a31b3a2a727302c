package jwgateway

import (
	"context"
	"slices"
	"time"

	"jujubewheel/core/jwadmission"
	"jujubewheel/core/jwentry"
	"jujubewheel/core/jwversion"
)

const (
	// maxVersionViewAge is how old the view of the store may be for the versions of a service to be known:
	// a watch that waits to its end, and the pause before it.
	maxVersionViewAge = watchTimeout + maxWatchPause
	// minStreamLife and maxStreamLife bound Gateway.streamLife.
	minStreamLife = 2 * time.Second
	maxStreamLife = jwversion.MaxAge
	// versionCheckInterval is the time between two checks of whether services have one version.
	versionCheckInterval = 100 * time.Millisecond
)

// unknownVersion is the reason for rejecting a stream that is taken up again.
const unknownVersion = "the version that began the stream is not known"

// originSource is how the version that began a stream was learned.
type originSource string

// Sources of a stream's origin.
const (
	originOwn      originSource = "own"      // it was recorded at this node
	originPeer     originSource = "peer"     // it was recorded at another node
	originSole     originSource = "sole"     // the store had one version after the caller came, as this node read
	originPeerSole originSource = "peerSole" // the same, as another node read
	originAgreed   originSource = "agreed"   // nodes of all regions know of one version, and the store answers none of them
	originUnknown  originSource = "unknown"  // nobody knows
)

// originSources lists the sources of a stream's origin.
var originSources = []originSource{originOwn, originPeer, originSole, originPeerSole, originAgreed, originUnknown}

// goesOn reports whether the request continues a stream of which the caller has events.
func (q *request) goesOn() bool {
	return q.entry.Kind == jwentry.Stream && (q.answerStarted || q.LastEvent != "")
}

// findOrigin finds out which version began the stream that the caller takes up again. The caller may
// come to any node, and the one that began the stream may be gone.
func (g *Gateway) findOrigin(ctx context.Context, q *request) {
	if !q.goesOn() {
		return
	}
	ctx, cancel := context.WithDeadline(ctx, q.deadline)
	defer cancel()
	q.origin, q.originSource = g.lookUpOrigin(ctx, q)
	g.metrics.countTakenUp(q.originSource)
}

// lookUpOrigin finds out which version began a stream. What nodes know of a service's versions is from before the
// caller came: a version that they haven't heard of may have begun the stream meanwhile. Since versions begin streams
// only once they are stored, a read of the store that begins now shows whether there is one.
func (g *Gateway) lookUpOrigin(ctx context.Context, q *request) (*jwversion.Origin, originSource) {
	now := time.Now()
	if o, ok := g.origins.Find(now, q.FirstRequest); ok {
		return &o, originOwn
	}
	question := originQuestion{Request: q.FirstRequest, Service: q.service}
	v := g.versionsOf(now, q.service)
	var read *versionsRead
	if v.Known != severalVersions {
		read = g.versionsReader.begin(g)
	}
	o, v := g.askOwners(ctx, question, v)
	if o != nil {
		return o, originPeer
	}
	if v.Known == severalVersions {
		return g.askRemoteOwners(ctx, question)
	}
	stored, ok := read.await(ctx, versionsReadWait-time.Since(now), q.service)
	switch {
	case !ok:
		return g.askForSole(ctx, question, v, read)
	case stored.Known == soleVersion && v.with(stored) == stored:
		return &jwversion.Origin{Version: stored.Sole}, originSole
	}
	return g.askRemoteOwners(ctx, question)
}

// pinVersion restricts a request that continues a stream to the version that began it, and one that begins a
// stream to the stored versions. It returns false if the version that began it isn't known.
func (g *Gateway) pinVersion(now time.Time, q *request) bool {
	q.without = nil
	if !q.goesOn() {
		if q.entry.Kind == jwentry.Stream && q.entry.Resumable {
			q.without = g.unstoredVersions(now, q.service)
			q.mixed = len(q.without) > 0
		}
		return true
	}
	q.mixed = g.versionsOf(now, q.service).Known != soleVersion
	if q.origin == nil {
		return false
	}
	in, registered := g.targets.Registration(now, q.origin.Target)
	q.pinnedVersion, q.pinned = q.origin.Resolve(in.Version, in.StartedAt, registered)
	return q.pinned
}

// rejectUnpinned rejects a request that continues a stream whose version isn't known.
func (g *Gateway) rejectUnpinned(q *request) Verdict {
	return q.reject(unknownVersion, jwadmission.MinRetryAfter)
}

// streamBegun records which target began the stream, as its first event arrives.
func (g *Gateway) streamBegun(q *request, o jwversion.Origin) {
	if q.origin != nil || q.LastEvent != "" {
		return
	}
	q.origin = &o
	if q.forwarded || !q.entry.Resumable {
		return // the node that its caller chose records it
	}
	g.origins.Add(o.BegunAt, jwversion.Record{Request: q.ID, Service: q.service, Origin: o}, true)
	if g.versionsOf(o.BegunAt, q.service).Known != soleVersion {
		g.reportUnreported(o.BegunAt, q.service)
	}
}

// versionKnowledge is what a node knows of the versions that may have begun the streams of a service.
type versionKnowledge string

// Possible knowledge of versions.
const (
	soleVersion     versionKnowledge = "sole"
	severalVersions versionKnowledge = "several"
	unknownVersions versionKnowledge = "" // it started a short time ago, or its view of the store is old
)

// versionsOf is what a node knows of a service's versions.
type versionsOf struct {
	Known versionKnowledge `json:"known,omitempty"`
	Sole  string           `json:"sole,omitempty"` // set if Known is soleVersion
}

// with combines the knowledge of two nodes. One that knows of several versions is right.
func (v versionsOf) with(other versionsOf) versionsOf {
	switch {
	case v.Known == unknownVersions || other.Known == severalVersions:
		return other
	case other.Known == soleVersion && v.Known == soleVersion && other.Sole != v.Sole:
		return versionsOf{Known: severalVersions}
	}
	return v
}

// versionsOf returns what this node knows of the versions that may have begun a service's streams.
func (g *Gateway) versionsOf(now time.Time, service string) versionsOf {
	list := g.targets.Versions(now, service, g.streamLife(service))
	switch {
	case len(list) > 1:
		return versionsOf{Known: severalVersions}
	case len(list) == 0 || g.registrationsAge(now) > maxVersionViewAge:
		return versionsOf{}
	case g.seenForLife(now, service) || slices.Equal(g.storedVersions.of(service), list):
		return versionsOf{soleVersion, list[0]}
	}
	return versionsOf{}
}

// seenForLife reports whether this node has seen all registrations of targets for as long as a stream
// of a service may last.
func (g *Gateway) seenForLife(now time.Time, service string) bool {
	since := g.versionsSince.Load()
	return since > 0 && now.Sub(g.startTime)-time.Duration(since) >= g.streamLife(service)
}

// registrationsAge returns how old this node's view of the registrations of targets is.
func (g *Gateway) registrationsAge(now time.Time) time.Duration {
	if g.storeWatcher.relayValidFor(now) > 0 {
		return 0
	}
	return now.Sub(g.startTime) - time.Duration(g.storeReadAt.Load())
}

// registrationsRead records that from now on no registration of a target is missed.
func (g *Gateway) registrationsRead(now time.Time) {
	g.versionsSince.Store(max(int64(now.Sub(g.startTime)), 1))
}

// streamLife returns how long after its first event a stream of a service may still be taken up:
// twice as long as one request for it may take.
func (g *Gateway) streamLife(service string) time.Duration {
	c := g.entries.Current()
	if c == nil {
		return maxStreamLife
	}
	if d, ok := g.livesOf(c).byService[service]; ok {
		return d
	}
	return minStreamLife
}

// livesOf returns how long streams live by a configuration.
func (g *Gateway) livesOf(c *jwentry.Config) *streamLives {
	lives := g.streamLives.Load()
	if lives == nil || lives.config != c {
		lives = newStreamLives(c)
		g.streamLives.Store(lives)
	}
	return lives
}

// streamLives holds the result of streamLife for a configuration.
type streamLives struct {
	config    *jwentry.Config
	byService map[string]time.Duration
}

func newStreamLives(c *jwentry.Config) *streamLives {
	l := &streamLives{c, make(map[string]time.Duration)}
	for _, e := range c.Entries {
		if e.Kind != jwentry.Stream || !e.Resumable {
			continue
		}
		d := e.Timeout
		if d == 0 {
			d = defaultDeadline
		}
		for _, to := range e.Destinations {
			l.byService[to.Service] = max(l.byService[to.Service], min(max(2*d, minStreamLife), maxStreamLife))
		}
	}
	return l
}
