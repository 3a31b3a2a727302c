package jwgateway

import (
	"context"
	"net/http"
	"time"

	"jujubewheel/core/jwquota"
	"jujubewheel/core/jwworkspace"
)

const (
	// maxQuotaWait is the maximum time that a request waits for quota units that other nodes hold:
	// one round trip to another region, and one more attempt there.
	maxQuotaWait = 400 * time.Millisecond
	// quotaWaitShare is the maximum share of a request's time that it waits for quota units.
	quotaWaitShare = 0.15
	// outdatedRetryAfter is the Retry-After for an entry or a key that is unknown to a node whose
	// configuration may be outdated. Other nodes may know it.
	outdatedRetryAfter = 300 * time.Millisecond
)

// Reasons for rejecting callers.
const (
	unknownKey    = "unknown key"
	unverifiedKey = "the key is not known at this node, which can't read the configuration now"
	overQuota     = "the workspace is over its quota"
	leftToUrgent  = "the workspace is over its quota, what is left of it goes to more urgent requests"
)

// identify sets the request's workspace, homes and priority by the caller's workspace. If the
// caller's key is unknown, it answers the request and returns false.
func (g *Gateway) identify(q *request, w *jwworkspace.Workspace, known bool) bool {
	q.homes, q.priority = q.entry.Homes, q.entry.Priority
	if !known {
		// A node with an outdated configuration must not reject a key that was added in the
		// meantime.
		if !g.configIsCurrent(q.arrived) {
			g.rejectRequest(q, http.StatusServiceUnavailable, outdatedRetryAfter, unverifiedKey, nil)
			return false
		}
		g.rejectRequest(q, http.StatusUnauthorized, 0, unknownKey, nil)
		return false
	}
	if w == nil {
		return true
	}
	q.workspace = w.Name
	q.homes = q.homes.Intersect(w.Homes)
	if w.HasPriority {
		q.priority = w.Priority
	}
	return true
}

// charge takes the request's units from its workspace's quota. If the quota is used up, it answers
// the request and returns false.
func (g *Gateway) charge(ctx context.Context, q *request, quota jwworkspace.Quota) bool {
	if !quota.Limited() {
		return true
	}
	units := quota.Cost(q.Prompt.Tokens + q.Prompt.Output)
	q.units = units
	var d jwquota.Decision
	if g.controlsOverload(q.service) {
		d = g.quotas.TakeByUrgency(q.arrived, q.workspace, units, q.entry.Priority)
	} else {
		d = g.quotas.Take(q.arrived, q.workspace, units)
	}
	if d.Outcome == jwquota.Waits {
		d = g.awaitUnits(ctx, q, d)
	}
	g.metrics.countUnits(q.workspace, string(d.Outcome), units)
	if d.Outcome == jwquota.Taken {
		return true
	}
	reason := overQuota
	if d.Yields {
		reason = leftToUrgent
	}
	g.rejectRequest(q, http.StatusTooManyRequests, g.quotaReturn(q, d.RetryAfter), reason, &d)
	return false
}

// awaitUnits waits for quota units from other nodes and returns the final decision.
func (g *Gateway) awaitUnits(ctx context.Context, q *request, d jwquota.Decision) jwquota.Decision {
	t := time.NewTimer(min(maxQuotaWait, time.Duration(quotaWaitShare*float64(q.deadline.Sub(q.arrived)))))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-d.Waiter.Ready():
	}
	return g.quotas.CancelWait(time.Now(), d.Waiter)
}

// refund returns the units of a request that no target has run or will run.
func (g *Gateway) refund(q *request) {
	if q.units > 0 {
		g.quotas.Refund(time.Now(), q.workspace, q.units)
		q.units = 0
	}
}

// rejectRequest answers and logs a request that is rejected before its body is read.
func (g *Gateway) rejectRequest(q *request, status int, retryAfter time.Duration, reason string, quota *jwquota.Decision) {
	g.metrics.countRequest(string(q.entry.Kind), outcomeRefused, placeNone, time.Since(q.arrived))
	d := q.newDecision(stepAnswer)
	d.Outcome, d.Reason, d.Status = outcomeRefused, reason, status
	if quota != nil {
		d.Level = quota.Level
	}
	g.Decisions.Write(&d)
	g.answerError(q.w, q.ID, status, retryAfter, reason)
}

// hasQuotas reports whether any workspace of the configuration in force has a quota.
func (g *Gateway) hasQuotas() bool {
	c := g.entries.Current()
	return c != nil && c.Workspaces.Limited()
}

// quotaOf returns the quota of a workspace in the configuration in force.
func (g *Gateway) quotaOf(workspace string) jwworkspace.Quota {
	if c := g.entries.Current(); c != nil {
		if w := c.Workspaces.ByName(workspace); w != nil {
			return w.Quota
		}
	}
	return jwworkspace.Quota{}
}
