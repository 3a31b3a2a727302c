package jwquota

import (
	"slices"
	"sync"
	"time"

	"jujubewheel/core/jwworkspace"
)

const (
	// minRetryAfter and maxRetryAfter bound the Retry-After of a rejected caller.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// idleTTL is how long the account of a workspace without requests is kept.
	idleTTL = time.Minute
	// largestDecay is the factor by which each request lowers the remembered largest cost.
	largestDecay = 0.99
	// negligibleUnits is a tolerance for rounding, less than the cost of any request.
	negligibleUnits = 1e-6
)

// Ledger holds a node's units of all quotas. Set its fields before use. Its mutex is
// held while Quota is called; no other lock is acquired while it is held.
type Ledger struct {
	Quota      func(workspace string) jwworkspace.Quota // returns the quota in the configuration in force
	Bounds     func() Bounds
	OnShortage func() // called when a request here or at a child waits for units, so that they are claimed at once; may be nil

	mu           sync.Mutex
	topology     Topology
	countedSince time.Time // when the other nodes began to count this node in the fleet size
	accounts     map[string]*account
}

// Topology is a node's position among the nodes that share the quotas.
type Topology struct {
	FleetSize           int                         // maximum number of nodes that may be running
	Counted             bool                        // the other nodes include this one in their fleet size
	NoRecentPredecessor bool                        // no earlier process of the node started within a window before this one
	LiveNodes           int                         // live nodes
	GroupSize           int                         // live nodes of its data centre, which claim through it; 0 if it is no relay
	IsRoot              func(workspace string) bool // whether the node gathers a workspace's units; nil if it gathers none
}

// Waiter is a request that waits for units.
type Waiter struct {
	workspace string
	cost      float64
	since     time.Time
	ready     chan struct{}
	granted   bool
}

// Ready returns a channel that is closed once the request has its units.
func (w *Waiter) Ready() <-chan struct{} { return w.ready }

// Outcome is the result of a request for units.
type Outcome string

// The possible outcomes.
const (
	Taken    Outcome = "taken"   // the request has its units
	Waits    Outcome = "waits"   // units may arrive within moments
	Rejected Outcome = "refused" // the caller is to retry later
)

// Decision is an outcome with its details.
type Decision struct {
	Outcome    Outcome
	Waiter     *Waiter       // set if the request waits
	RetryAfter time.Duration // set if the request is rejected
	Level      float64       // units that the node had for the workspace
	Yields     bool          // the quota's units are left to more urgent requests
}

// SetTopology sets the node's position among the nodes. It also removes idle accounts.
func (l *Ledger) SetTopology(now time.Time, topo Topology) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if topo.Counted && !l.topology.Counted {
		l.countedSince = now
	}
	l.topology = topo
	for name, a := range l.accounts {
		if now.Sub(a.lastAsked) > idleTTL && !now.Before(a.wantedUntil) && len(a.waiting) == 0 {
			delete(l.accounts, name)
			continue
		}
		a.root = topo.IsRoot != nil && topo.IsRoot(name)
	}
}

// Take requests the units that a request costs. If they are not available, it enqueues
// the request and returns its Waiter, or rejects it.
func (l *Ledger) Take(now time.Time, workspace string, cost float64) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, q := l.account(now, workspace)
	return l.take(now, a, q, workspace, cost)
}

// take implements Take. The caller holds l.mu.
func (l *Ledger) take(now time.Time, a *account, q jwworkspace.Quota, workspace string, cost float64) Decision {
	a.lastAsked = now
	a.demand.add(now, cost)
	a.largestRequest = max(a.largestRequest*largestDecay, cost)
	d := Decision{Level: a.level}
	switch {
	case len(a.waiting) == 0 && a.level >= cost:
		a.level -= cost
		a.spendRate.add(now, cost)
		d.Outcome = Taken
	case now.Before(a.exhaustedUntil), cost > l.Bounds().maxRequest(q), a.root && a.noteShortage(now) && a.subtreeDemand(now) > q.Rate:
		d.Outcome, d.RetryAfter = Rejected, a.bookRetry(now, q, l.topology, cost)
	default:
		d.Outcome, d.Waiter = Waits, &Waiter{workspace: workspace, cost: cost, since: now, ready: make(chan struct{})}
		a.waiting = append(a.waiting, d.Waiter)
		l.notifyShortage()
	}
	return d
}

// CancelWait ends the wait of a request. The outcome is Taken if the request has received its
// units by now, and otherwise Rejected with a Retry-After.
func (l *Ledger) CancelWait(now time.Time, w *Waiter) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w.granted {
		return Decision{Outcome: Taken}
	}
	a, q := l.account(now, w.workspace)
	a.waiting = slices.DeleteFunc(a.waiting, func(x *Waiter) bool { return x == w })
	a.serveWaiting(now) // the requests behind it may cost less
	return Decision{Outcome: Rejected, RetryAfter: a.bookRetry(now, q, l.topology, w.cost), Level: a.level}
}

// Refund gives back the units of a request that no target has run or will run.
func (l *Ledger) Refund(now time.Time, workspace string, cost float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, q := l.account(now, workspace)
	a.level += cost
	a.serveWaiting(now)
	a.level = min(a.level, a.maxLevel(now, q, l.Bounds(), l.topology)+cost)
}

// bookRetry returns the Retry-After of a rejected caller, after the retries of the callers
// that were rejected before it.
func (a *account) bookRetry(now time.Time, q jwworkspace.Quota, topo Topology, cost float64) time.Duration {
	share := max(a.spendRate.current(now), q.Rate/float64(max(topo.FleetSize, 1)))
	if a.retriesBookedUntil.Before(now) {
		a.retriesBookedUntil = now
	}
	gap := maxRetryAfter
	if share > 0 {
		gap = min(time.Duration(cost/share*float64(time.Second)), maxRetryAfter)
	}
	if d := a.retriesBookedUntil.Sub(now) + gap; d <= maxRetryAfter {
		a.retriesBookedUntil = a.retriesBookedUntil.Add(gap)
	}
	return min(max(a.retriesBookedUntil.Sub(now), minRetryAfter), maxRetryAfter)
}

// Waiting reports whether requests wait for units.
func (l *Ledger) Waiting() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.accounts {
		if len(a.waiting) > 0 {
			return true
		}
	}
	return false
}

// account returns the account of a workspace, refilled up to now. The caller holds l.mu.
func (l *Ledger) account(now time.Time, workspace string) (*account, jwworkspace.Quota) {
	a := l.accounts[workspace]
	if a == nil {
		a = &account{refilledAt: now, root: l.topology.IsRoot != nil && l.topology.IsRoot(workspace)}
		if l.topology.Counted {
			// This node has spent nothing of the workspace's quota since: accounts are
			// removed only after idleTTL without requests.
			a.refilledAt = latest(l.countedSince, now.Add(-idleTTL))
			if l.topology.NoRecentPredecessor && now.Sub(l.countedSince) < idleTTL {
				q, b := l.Quota(workspace), l.Bounds()
				a.level = initialShare * b.maxUnspent(q) / float64(max(l.topology.FleetSize, 1))
			}
		}
		if l.accounts == nil {
			l.accounts = make(map[string]*account)
		}
		l.accounts[workspace] = a
	}
	q := l.Quota(workspace)
	a.refill(now, q, l.Bounds(), l.topology)
	a.serveWaiting(now)
	return a, q
}

func (l *Ledger) notifyShortage() {
	if l.OnShortage != nil {
		l.OnShortage()
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
