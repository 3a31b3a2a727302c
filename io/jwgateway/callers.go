package jwgateway

import (
	"context"
	"net/http"
	"time"

	"jujubewheel/core/jwquota"
	"jujubewheel/core/jwworkspace"
)

const (
	// maxQuotaWait bounds how long a request waits for units that other nodes hold: a
	// way to another region and back, and one more look there.
	maxQuotaWait = 400 * time.Millisecond
	// quotaWaitShare is the part of its time that a request may wait so.
	quotaWaitShare = 0.15
	// keyRetryAfter is the Retry-After for a key that a node without a fresh view of the
	// configuration doesn't know.
	keyRetryAfter = 300 * time.Millisecond
	// configTrustPeriod is how long a node that is cut off from the store takes its configuration
	// for the newest after one that reaches the store reported nothing newer.
	configTrustPeriod = 3 * syncedPeerAge
)

// Why callers are refused.
const (
	unknownKey    = "unknown key"
	unverifiedKey = "the key is not known at this node, which can't read the configuration now"
	overQuota     = "the workspace is over its quota"
)

// identify finds the workspace of the caller and what follows from it; it answers the
// caller and returns false if the request may not go on.
func (g *Gateway) identify(q *request, w *jwworkspace.Workspace, known bool) bool {
	q.homes, q.priority = q.entry.Homes, q.entry.Priority
	if !known {
		// A node that lags behind must not turn away a key that was added meanwhile.
		if g.store.stale(q.arrived) && q.arrived.Sub(time.Unix(0, g.store.syncedPeerSeen.Load())) > configTrustPeriod {
			g.refuseRequest(q, http.StatusServiceUnavailable, keyRetryAfter, unverifiedKey, nil)
			return false
		}
		g.refuseRequest(q, http.StatusUnauthorized, 0, unknownKey, nil)
		return false
	}
	if w == nil {
		return true
	}
	q.workspace = w.Name
	q.homes = q.homes.Both(w.Homes)
	if w.Ranked {
		q.priority = w.Priority
	}
	return true
}

// charge takes the request's units off its workspace's quota; it answers the caller
// and returns false if that is used up.
func (g *Gateway) charge(ctx context.Context, q *request, quota jwworkspace.Quota) bool {
	if !quota.Limited() {
		return true
	}
	units := quota.Cost(q.Prompt.Tokens + q.Prompt.Output)
	q.units = units
	d := g.quotas.Take(q.arrived, q.workspace, units)
	if d.Outcome == jwquota.Waits {
		d = g.awaitUnits(ctx, q, d)
	}
	g.metrics.countUnits(q.workspace, string(d.Outcome), units)
	if d.Outcome == jwquota.Taken {
		return true
	}
	g.refuseRequest(q, http.StatusTooManyRequests, d.RetryAfter, overQuota, &d)
	return false
}

func (g *Gateway) awaitUnits(ctx context.Context, q *request, d jwquota.Decision) jwquota.Decision {
	t := time.NewTimer(min(maxQuotaWait, time.Duration(quotaWaitShare*float64(q.deadline.Sub(q.arrived)))))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-d.Waiter.Ready():
	}
	return g.quotas.Leave(time.Now(), d.Waiter)
}

// refund gives the units of a request back that no target has run or will.
func (g *Gateway) refund(q *request) {
	if q.units > 0 {
		g.quotas.Return(time.Now(), q.workspace, q.units)
		q.units = 0
	}
}

// refuseRequest answers a request that is not served at all, before its body is read.
func (g *Gateway) refuseRequest(q *request, status int, retryAfter time.Duration, reason string, quota *jwquota.Decision) {
	g.metrics.countRequest(string(q.entry.Kind), outcomeRefused, placeNone, time.Since(q.arrived))
	d := q.newDecision(stepAnswer)
	d.Outcome, d.Reason, d.Status = outcomeRefused, reason, status
	if quota != nil {
		d.Level = quota.Level
	}
	g.Decisions.Write(&d)
	g.refuse(q.w, q.ID, status, retryAfter, reason)
}

// hasQuotas reports whether any workspace of the configuration in force has a quota.
func (g *Gateway) hasQuotas() bool {
	c := g.entries.Current()
	return c != nil && c.Workspaces.Limited()
}

// quotaOf returns the quota of a workspace in the configuration in force.
func (g *Gateway) quotaOf(workspace string) jwworkspace.Quota {
	if c := g.entries.Current(); c != nil {
		if w := c.Workspaces.Named(workspace); w != nil {
			return w.Quota
		}
	}
	return jwworkspace.Quota{}
}
