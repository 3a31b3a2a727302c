package jwinstance

import (
	"net/netip"
	"time"
)

// A target that could not be reached may have restarted under its own ID, in which case it is cold,
// and its registration may not show that yet. Until it has been asked it counts as cold.

const (
	// initialAskWait is the wait before a target that could not be reached is first asked whether it is
	// cold; it doubles with each attempt up to maxAskWait.
	initialAskWait = 250 * time.Millisecond
	maxAskWait     = time.Second
	// maxDoubt is how long a target that closed its connections, and answers again without saying
	// whether it is cold, counts as cold; it is also the minimum time between two such doubts. Targets
	// close connections for other reasons too.
	maxDoubt = time.Second
)

// confirmation is what a node knows of a target that may have restarted.
type confirmation struct {
	pending       bool          // it may have restarted since it was last reached
	confirmedAt   time.Time     // when it was last found out whether it is cold
	coldFor       time.Duration // how long it counts as cold if it answers without saying
	presumedUntil time.Time     // when it stops being cold if it restarted as it last refused a connection
	answeredAt    time.Time     // when it first accepted a connection again, zero before that
	askAt         time.Time     // when to ask it next
	wait          time.Duration
}

// MayHaveRestarted records that a target could not be reached: it refused a connection, so that its
// process is gone, or did not respond. It returns true if that was not known.
func (t *Table) MayHaveRestarted(now time.Time, x *Target, refused bool) (news bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := t.warmupTime(x.Service)
	if d == 0 || t.targets[x.ID] != x {
		return false
	}
	c := &x.confirmation
	if refused {
		// Whatever accepts connections there later has started after now. Other nodes may have
		// noticed nothing, so this is reported to them.
		c.presumedUntil = now.Add(d)
		t.setColdUntil(x, laterTime(x.coldUntil, c.presumedUntil))
	}
	c.answeredAt, c.coldFor = time.Time{}, d
	if c.pending {
		return false
	}
	c.askAt = now.Add(initialAskWait)
	t.beginConfirmation(x)
	return true
}

// Disconnected records that a target that can be reached broke off or closed connections, as one that
// has restarted does. It returns true if the target must be asked at once whether it is cold.
func (t *Table) Disconnected(now time.Time, x *Target) (ask bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := &x.confirmation
	if t.warmupTime(x.Service) == 0 || t.targets[x.ID] != x || c.pending || x.isCold(now) || now.Sub(c.confirmedAt) < maxDoubt {
		return false
	}
	c.answeredAt, c.coldFor, c.askAt = time.Time{}, maxDoubt, now
	t.beginConfirmation(x)
	return true
}

// DisconnectedAt is like Disconnected for the target at an address.
func (t *Table) DisconnectedAt(now time.Time, a netip.AddrPort) (ask bool) {
	t.mu.Lock()
	x := t.marked.byAddress[a]
	t.mu.Unlock()
	return x != nil && t.Disconnected(now, x)
}

func (t *Table) beginConfirmation(x *Target) {
	x.confirmation.pending, x.confirmation.wait = true, initialAskWait
	t.marked.unconfirmed.add(x)
}

// warmupTime returns how long a target of a service is cold after its start.
func (t *Table) warmupTime(service string) time.Duration {
	if t.Warmup == nil {
		return 0
	}
	d, _ := t.Warmup(service)
	return d
}

// isCold reports whether a target is cold or may be.
func (x *Target) isCold(now time.Time) bool {
	return x.confirmation.pending || now.Before(x.coldUntil)
}

// Unconfirmed returns the targets that must be asked now whether they are cold, and whether there are
// others that must be asked later. Asking counts as a request to a target that announces a limit.
func (t *Table) Unconfirmed(now time.Time) (ask []*Target, more bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for x := range t.marked.unconfirmed {
		c := &x.confirmation
		if next := t.marked.byAddress[x.Address]; next != nil && next != x && next.Revision > x.Revision && x.goneAt.IsZero() {
			t.replaced(now, x)
		}
		if !c.pending || t.targets[x.ID] != x || !x.goneAt.IsZero() {
			c.pending = false
			delete(t.marked.unconfirmed, x)
			continue
		}
		more = true
		if now.Before(c.askAt) || x.Draining || x.Leaving || t.evacuated[x.DataCentre] || now.Before(x.closedUntil) {
			continue
		}
		if x.limit.Announced {
			if !t.limitAllows(now, x) {
				continue
			}
			x.limit.bucket.Take()
		}
		c.wait = min(2*c.wait, maxAskWait)
		c.askAt = now.Add(c.wait)
		ask = append(ask, x)
	}
	return ask, more
}

// Confirmed records that a target answered how long it stays cold, 0 if it is warm.
func (t *Table) Confirmed(now time.Time, x *Target, cold time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	x.reached()
	x.confirmation.pending, x.confirmation.confirmedAt = false, now
	switch until := now.Add(cold); {
	case cold > 0:
		t.setColdUntil(x, laterTime(x.coldUntil, until))
	case !x.coldUntil.After(x.confirmation.presumedUntil):
		x.coldUntil = now
	}
}

// Answers records that a target accepts connections again without saying whether it is cold. It then
// counts as cold for as long as one that has just started, or for maxDoubt if it could be reached all
// the time.
func (t *Table) Answers(now time.Time, x *Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := &x.confirmation
	if c.answeredAt.IsZero() {
		c.answeredAt = now
		x.reached()
	}
	if now.Sub(c.answeredAt) >= c.coldFor {
		c.pending, c.confirmedAt = false, now
	}
}

// reached ends the time for which a target that could not be reached is not used.
func (x *Target) reached() {
	if x.dialFailures > 0 {
		x.dialFailures, x.backoffUntil = 0, time.Time{}
	}
}
