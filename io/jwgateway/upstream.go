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
	// changesPath is the path of requests for changes of the store.
	changesPath = "/changes"
	// upstreamWait is how long such a request waits for a change. Together with the pause between
	// two requests and the round trip it stays well below maxRelayReadAge.
	upstreamWait = 400 * time.Millisecond
	// maxUpstreamTrip is the longest time that such a request takes besides waiting for which the
	// changes can be relied on.
	maxUpstreamTrip = 300 * time.Millisecond
	// maxUpstreamReadAge is the maximum age of the other relay's store read, so that nodes can
	// still rely on the changes until this relay passes the next ones on.
	maxUpstreamReadAge = maxRelayReadAge - relayWatchPause - upstreamWait - maxUpstreamTrip
	// upstreamRetryPause is how long a relay reads the store itself after it could not rely on
	// another relay.
	upstreamRetryPause = 3 * time.Second
	// directReaders is the number of relays that read the store for all others.
	directReaders = 2
)

// upstreamRelay returns the relay from which this one, itself a relay, takes the changes of the
// store: one of those nearest to the store that reach it. Otherwise each relay would read the
// registrations of all targets over the links between regions, and one that can't reach the store
// would leave the nodes of its data centre without changes. A node whose relay fails takes them from a
// relay of another data centre: the store would send all that targets have registered in the meantime
// to each node of the data centre.
func (w *storeWatcher) upstreamRelay(now time.Time) (jwmember.Member, bool) {
	if !w.upstreamFailedAt.IsZero() && now.Sub(w.upstreamFailedAt) < upstreamRetryPause {
		return jwmember.Member{}, false
	}
	if !w.g.members.IsRelay(now) {
		return w.g.members.SubstituteRelay(now)
	}
	list := w.g.members.RelaysNearStore(now, directReaders)
	for _, m := range list {
		if m.Name == w.g.Settings.Node {
			return jwmember.Member{}, false
		}
	}
	return jwmember.Root(list, w.g.Settings.Node)
}

// askUpstream asks another relay for the changes after a revision. ok is false if there is no such
// relay or it can't be relied on.
func (w *storeWatcher) askUpstream(ctx context.Context, after jwstore.Revision) (c *changes, from string, ok bool) {
	m, ok := w.upstreamRelay(time.Now())
	if !ok {
		return nil, "", false
	}
	ctx, cancel := context.WithTimeout(ctx, upstreamWait+exchangeTimeout)
	defer cancel()
	q := url.Values{"after": {strconv.FormatUint(after, 10)}}
	raw, err := w.g.nodeCall(ctx, m, http.MethodGet, changesPath+"?"+q.Encode(), nil)
	c = new(changes)
	if err == nil {
		err = json.Unmarshal(raw, c)
	}
	if err == nil && !c.Lost && c.To >= after && time.Duration(c.Age)*time.Millisecond <= maxUpstreamReadAge {
		return c, m.Name, true
	}
	w.upstreamFailedAt = time.Now()
	reason := ""
	if err != nil {
		reason = err.Error()
	}
	w.g.Log.Info("reading the store instead of another relay's changes", "peer", m.Name, "lost", c.Lost, "ageMs", c.Age, "error", reason)
	return nil, "", false
}

// applyUpstream applies changes that another relay read, keeps them for the nodes that report
// through this one, and returns the time as of which the store was read.
func (w *storeWatcher) applyUpstream(now time.Time, c *changes, after jwstore.Revision, readsForOthers bool, from string) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.applyAndKeep(now, c.events(), after, c.To, readsForOthers, from)
	w.upstreamReadAt = now.Add(-time.Duration(c.Age) * time.Millisecond)
	return w.upstreamReadAt
}

// serveChanges answers another relay with the changes of the store as soon as there are any, or
// after upstreamWait.
func (g *Gateway) serveChanges(w http.ResponseWriter, r *http.Request) {
	after := queryUint(r, "after")
	if g.readsForOthers(time.Now()) {
		g.recentChanges.Wait(r.Context(), after, upstreamWait)
	}
	c := &changes{Lost: true}
	if g.readsForOthers(time.Now()) {
		c = g.changesAfter(time.Now(), after)
	}
	if err := json.NewEncoder(w).Encode(c); err != nil {
		g.Log.V(1).Info("failed to send changes of the store", "error", err.Error())
	}
}
