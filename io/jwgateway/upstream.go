package jwgateway

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"jujubewheel/core/jwmember"
	"jujubewheel/core/jwstore"
)

const (
	// changesPath is that of the question for changes of the store.
	changesPath = "/changes"
	// upstreamWait is how long the question waits for a change. With the pause between
	// two questions and the way there and back it stays well below relayAge.
	upstreamWait = 400 * time.Millisecond
	// upstreamAge is how old the other relay's reading may be, so that what is passed on
	// can still be relied on.
	upstreamAge = relayAge / 2
	// upstreamRest is how long a relay reads the store itself after it could not rely on
	// another one.
	upstreamRest = 3 * time.Second
	// readers is how many relays read the store for all others.
	readers = 2
)

// upstream returns the relay from which this one, itself a relay, takes the changes of
// the store: one of those that are nearest to it. The others would each read what all
// targets register, over the links between regions.
func (f *follower) upstream(now time.Time) (jwmember.Member, bool) {
	if !f.refused.IsZero() && now.Sub(f.refused) < upstreamRest {
		return jwmember.Member{}, false
	}
	list := f.g.members.Nearest(now, readers)
	for _, m := range list {
		if m.Name == f.g.Settings.Node {
			return jwmember.Member{}, false
		}
	}
	return jwmember.Root(list, f.g.Settings.Node)
}

// askUpstream asks another relay for the changes after a revision; ok is false if there
// is none or it can't be relied on.
func (f *follower) askUpstream(ctx context.Context, after jwstore.Revision) (c *changes, ok bool) {
	m, ok := f.upstream(time.Now())
	if !ok {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, upstreamWait+exchangeTimeout)
	defer cancel()
	q := url.Values{"after": {strconv.FormatUint(after, 10)}}
	raw, err := f.g.nodeCall(ctx, m, http.MethodGet, changesPath+"?"+q.Encode(), nil)
	c = &changes{Lost: true}
	if err == nil {
		err = json.Unmarshal(raw, c)
	}
	if err == nil && !c.Lost && c.To >= after && time.Duration(c.Age)*time.Millisecond <= upstreamAge {
		return c, true
	}
	f.refused = time.Now()
	f.g.Log.Info("relay reads the store itself", "peer", m.Name, "lost", c.Lost, "ageMs", c.Age)
	return nil, false
}

// passOn takes changes that another relay read, keeps them for those that report through
// this one, and returns of when they are.
func (f *follower) passOn(now time.Time, c *changes, from jwstore.Revision) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.g.recent.Add(f.take(now, c.events(), c.To), from, c.To)
	return now.Add(-time.Duration(c.Age) * time.Millisecond)
}

// serveChanges answers another relay with the changes of the store as soon as there are any.
func (g *Gateway) serveChanges(w http.ResponseWriter, r *http.Request) {
	after := numberOf(r, "after")
	if g.reads(time.Now()) {
		g.recent.Wait(r.Context(), after, upstreamWait)
	}
	c := &changes{Lost: true}
	if g.reads(time.Now()) {
		c = g.changesAfter(time.Now(), after)
	}
	if err := json.NewEncoder(w).Encode(c); err != nil {
		g.Log.V(1).Info("changes not sent", "error", err.Error())
	}
}
