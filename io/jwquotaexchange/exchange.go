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

// Path is that of a claim between nodes.
const Path = "/quota"

const (
	// checkInterval is the time between two looks whether something is to be claimed.
	checkInterval = 250 * time.Millisecond
	// waitingCheckInterval is the same while requests wait for units.
	waitingCheckInterval = 25 * time.Millisecond
	// minCallGap is the least time between two calls of one node, and remoteSpacing that of
	// one in another region, where bytes are dear and an answer takes longer anyway.
	minCallGap       = 10 * time.Millisecond
	minRemoteCallGap = 60 * time.Millisecond
	// pollInterval is the time between two questions which workspaces others want units of.
	pollInterval = time.Second
	// callTimeout bounds a call; units on their way longer than that are lost.
	callTimeout = 600 * time.Millisecond
	// mostCalls bounds the calls to one node at once.
	mostCalls = 4
	// maxBody bounds a claim or its answer.
	maxBody = 64 << 10
)

// Exchange claims units for a node and answers the claims of others; set its fields
// before Run.
type Exchange struct {
	Ledger  *jwquota.Ledger
	Members *jwmember.Table
	Limited func() bool          // whether any workspace has a quota
	Window  func() time.Duration // that quotas hold for
	// Call makes a call to another node and returns the body of its answer.
	Call func(ctx context.Context, m jwmember.Member, method, path string, body []byte) ([]byte, error)
	Log  logr.Logger

	mu    sync.Mutex
	peers map[string]*peer
	kick  chan struct{}
	made  sync.Once
}

// peer is a node that this one claims from.
type peer struct {
	called time.Time
	polled time.Time
	calls  int // without an answer yet
}

type question struct {
	Node   string          `json:"node"`
	Poll   bool            `json:"poll,omitempty"` // it asks which workspaces units are wanted of
	Claims []jwquota.Claim `json:"claims,omitempty"`
}

type answer struct {
	Grants []jwquota.Grant `json:"grants,omitempty"`
}

// Kick makes the exchange look at once whether something is to be claimed.
func (x *Exchange) Kick() {
	select {
	case x.kicked() <- struct{}{}:
	default:
	}
}

func (x *Exchange) kicked() chan struct{} {
	x.made.Do(func() { x.kick = make(chan struct{}, 1) })
	return x.kick
}

// Run claims what the node lacks and gives away what it doesn't need until ctx ends.
func (x *Exchange) Run(ctx context.Context) {
	for ctx.Err() == nil {
		wait := pollInterval
		if x.Limited() {
			now := time.Now()
			relays := x.Members.AllRelays(now)
			x.place(now, relays)
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
		case <-x.kicked():
		}
		t.Stop()
	}
}

// place sets in the ledger where the node stands.
func (x *Exchange) place(now time.Time, relays []jwmember.Member) {
	me := x.Members.Me()
	live := x.Members.Live(now, "")
	p := jwquota.Topology{LiveNodes: len(live), Fresh: x.Members.Fresh(x.Window())}
	p.FleetSize, p.Counted = x.Members.Fleet(now)
	for _, m := range relays {
		if m.Name != me.Name {
			continue
		}
		for _, other := range live {
			if other.DataCentre == me.DataCentre {
				p.GroupSize++
			}
		}
		p.IsRoot = func(workspace string) bool {
			root, ok := jwmember.Root(relays, workspace)
			return ok && root.Name == me.Name
		}
	}
	x.Ledger.SetTopology(now, p)
}

// claim calls the relay of the data centre or, as the relay, those of the others.
func (x *Exchange) claim(ctx context.Context, now time.Time, relays []jwmember.Member) {
	me := x.Members.Me()
	for _, m := range relays {
		if m.DataCentre == me.DataCentre && m.Name != me.Name {
			x.call(ctx, now, m, func(string) bool { return true })
			return
		}
	}
	for _, m := range relays {
		if m.Name == me.Name {
			continue
		}
		x.call(ctx, now, m, func(workspace string) bool {
			root, _ := jwmember.Root(relays, workspace)
			return root.Name == m.Name
		})
	}
}

// call claims from one node the units of the workspaces that fit.
func (x *Exchange) call(ctx context.Context, now time.Time, m jwmember.Member, fits func(workspace string) bool) {
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
	me := x.Members.Me()
	least := minCallGap
	if m.Region != me.Region {
		least = minRemoteCallGap
	}
	if p.calls >= mostCalls || now.Sub(p.called) < least {
		return
	}
	claims := x.Ledger.Claims(now, fits)
	poll := now.Sub(p.polled) >= pollInterval
	if len(claims) == 0 && !poll {
		return
	}
	if poll {
		p.polled = now
	}
	body, err := json.Marshal(question{me.Name, poll, claims})
	if err != nil {
		x.Log.Error(err, "claim not encoded")
		return
	}
	p.called = now
	p.calls++
	go func() {
		x.ask(ctx, m, body)
		x.mu.Lock()
		p.calls--
		x.mu.Unlock()
	}()
}

func (x *Exchange) ask(ctx context.Context, m jwmember.Member, body []byte) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	raw, err := x.Call(ctx, m, http.MethodPost, Path, body)
	if err != nil {
		x.Log.V(1).Info("quota units not claimed", "peer", m.Name, "error", err.Error())
		return
	}
	var a answer
	if err := json.Unmarshal(raw, &a); err != nil {
		x.Log.Info("grant of quota units not readable", "peer", m.Name, "error", err.Error())
		return
	}
	x.Ledger.ApplyGrants(time.Now(), a.Grants)
}

// ServeHTTP answers the claim of another node.
func (x *Exchange) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var q question
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	grants := x.Ledger.Answer(time.Now(), q.Node, q.Claims, q.Poll)
	w.Header()["Content-Type"] = []string{"application/json"}
	if err := json.NewEncoder(w).Encode(answer{grants}); err != nil {
		x.Log.V(1).Info("grant of quota units not sent", "peer", q.Node, "error", err.Error())
	}
}
