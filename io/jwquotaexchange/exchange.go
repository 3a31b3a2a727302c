package jwquotaexchange

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"jujubewheel/core/jwmember"
	"jujubewheel/core/jwquota"
)

// Path is the HTTP path of claims between nodes.
const Path = "/quota"

const (
	// checkInterval is how often the exchange checks whether claims are due.
	checkInterval = 250 * time.Millisecond
	// waitingCheckInterval is the same while requests wait for units.
	waitingCheckInterval = 25 * time.Millisecond
	// minCallGap is the minimum time between two calls to one node, and minRemoteCallGap
	// that to a node of another region, where traffic is expensive and answers take longer
	// anyway.
	minCallGap       = 10 * time.Millisecond
	minRemoteCallGap = 60 * time.Millisecond
	// pollInterval is the time between two calls that ask which workspaces other nodes want
	// units of.
	pollInterval = time.Second
	// callTimeout is the timeout of a call; units that are in transit for longer are lost.
	callTimeout = 600 * time.Millisecond
	// maxCallsPerNode is the maximum number of calls in flight to one node.
	maxCallsPerNode = 4
	// maxBody is the maximum size in bytes of a request with claims.
	maxBody = 64 << 10
)

// Exchange claims units for a node and answers the claims of other nodes. Set its fields
// before calling Run.
type Exchange struct {
	Ledger  *jwquota.Ledger
	Members *jwmember.Table
	Limited func() bool          // whether any workspace has a quota
	Window  func() time.Duration // the window that the quota bounds apply to
	// Call sends a request to another node and returns the body of its answer.
	Call func(ctx context.Context, m jwmember.Member, method, path string, body []byte) ([]byte, error)
	Log  logr.Logger

	mu       sync.Mutex
	peers    map[string]*peer
	wake     chan struct{}
	wakeOnce sync.Once
}

// peer is a node that this one claims from.
type peer struct {
	lastCall time.Time
	lastPoll time.Time
	inFlight int // calls without an answer yet
}

type claimRequest struct {
	Node   string          `json:"node"`
	Poll   bool            `json:"poll,omitempty"` // asks which workspaces other nodes want units of
	Claims []jwquota.Claim `json:"claims,omitempty"`
}

type claimResponse struct {
	Grants []jwquota.Grant `json:"grants,omitempty"`
}

// Wake makes Run check at once whether claims are due.
func (x *Exchange) Wake() {
	select {
	case x.wakeChannel() <- struct{}{}:
	default:
	}
}

func (x *Exchange) wakeChannel() chan struct{} {
	x.wakeOnce.Do(func() { x.wake = make(chan struct{}, 1) })
	return x.wake
}

// Run claims the units that the node needs and grants its surplus to others, until ctx ends.
func (x *Exchange) Run(ctx context.Context) {
	for ctx.Err() == nil {
		wait := pollInterval
		if x.Limited() {
			now := time.Now()
			relays := x.Members.AllRelays(now)
			x.updateTopology(now, relays)
			x.claim(ctx, now, relays)
			wait = checkInterval
			if x.Ledger.Waiting() {
				wait = waitingCheckInterval
			}
		}
		t := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-t.C:
		case <-x.wakeChannel():
		}
		t.Stop()
	}
}

// updateTopology sets the node's current position in the ledger.
func (x *Exchange) updateTopology(now time.Time, relays []jwmember.Member) {
	me := x.Members.Local()
	live := x.Members.Live(now, "")
	topo := jwquota.Topology{LiveNodes: len(live), NoRecentPredecessor: x.Members.NoRecentPredecessor(x.Window())}
	topo.FleetSize, topo.Counted = x.Members.Fleet(now)
	for _, m := range relays {
		if m.Name != me.Name {
			continue
		}
		for _, other := range live {
			if other.DataCentre == me.DataCentre {
				topo.GroupSize++
			}
		}
		topo.IsRoot = func(workspace string) bool {
			root, ok := jwmember.Root(relays, workspace)
			return ok && root.Name == me.Name
		}
	}
	x.Ledger.SetTopology(now, topo)
}

// claim claims from the relay of the data centre or, if this node is that relay, from the
// relays of the other data centres.
func (x *Exchange) claim(ctx context.Context, now time.Time, relays []jwmember.Member) {
	me := x.Members.Local()
	for _, m := range relays {
		if m.DataCentre == me.DataCentre && m.Name != me.Name {
			x.claimFrom(ctx, now, m, func(string) bool { return true })
			return
		}
	}
	for _, m := range relays {
		if m.Name == me.Name {
			continue
		}
		x.claimFrom(ctx, now, m, func(workspace string) bool {
			root, _ := jwmember.Root(relays, workspace)
			return root.Name == m.Name
		})
	}
}

// claimFrom claims units from one node, of the workspaces that the filter accepts.
func (x *Exchange) claimFrom(ctx context.Context, now time.Time, m jwmember.Member, filter func(workspace string) bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	p := x.peers[m.Name]
	if p == nil {
		if x.peers == nil {
			x.peers = make(map[string]*peer)
		}
		p = &peer{}
		x.peers[m.Name] = p
	}
	me := x.Members.Local()
	minGap := minCallGap
	if m.Region != me.Region {
		minGap = minRemoteCallGap
	}
	if p.inFlight >= maxCallsPerNode || now.Sub(p.lastCall) < minGap {
		return
	}
	claims := x.Ledger.Claims(now, filter)
	poll := now.Sub(p.lastPoll) >= pollInterval
	if len(claims) == 0 && !poll {
		return
	}
	if poll {
		p.lastPoll = now
	}
	body, err := json.Marshal(claimRequest{me.Name, poll, claims})
	if err != nil {
		x.Log.Error(err, "quota claims not encoded")
		return
	}
	p.lastCall = now
	p.inFlight++
	go func() {
		x.sendClaims(ctx, m, body)
		x.mu.Lock()
		p.inFlight--
		x.mu.Unlock()
	}()
}

func (x *Exchange) sendClaims(ctx context.Context, m jwmember.Member, body []byte) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	raw, err := x.Call(ctx, m, http.MethodPost, Path, body)
	if err != nil {
		x.Log.V(1).Info("quota units not claimed", "peer", m.Name, "error", err.Error())
		return
	}
	var a claimResponse
	if err := json.Unmarshal(raw, &a); err != nil {
		x.Log.Info("quota grants not decoded", "peer", m.Name, "error", err.Error())
		return
	}
	x.Ledger.ApplyGrants(time.Now(), a.Grants)
}

// ServeHTTP answers the claims of another node with grants. It answers a body that can't
// be decoded with status 400.
func (x *Exchange) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var q claimRequest
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	grants := x.Ledger.Answer(time.Now(), q.Node, q.Claims, q.Poll)
	w.Header()["Content-Type"] = []string{"application/json"}
	if err := json.NewEncoder(w).Encode(claimResponse{grants}); err != nil {
		x.Log.V(1).Info("quota grants not sent", "peer", q.Node, "error", err.Error())
	}
}
