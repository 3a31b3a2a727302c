package jwquota

import (
	"slices"
	"sync"
	"time"

	"jujubewheel/core/jwworkspace"
)

const (
	// minRetryAfter and mostRetry bound the Retry-After of a refused caller.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// idleTTL is how long the account of a workspace that nobody asks for is kept.
	idleTTL = time.Minute
	// largestDecay is by how much the largest request is forgotten with each one.
	largestDecay = 0.99
	// negligibleUnits is less than any request takes.
	negligibleUnits = 1e-6
)

// Ledger holds a node's units of all quotas; set its fields before use. Its lock is
// held while Quota is called, and no other lock is taken under it.
type Ledger struct {
	Quota  func(workspace string) jwworkspace.Quota // as the configuration in force has it
	Bounds func() Bounds
	Lacks  func() // called when a request waits for units, which are to be claimed at once; may be nil

	mu           sync.Mutex
	topology     Topology
	countedSince time.Time // when the others began to count this node
	accounts     map[string]*account
}

// Topology is where a node stands among those that share the quotas.
type Topology struct {
	FleetSize int                         // nodes that there may be
	Counted   bool                        // the others count this one in theirs
	Fresh     bool                        // no process of the node started within a window before this one
	LiveNodes int                         // live nodes
	GroupSize int                         // of these, those that claim through this one, 0 if it is no relay
	IsRoot    func(workspace string) bool // whether the node gathers a workspace's units; nil for none
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

// Outcome is what became of a request that asked for units.
type Outcome string

// The outcomes.
const (
	Taken   Outcome = "taken"
	Waits   Outcome = "waits" // units may come within moments
	Refused Outcome = "refused"
)

// Decision is the outcome with what it rests on.
type Decision struct {
	Outcome    Outcome
	Waiter     *Waiter       // of a request that waits
	RetryAfter time.Duration // of one that is refused
	Level      float64       // units that the node had
}

// SetTopology takes where the node stands now.
func (l *Ledger) SetTopology(now time.Time, p Topology) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p.Counted && !l.topology.Counted {
		l.countedSince = now
	}
	l.topology = p
	for name, a := range l.accounts {
		if now.Sub(a.lastAsked) > idleTTL && !now.Before(a.wantedUntil) && len(a.waiting) == 0 {
			delete(l.accounts, name)
			continue
		}
		a.root = p.IsRoot != nil && p.IsRoot(name)
	}
}

// Take asks for the units of a request.
func (l *Ledger) Take(now time.Time, workspace string, cost float64) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, q := l.account(now, workspace)
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
		d.Outcome, d.RetryAfter = Refused, a.bookRetry(now, q, l.topology, cost)
	default:
		d.Outcome, d.Waiter = Waits, &Waiter{workspace: workspace, cost: cost, since: now, ready: make(chan struct{})}
		a.waiting = append(a.waiting, d.Waiter)
		l.notifyShortage()
	}
	return d
}

// Leave ends the wait of a request; it reports whether that has got its units after all,
// and otherwise its Retry-After.
func (l *Ledger) Leave(now time.Time, w *Waiter) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w.granted {
		return Decision{Outcome: Taken}
	}
	a, q := l.account(now, w.workspace)
	a.waiting = slices.DeleteFunc(a.waiting, func(x *Waiter) bool { return x == w })
	a.serveWaiting(now) // those behind it may take less
	return Decision{Outcome: Refused, RetryAfter: a.bookRetry(now, q, l.topology, w.cost), Level: a.level}
}

// Return gives the units of a request back that no target has run or will.
func (l *Ledger) Return(now time.Time, workspace string, cost float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, q := l.account(now, workspace)
	a.level += cost
	a.serveWaiting(now)
	a.level = min(a.level, a.maxLevel(now, q, l.Bounds(), l.topology)+cost)
}

// bookRetry returns the Retry-After of a refused caller: after those refused before it.
func (a *account) bookRetry(now time.Time, q jwworkspace.Quota, p Topology, cost float64) time.Duration {
	share := max(a.spendRate.current(now), q.Rate/float64(max(p.FleetSize, 1)))
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

// account returns the account of a workspace, with what was minted since; l.mu is held.
func (l *Ledger) account(now time.Time, workspace string) (*account, jwworkspace.Quota) {
	a := l.accounts[workspace]
	if a == nil {
		a = &account{refilledAt: now, root: l.topology.IsRoot != nil && l.topology.IsRoot(workspace)}
		if l.topology.Counted {
			// Nobody has spent what was minted since; an account that is idle is dropped.
			a.refilledAt = latest(l.countedSince, now.Add(-idleTTL))
			if l.topology.Fresh && now.Sub(l.countedSince) < idleTTL {
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
	if l.Lacks != nil {
		l.Lacks()
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
