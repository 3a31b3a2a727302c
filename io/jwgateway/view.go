package jwgateway

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"jujubewheel/core/jwclock"
	"jujubewheel/core/jwfact"
	"jujubewheel/core/jwinstance"
	"jujubewheel/core/jwmember"
	"jujubewheel/core/jwstore"
	"jujubewheel/io/jwconn"
)

const (
	// viewRetryPause is the pause between two rounds of requests for views.
	viewRetryPause = 400 * time.Millisecond
	// viewWait is how long a node that has not read the store yet lets a request for its view wait.
	viewWait = 400 * time.Millisecond
	// viewIdleTimeout is how long a view may arrive without progress. A relay sends its view to all
	// nodes of its data centre that start at once, which takes its link seconds.
	viewIdleTimeout = time.Second
	// storeCheckStep is the time between two checks whether the store has answered.
	storeCheckStep = 10 * time.Millisecond
)

// view is what a node needs to serve while it can't reach the store: the part of another node's
// state that it doesn't have.
type view struct {
	Config    []byte                `json:"config,omitempty"` // as stored
	Revision  jwstore.Revision      `json:"revision"`         // store revision of the fields below; 0 if they are omitted
	Targets   []jwinstance.Instance `json:"targets,omitempty"`
	Members   []jwmember.Member     `json:"members,omitempty"` // live nodes, registered or not
	Facts     []jwfact.Fact         `json:"facts"`
	Evacuated []string              `json:"evacuated,omitempty"` // for nodes of versions that don't know Facts
}

// serveView answers with what is newer than the version and the revision in the query. With waitMs in
// the query a node that has not read the store yet answers later, and one that has read nothing newer
// and can't read on answers with 503.
func (g *Gateway) serveView(w http.ResponseWriter, r *http.Request) {
	if d := min(time.Duration(queryUint(r, "waitMs"))*time.Millisecond, viewWait); d > 0 {
		g.awaitFirstRead(r.Context(), d)
		if g.store.revision.Load() <= queryUint(r, "revision") && !g.readsOn(time.Now()) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
	if g.entries.Current() == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	body, err := g.viewCache.encode(time.Now(), queryUint(r, "version"), queryUint(r, "revision"), g.viewSince)
	if err == nil {
		_, err = w.Write(body)
	}
	if err != nil {
		g.Log.V(1).Info("failed to send the view", "error", err.Error())
	}
}

// awaitFirstRead waits until this node has read all keys of the store, at most for d.
func (g *Gateway) awaitFirstRead(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-g.storeWatcher.firstRead:
	case <-t.C:
	case <-ctx.Done():
	}
}

// viewSince returns what this node has that is newer than a version of the configuration and a
// revision of the store.
func (g *Gateway) viewSince(now time.Time, version, revision uint64) view {
	var v view
	current := g.store.revision.Load() // before all else, which may then be newer and never older
	if c := g.entries.Current(); c != nil && c.Version > version {
		v.Config = c.Raw
	}
	if current > revision {
		v.Revision = current
		v.Targets, v.Evacuated, v.Members = g.targets.Instances(now), g.targets.Evacuated(), g.members.Live(now, "")
		v.Facts = g.storeWatcher.allFacts(now)
	}
	return v
}

// allFacts returns what this node knows of the keys that jwfact.Table keeps.
func (w *storeWatcher) allFacts(now time.Time) []jwfact.Fact {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.facts.All(now)
}

// maxEncodedViewAge is how long an encoded view is reused. All nodes of a data centre that start, or
// lose the store, at once request a view of all targets. With thousands of targets, encoding it for
// each of them would take the relay longer than the nodes wait.
const maxEncodedViewAge = 300 * time.Millisecond

// encodedViewCache keeps the last encoded view of all that a node knows.
type encodedViewCache struct {
	mu        sync.Mutex
	encodedAt time.Time
	revision  uint64 // of the store
	body      []byte
}

// encode returns the encoded view that since returns for a version and a revision. A view of all is
// reused for maxEncodedViewAge by nodes that know less than it has.
func (e *encodedViewCache) encode(now time.Time, version, revision uint64, since func(time.Time, uint64, uint64) view) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.body != nil && revision < e.revision && now.Sub(e.encodedAt) < maxEncodedViewAge {
		return e.body, nil
	}
	v := since(now, version, revision)
	if v.Revision == 0 {
		return encodeView(v) // it has no targets
	}
	if version > 0 || revision > 0 {
		v = since(now, 0, 0)
	}
	body, err := encodeView(v)
	if err == nil {
		e.encodedAt, e.revision, e.body = now, v.Revision, body
	}
	return body, err
}

// encodeView encodes a view as compressed JSON.
func encodeView(v view) ([]byte, error) {
	var out bytes.Buffer
	zw, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err == nil {
		err = json.NewEncoder(zw).Encode(v)
	}
	if err == nil {
		err = zw.Close()
	}
	return out.Bytes(), errors.Wrap(err, "encode view")
}

// queryUint returns a number from the query, 0 if it is missing or malformed.
func queryUint(r *http.Request, name string) uint64 {
	n, err := strconv.ParseUint(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// bootstrapFromPeers fetches the views of the seed nodes until the store was read or a
// configuration is in force. The store may be unavailable when a node starts, while callers already
// wait. While it answers, the seeds are left alone: they are few, and all nodes have the same ones.
func (g *Gateway) bootstrapFromPeers(ctx context.Context) {
	for start := time.Now(); time.Since(start) < viewRetryPause && !g.store.called() && ctx.Err() == nil; {
		jwclock.Sleep(ctx, storeCheckStep)
	}
	for !g.fullReadDone.Load() && g.entries.Current() == nil && ctx.Err() == nil {
		for _, a := range g.Settings.Gateway.Seeds {
			if a != g.Settings.Gateway.Listen.Nodes && g.store.stale(time.Now()) {
				g.pullView(a)
			}
		}
		jwclock.Sleep(ctx, viewRetryPause)
	}
}

// peerIsAhead reports whether a peer has read the store up to a later revision while this node
// can't read it and gets no changes from a relay.
func (g *Gateway) peerIsAhead(now time.Time, revision jwstore.Revision) bool {
	return revision > max(g.store.revision.Load(), g.pulledRevision.Load()) && !g.readsStore(now) && !g.storeWatcher.followsRelay(now)
}

// readsStore reports whether this node reads the store. Its calls may be answered while a watch, on
// a connection of its own, gets nothing.
func (g *Gateway) readsStore(now time.Time) bool {
	return !g.store.stale(now) && g.storeReadAge(now) <= maxRelayReadAge+maxRelayReportAge
}

// readsOn reports whether this node is about to read a later revision of the store.
func (g *Gateway) readsOn(now time.Time) bool {
	if g.store.stale(now) {
		return false
	}
	// A read of all keys may take seconds, and what it read is as old when it ends.
	readEnded := time.Duration(g.storeReadEnded.Load())
	return g.storeWatcher.currentRevision() == 0 || now.Sub(g.startTime)-readEnded <= maxRelayReadAge+maxRelayReportAge
}

// storeReadAge returns how long ago the store was read, by this node or by a relay for it.
func (g *Gateway) storeReadAge(now time.Time) time.Duration {
	return now.Sub(g.startTime) - time.Duration(g.storeReadAt.Load())
}

// configPullPause is the time between two fetches of a configuration while none has ended. A peer may
// report and be lost, or have a link that is full, and all others report the same version.
const configPullPause = 300 * time.Millisecond

// pullConfig fetches another node's configuration alone: a view may take seconds to arrive.
func (g *Gateway) pullConfig(a netip.AddrPort) {
	now := time.Since(g.startTime)
	last := g.configPulledAt.Load()
	if last != 0 && now-time.Duration(last) < configPullPause || !g.configPulledAt.CompareAndSwap(last, int64(now)) {
		return
	}
	defer g.configPulledAt.CompareAndSwap(int64(now), 0)
	v, err := g.storeWatcher.fetchView(context.Background(), a, g.entries.Version(), math.MaxUint64, 0)
	if err != nil {
		g.noteViewFailure(a, err)
		return
	}
	g.applyViewConfig(v, a.String())
}

// pullView fetches and applies what another node has read and this one has not, because the store
// may be out of this node's reach. Only one view is fetched at a time.
func (g *Gateway) pullView(a netip.AddrPort) {
	if !g.pullingView.CompareAndSwap(false, true) {
		return
	}
	defer g.pullingView.Store(false)
	revision := max(g.store.revision.Load(), g.pulledRevision.Load())
	v, err := g.storeWatcher.fetchView(context.Background(), a, g.entries.Version(), revision, 0)
	if err != nil {
		g.noteViewFailure(a, err)
		return
	}
	if now := time.Now(); g.peerIsAhead(now, v.Revision) {
		g.storeWatcher.applyView(now, v, a.String())
		return
	}
	g.applyViewConfig(v, a.String())
}

// noteViewFailure logs and counts a view that another node didn't send.
func (g *Gateway) noteViewFailure(a netip.AddrPort, err error) {
	g.metrics.viewFailures.Inc(1)
	if version := g.entries.Version(); version > 0 { // seeds may not run yet when a node starts
		g.Log.Info("failed to fetch a view", "peer", a.String(), "version", version, "error", err.Error())
	}
}

// applyViewConfig puts the configuration of a view, if it has one, into force.
func (g *Gateway) applyViewConfig(v view, from string) {
	if len(v.Config) > 0 {
		g.applyConfig(v.Config, from, v.Revision)
	}
}

// fetchView asks a node for what it has beyond a version of the configuration and a revision of the
// store. A node that has not read the store yet answers after wait, or once it has. The view is empty
// if the node has no configuration.
func (g *Gateway) fetchView(ctx context.Context, a netip.AddrPort, version, revision uint64, wait time.Duration) (v view, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	idle := time.AfterFunc(wait+viewIdleTimeout, cancel)
	defer idle.Stop()
	q := url.Values{
		"version":  {strconv.FormatUint(version, 10)},
		"revision": {strconv.FormatUint(revision, 10)},
		"waitMs":   {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	answer, err := g.Nodes.Do(ctx, &jwconn.Call{Peer: a, Method: http.MethodGet, Target: viewPath + "?" + q.Encode(), Host: a.String()})
	if err != nil {
		return v, err
	}
	defer answer.Close()
	body := &progressReader{r: io.LimitReader(answer.Body, maxViewSize), idle: idle}
	if answer.Status != http.StatusOK {
		_, err := io.Copy(io.Discard, body)
		if err == nil && answer.Status != http.StatusNotFound {
			err = errWithoutStore
		}
		return v, err
	}
	zr, err := gzip.NewReader(body)
	if err != nil {
		return v, errors.Wrap(err, "decompress view")
	}
	if err := json.NewDecoder(zr).Decode(&v); err != nil {
		return v, errors.Wrap(err, "decode view")
	}
	_, err = io.Copy(io.Discard, body) // the connection is used again only after the whole answer
	return v, err
}

// errWithoutStore is the error if the node that was asked for its view has read nothing newer, and can't
// read on.
var errWithoutStore = errors.New("the node has read nothing newer and can't read the store")

// maxViewSize is the maximum size of an encoded view in bytes.
const maxViewSize = 8 << 20

// progressReader restarts a timer at each read that returns bytes.
type progressReader struct {
	r    io.Reader
	idle *time.Timer
}

func (p *progressReader) Read(b []byte) (int, error) {
	n, err := p.r.Read(b)
	if n > 0 {
		p.idle.Reset(viewIdleTimeout)
	}
	return n, err
}

// applyView applies a view: its configuration, and its targets, nodes and facts unless this node has read
// the store up to a later revision. That holds also while it reads all keys again: until then its own
// views are of the revision before. If it has read the store before, the changes after the view become
// the next ones that it wants: a node that reaches neither the store nor a relay that still has the
// changes would otherwise fetch whole views for as long.
func (w *storeWatcher) applyView(now time.Time, v view, from string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	g := w.g
	if v.Facts == nil || v.Revision < w.lastRevision || w.revision != 0 && v.Revision == w.revision {
		g.applyViewConfig(v, from)
		return
	}
	targets := make(map[string]bool, len(v.Targets))
	for _, target := range v.Targets {
		g.targets.Put(now, target)
		targets[target.ID] = true
	}
	g.targets.RemoveExcept(now, targets, v.Revision)
	for _, m := range v.Members {
		g.members.Put(now, m)
	}
	g.applyFacts(now, w.facts.Merge(now, v.Facts, v.Revision), from)
	// After the targets, which requests that wait for the first configuration need, and before the
	// revision, which other nodes take to include it.
	g.applyViewConfig(v, from)
	g.Log.Info("applied a view of another node", "peer", from, "revision", jwstore.Number(v.Revision),
		"ownRevision", jwstore.Number(w.revision), "targets", len(v.Targets), "evacuated", g.targets.Evacuated())
	g.pulledRevision.Store(v.Revision)
	g.registrationsRead(now)
	if w.revision != 0 {
		g.members.RemoveExcept(now, w.facts.Names(nodePrefix))
		w.revision, w.lastRevision = v.Revision, v.Revision
		g.store.revision.Store(v.Revision)
	}
}
