package jwgateway

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"math"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"jujubewheel/core/jwclock"
	"jujubewheel/core/jwinstance"
	"jujubewheel/core/jwmember"
	"jujubewheel/core/jwstore"
)

// viewRetryPause is the wait between two rounds of questions.
const viewRetryPause = 400 * time.Millisecond

// view is what a node needs to serve while it can't reach the store: what
// another one has that it lacks.
type view struct {
	Config    []byte                `json:"config,omitempty"` // as the store holds it
	Revision  jwstore.Revision      `json:"revision"`         // of the store, 0 if the rest is left out
	Targets   []jwinstance.Instance `json:"targets,omitempty"`
	Evacuated []string              `json:"evacuated,omitempty"`
	Members   []jwmember.Member     `json:"members,omitempty"`
	Fleet     int                   `json:"fleet,omitempty"` // nodes of all regions as the store keeps it
}

// serveView answers with what is newer than the version and the revision that the
// asking node has.
func (g *Gateway) serveView(w http.ResponseWriter, r *http.Request) {
	if g.entries.Current() == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	body, err := g.viewCache.encode(time.Now(), queryUint(r, "version"), queryUint(r, "revision"), g.viewSince)
	if err == nil {
		_, err = w.Write(body)
	}
	if err != nil {
		g.Log.V(1).Info("view not sent", "error", err.Error())
	}
}

// viewSince returns what is newer than a version and a revision.
func (g *Gateway) viewSince(now time.Time, version, revision uint64) view {
	var v view
	if c := g.entries.Current(); c != nil && c.Version > version {
		v.Config = c.Raw
	}
	if current := g.store.revision.Load(); current > revision {
		v.Revision = current
		v.Targets, v.Evacuated = g.targets.Instances(now), g.targets.Evacuated()
		v.Members, v.Fleet = g.members.Live(now, ""), g.members.FleetSize()
	}
	return v
}

// maxEncodedViewAge is how long an encoded view serves those that know nothing. All nodes of a
// data centre that start at once ask the same, and with thousands of targets encoding it
// for each took the relay longer than they wait.
const maxEncodedViewAge = 300 * time.Millisecond

// encodedViewCache keeps the last view that was encoded for a node that knows nothing.
type encodedViewCache struct {
	mu        sync.Mutex
	encodedAt time.Time
	body      []byte
}

func (e *encodedViewCache) encode(now time.Time, version, revision uint64, since func(time.Time, uint64, uint64) view) ([]byte, error) {
	if version > 0 || revision > 0 {
		return encodeView(since(now, version, revision))
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.body != nil && now.Sub(e.encodedAt) < maxEncodedViewAge {
		return e.body, nil
	}
	v := since(now, 0, 0)
	body, err := encodeView(v)
	if err == nil && v.Revision > 0 {
		e.encodedAt, e.body = now, body
	}
	return body, err
}

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

// queryUint reads a number of the query, 0 if there is none.
func queryUint(r *http.Request, name string) uint64 {
	n, err := strconv.ParseUint(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// bootstrapFromPeers asks other nodes for their views until the store was read: the
// store may be away when a node starts, and callers wait.
func (g *Gateway) bootstrapFromPeers(ctx context.Context) {
	for !g.storeRead.Load() && g.entries.Current() == nil && ctx.Err() == nil {
		for _, a := range g.Settings.Gateway.Seeds {
			if a != g.Settings.Gateway.Listen.Nodes {
				g.pullView(a)
			}
		}
		jwclock.Sleep(ctx, viewRetryPause)
	}
}

// peerIsAhead reports whether a peer has read more of the store while it is out of
// this node's reach.
func (g *Gateway) peerIsAhead(now time.Time, revision jwstore.Revision) bool {
	return revision > max(g.store.revision.Load(), g.pulledRevision.Load()) && g.store.stale(now)
}

// pullView takes what another node has read that this one has not: the store may
// be out of this node's reach. One question is asked at a time.
func (g *Gateway) pullView(a netip.AddrPort) {
	if !g.pullingView.CompareAndSwap(false, true) {
		return
	}
	defer g.pullingView.Store(false)
	revision := max(g.store.revision.Load(), g.pulledRevision.Load())
	if !g.store.stale(time.Now()) {
		revision = math.MaxUint64 // the store has it
	}
	v, err := g.fetchView(context.Background(), a, g.entries.Version(), revision)
	if err != nil {
		g.Log.V(1).Info("view not pulled", "peer", a.String(), "error", err.Error())
		return
	}
	if now := time.Now(); g.peerIsAhead(now, v.Revision) {
		g.applyView(now, v, a)
	}
	if len(v.Config) > 0 {
		g.applyConfig(v.Config, a.String())
	}
}

// fetchView asks a node for what its view has beyond a version of the configuration and
// a revision of the store.
func (g *Gateway) fetchView(ctx context.Context, a netip.AddrPort, version, revision uint64) (v view, err error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	q := url.Values{
		"version":  {strconv.FormatUint(version, 10)},
		"revision": {strconv.FormatUint(revision, 10)},
	}
	raw, err := g.nodeCall(ctx, jwmember.Member{Nodes: a}, http.MethodGet, viewPath+"?"+q.Encode(), nil)
	if err != nil {
		return v, err
	}
	zr, err := gzip.NewReader(bytes.NewReader(raw))
	if err != nil {
		return v, errors.Wrap(err, "view")
	}
	return v, errors.Wrap(json.NewDecoder(zr).Decode(&v), "view")
}

// applyView takes targets, evacuations and nodes. What the store has for this node
// itself meanwhile is newer and stays, by its revisions.
func (g *Gateway) applyView(now time.Time, v view, from netip.AddrPort) {
	targets, evacuated := map[string]bool{}, map[string]bool{}
	for _, target := range v.Targets {
		g.targets.Put(now, target)
		targets[target.ID] = true
	}
	g.targets.Keep(now, targets, v.Revision)
	for _, dc := range v.Evacuated {
		g.setEvacuated(now, dc, true)
		evacuated[dc] = true
	}
	g.endEvacuationsExcept(now, evacuated)
	for _, m := range v.Members {
		g.members.Put(now, m)
	}
	if v.Fleet > 0 {
		g.members.SetFleet(now, v.Fleet, !g.storeRead.Load())
	}
	g.pulledRevision.Store(v.Revision)
	g.Log.Info("view taken from another node", "peer", from.String(), "revision", v.Revision, "targets", len(v.Targets))
}
