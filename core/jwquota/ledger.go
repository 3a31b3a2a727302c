package jwquota

import (
	"slices"
	"sync"
	"time"

	"jujubewheel/core/jwworkspace"
)

const (
	// leastRetry and mostRetry bound the Retry-After of a refused caller.
	leastRetry = 200 * time.Millisecond
	mostRetry  = 5 * time.Second
	// idleFor is how long the account of a workspace that nobody asks for is kept.
	idleFor = time.Minute
	// largestFade is by how much the largest request is forgotten with each one.
	largestFade = 0.99
	// someUnits is less than any request takes.
	someUnits = 1e-6
)

// Ledger holds a node's units of all quotas; set its fields before use. Its lock is
// held while Quota is called, and no other lock is taken under it.
type Ledger struct {
	Quota  func(workspace string) jwworkspace.Quota // as the configuration in force has it
	Bounds func() Bounds
	Lacks  func() // called when a request waits for units, which are to be claimed at once; may be nil

	mu       sync.Mutex
	place    Place
	since    time.Time // when the others began to count this node
	accounts map[string]*account
}

// Place is where a node stands among those that share the quotas.
type Place struct {
	Fleet   int                         // nodes that there may be
	Counted bool                        // the others count this one in theirs
	Fresh   bool                        // no process of the node started within a window before this one
	Live    int                         // live nodes
	Group   int                         // of these, those that claim through this one, 0 if it is no relay
	Root    func(workspace string) bool // whether the node gathers a workspace's units; nil for none
}

// Waiter is a request that waits for units.
type Waiter struct {
	workspace string
	cost      float64
	since     time.Time
	ready     chan struct{}
	served    bool
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

// SetPlace takes where the node stands now.
func (l *Ledger) SetPlace(now time.Time, p Place) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p.Counted && !l.place.Counted {
		l.since = now
	}
	l.place = p
	for name, a := range l.accounts {
		if now.Sub(a.asked) > idleFor && !now.Before(a.wanted) && len(a.waiting) == 0 {
			delete(l.accounts, name)
			continue
		}
		a.root = p.Root != nil && p.Root(name)
	}
}

// Take asks for the units of a request.
func (l *Ledger) Take(now time.Time, workspace string, cost float64) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, q := l.account(now, workspace)
	a.asked = now
	a.demand.add(now, cost)
	a.largest = max(a.largest*largestFade, cost)
	d := Decision{Level: a.level}
	switch {
	case len(a.waiting) == 0 && a.level >= cost:
		a.level -= cost
		a.income.add(now, cost)
		d.Outcome = Taken
	case now.Before(a.short), cost > l.Bounds().largest(q), a.root && a.lacks(now) && a.asksTotal(now) > q.Rate:
		d.Outcome, d.RetryAfter = Refused, a.book(now, q, l.place, cost)
	default:
		d.Outcome, d.Waiter = Waits, &Waiter{workspace: workspace, cost: cost, since: now, ready: make(chan struct{})}
		a.waiting = append(a.waiting, d.Waiter)
		l.lacks()
	}
	return d
}

// Leave ends the wait of a request; it reports whether that has got its units after all,
// and otherwise its Retry-After.
func (l *Ledger) Leave(now time.Time, w *Waiter) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w.served {
		return Decision{Outcome: Taken}
	}
	a, q := l.account(now, w.workspace)
	a.waiting = slices.DeleteFunc(a.waiting, func(x *Waiter) bool { return x == w })
	a.serve(now) // those behind it may take less
	return Decision{Outcome: Refused, RetryAfter: a.book(now, q, l.place, w.cost), Level: a.level}
}

// Return gives the units of a request back that no target has run or will.
func (l *Ledger) Return(now time.Time, workspace string, cost float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, q := l.account(now, workspace)
	a.level += cost
	a.serve(now)
	a.level = min(a.level, a.most(now, q, l.Bounds(), l.place)+cost)
}

// book returns the Retry-After of a refused caller: after those refused before it.
func (a *account) book(now time.Time, q jwworkspace.Quota, p Place, cost float64) time.Duration {
	share := max(a.income.now(now), q.Rate/float64(max(p.Fleet, 1)))
	if a.booked.Before(now) {
		a.booked = now
	}
	gap := mostRetry
	if share > 0 {
		gap = min(time.Duration(cost/share*float64(time.Second)), mostRetry)
	}
	if d := a.booked.Sub(now) + gap; d <= mostRetry {
		a.booked = a.booked.Add(gap)
	}
	return min(max(a.booked.Sub(now), leastRetry), mostRetry)
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
		a = &account{minted: now, root: l.place.Root != nil && l.place.Root(workspace)}
		if l.place.Counted {
			// Nobody has spent what was minted since; an account that is idle is dropped.
			a.minted = later(l.since, now.Add(-idleFor))
			if l.place.Fresh && now.Sub(l.since) < idleFor {
				q, b := l.Quota(workspace), l.Bounds()
				a.level = startShare * b.kept(q) / float64(max(l.place.Fleet, 1))
			}
		}
		if l.accounts == nil {
			l.accounts = make(map[string]*account)
		}
		l.accounts[workspace] = a
	}
	q := l.Quota(workspace)
	a.mint(now, q, l.Bounds(), l.place)
	a.serve(now)
	return a, q
}

func (l *Ledger) lacks() {
	if l.Lacks != nil {
		l.Lacks()
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
