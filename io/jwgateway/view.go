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

// viewRetry is the wait between two rounds of questions.
const viewRetry = 400 * time.Millisecond

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
	body, err := g.views.encode(time.Now(), numberOf(r, "version"), numberOf(r, "revision"), g.viewSince)
	if err == nil {
		_, err = w.Write(body)
	}
	if err != nil {
		g.Log.V(1).Info("view not sent", "error", err.Error())
	}
}

// viewSince returns what is newer than a version and a revision.
func (g *Gateway) viewSince(now time.Time, version, revision uint64) view {
	var b view
	if c := g.entries.Current(); c != nil && c.Version > version {
		b.Config = c.Raw
	}
	if known := g.store.revision.Load(); known > revision {
		b.Revision = known
		b.Targets, b.Evacuated = g.targets.Instances(now), g.targets.Evacuated()
		b.Members, b.Fleet = g.members.Live(now, ""), g.members.FleetSize()
	}
	return b
}

// encodedAge is how long an encoded view serves those that know nothing. All nodes of a
// data centre that start at once ask the same, and with thousands of targets encoding it
// for each took the relay longer than they wait.
const encodedAge = 300 * time.Millisecond

// encodedViews keeps the last view that was encoded for a node that knows nothing.
type encodedViews struct {
	mu   sync.Mutex
	at   time.Time
	body []byte
}

func (e *encodedViews) encode(now time.Time, version, revision uint64, since func(time.Time, uint64, uint64) view) ([]byte, error) {
	if version > 0 || revision > 0 {
		return encodeView(since(now, version, revision))
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.body != nil && now.Sub(e.at) < encodedAge {
		return e.body, nil
	}
	v := since(now, 0, 0)
	body, err := encodeView(v)
	if err == nil && v.Revision > 0 {
		e.at, e.body = now, body
	}
	return body, err
}

func encodeView(v view) ([]byte, error) {
	var out bytes.Buffer
	z, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err == nil {
		err = json.NewEncoder(z).Encode(v)
	}
	if err == nil {
		err = z.Close()
	}
	return out.Bytes(), errors.Wrap(err, "encode view")
}

// numberOf reads a number of the query, 0 if there is none.
func numberOf(r *http.Request, name string) uint64 {
	n, err := strconv.ParseUint(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// start asks other nodes for their views until the store was read: the
// store may be away when a node starts, and callers wait.
func (g *Gateway) start(ctx context.Context) {
	for !g.synced.Load() && g.entries.Current() == nil && ctx.Err() == nil {
		for _, a := range g.Settings.Gateway.Seeds {
			if a != g.Settings.Gateway.Listen.Nodes {
				g.pull(a)
			}
		}
		jwclock.Sleep(ctx, viewRetry)
	}
}

// behind reports whether a peer has read more of the store while it is out of
// this node's reach.
func (g *Gateway) behind(now time.Time, revision jwstore.Revision) bool {
	return revision > max(g.store.revision.Load(), g.pulledTo.Load()) && g.store.stale(now)
}

// pull takes what another node has read that this one has not: the store may
// be out of this node's reach. One question is asked at a time.
func (g *Gateway) pull(a netip.AddrPort) {
	if !g.pulling.CompareAndSwap(false, true) {
		return
	}
	defer g.pulling.Store(false)
	revision := max(g.store.revision.Load(), g.pulledTo.Load())
	if !g.store.stale(time.Now()) {
		revision = math.MaxUint64 // the store has it
	}
	b, err := g.askView(context.Background(), a, g.entries.Version(), revision)
	if err != nil {
		g.Log.V(1).Info("view not pulled", "peer", a.String(), "error", err.Error())
		return
	}
	if now := time.Now(); g.behind(now, b.Revision) {
		g.take(now, b, a)
	}
	if len(b.Config) > 0 {
		g.takeConfig(b.Config, a.String())
	}
}

// askView asks a node for what its view has beyond a version of the configuration and
// a revision of the store.
func (g *Gateway) askView(ctx context.Context, a netip.AddrPort, version, revision uint64) (b view, err error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	q := url.Values{
		"version":  {strconv.FormatUint(version, 10)},
		"revision": {strconv.FormatUint(revision, 10)},
	}
	raw, err := g.nodeCall(ctx, jwmember.Member{Nodes: a}, http.MethodGet, viewPath+"?"+q.Encode(), nil)
	if err != nil {
		return b, err
	}
	in, err := gzip.NewReader(bytes.NewReader(raw))
	if err != nil {
		return b, errors.Wrap(err, "view")
	}
	return b, errors.Wrap(json.NewDecoder(in).Decode(&b), "view")
}

// take takes targets, evacuations and nodes. What the store has for this node
// itself meanwhile is newer and stays, by its revisions.
func (g *Gateway) take(now time.Time, b view, from netip.AddrPort) {
	targets, evacuated := map[string]bool{}, map[string]bool{}
	for _, in := range b.Targets {
		g.targets.Put(now, in)
		targets[in.ID] = true
	}
	g.targets.Keep(now, targets, b.Revision)
	for _, dc := range b.Evacuated {
		g.evacuate(now, dc, true)
		evacuated[dc] = true
	}
	g.keepEvacuated(now, evacuated)
	for _, m := range b.Members {
		g.members.Put(now, m)
	}
	if b.Fleet > 0 {
		g.members.SetFleet(now, b.Fleet, !g.synced.Load())
	}
	g.pulledTo.Store(b.Revision)
	g.Log.Info("view taken from another node", "peer", from.String(), "revision", b.Revision, "targets", len(b.Targets))
}
