package jwgateway

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"jujubewheel/core/jwclock"
	"jujubewheel/core/jwmember"
	"jujubewheel/io/jwconn"
)

// The paths of the calls between nodes that are no forwards.
const (
	statePath  = "/state"
	configPath = "/configuration"
)

const (
	exchangePeriod  = time.Second
	exchangeTimeout = time.Second
	maxState        = 64 << 10
)

// state is what a node tells another one of itself.
type state struct {
	Member  jwmember.Member  `json:"member"`
	Version uint64           `json:"version"` // of the configuration in force
	Waits   map[string]int64 `json:"waits"`   // milliseconds until a first event, by service
}

func (g *Gateway) state(now time.Time) state {
	s := state{Member: g.members.Me(), Version: g.entries.Version(), Waits: map[string]int64{}}
	if c := g.entries.Current(); c != nil {
		for name := range c.Services {
			if d, ok := g.targets.Wait(now, name); ok {
				s.Waits[name] = d.Milliseconds()
			}
		}
	}
	return s
}

// exchange tells all peers how the node fares and hears how they do.
func (g *Gateway) exchange(ctx context.Context) {
	for ctx.Err() == nil {
		g.exchangeAll(ctx)
		jwclock.Sleep(ctx, exchangePeriod)
	}
}

// exchangeAll speaks once to each peer; of two peers one begins.
func (g *Gateway) exchangeAll(ctx context.Context) {
	now := time.Now()
	me := g.members.Me()
	body, err := json.Marshal(g.state(now))
	if err != nil {
		g.Log.Error(err, "state not encoded")
		return
	}
	var wg sync.WaitGroup
	for _, m := range g.members.Peers(now) {
		if m.Name < me.Name && me.Serving {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			g.exchangeOne(ctx, m, body)
		}()
	}
	wg.Wait()
}

func (g *Gateway) exchangeOne(ctx context.Context, m jwmember.Member, body []byte) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	begun := time.Now()
	answer, err := g.nodeCall(ctx, m, http.MethodPost, statePath, body)
	if err != nil {
		g.members.Failed(time.Now(), m.Name)
		g.Pool.Drop(m.Nodes)
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
	a, err := g.Pool.Do(ctx, &jwconn.Call{Peer: m.Nodes, Method: method, Target: path, Host: m.Nodes.String(), Body: body})
	if err != nil {
		return nil, err
	}
	defer a.Close()
	return io.ReadAll(io.LimitReader(a.Body, 8<<20))
}

// heardState takes what a peer tells of itself.
func (g *Gateway) heardState(s state, from jwmember.Member) {
	now := time.Now()
	g.members.Heard(now, s.Member)
	g.regions.heard(now, s)
	if s.Version > g.entries.Version() {
		if from.Name == "" {
			from = s.Member
		}
		go g.fetchConfig(from)
	}
}

// fetchConfig takes the configuration of a peer that has a newer one: the
// store may be out of this node's reach.
func (g *Gateway) fetchConfig(m jwmember.Member) {
	ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
	defer cancel()
	raw, err := g.nodeCall(ctx, m, http.MethodGet, configPath, nil)
	if err != nil {
		g.Log.Info("configuration not fetched", "peer", m.Name, "error", err.Error())
		return
	}
	g.takeConfig(raw, m.Name)
}

func (g *Gateway) serveState(w http.ResponseWriter, r *http.Request) {
	var s state
	if err := json.NewDecoder(io.LimitReader(r.Body, maxState)).Decode(&s); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	g.heardState(s, jwmember.Member{})
	w.Header()["Content-Type"] = []string{"application/json"}
	if err := json.NewEncoder(w).Encode(g.state(time.Now())); err != nil {
		g.Log.V(1).Info("state not told", "peer", s.Member.Name, "error", err.Error())
	}
}

func (g *Gateway) serveConfig(w http.ResponseWriter) {
	c := g.entries.Current()
	if c == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = w.Write(c.Raw)
}
