package jwinstance

import (
	"time"
)

const (
	// firstRate is the prompt tokens a target reads in a millisecond until
	// calls have shown it.
	firstRate = 30.0
	// slotDelay is what one more running request adds to the wait for the
	// first event, as prompts are read between the steps of the others.
	slotDelay = time.Millisecond
	// queueDelay is the wait for a slot for each request ahead in the queue.
	queueDelay = 40 * time.Millisecond
	// rateShare is the weight of a new sample in learned rates.
	rateShare = 0.1
)

// pace is what calls showed of a service.
type pace struct {
	tokensPerMS float64
	plain       time.Duration // whole time of a call to a plain service
}

// Need is a request that looks for a target.
type Need struct {
	Service string
	Prompt  Prompt
	Exclude map[string]bool // targets that it was sent to already
}

// Choice is the target that was found.
type Choice struct {
	Target   *Target
	Expected time.Duration // until the first event
	Miss     int           // prompt tokens that it has to read
	Cold     bool
}

// Best returns the target of the region that will probably answer soonest and
// counts the request as sent there; ok is false if there is none. Every call
// with ok needs a Done.
func (t *Table) Best(now time.Time, n Need) (c Choice, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok = t.best(now, n, false)
	if !ok {
		c, ok = t.best(now, n, true)
	}
	if !ok {
		return c, false
	}
	x := c.Target
	x.calls++
	x.work += c.Miss
	x.tokens += n.Prompt.Tokens + n.Prompt.Output
	x.cache.use(n.Prompt)
	if c.Cold {
		x.coldSends = append(x.coldSends, now)
	}
	return c, true
}

// Expect returns the wait until the first event at the best target of the
// region, without sending anything.
func (t *Table) Expect(now time.Time, n Need) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := t.best(now, n, false)
	return c.Expected, ok
}

// Wait returns how long a request without a prompt would wait at the best
// target of the region.
func (t *Table) Wait(now time.Time, service string) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := t.best(now, Need{Service: service}, false)
	if !ok {
		return 0, false
	}
	ahead := time.Duration(float64(c.Target.work) / t.rate(service) * float64(time.Millisecond))
	return c.Expected + ahead, true
}

// best finds the choice; last admits targets that vanished a moment ago.
func (t *Table) best(now time.Time, n Need, last bool) (Choice, bool) {
	var found Choice
	for _, x := range t.targets {
		if x.Service != n.Service || x.Region != t.Region || n.Exclude[x.ID] || !t.usable(now, x, last) {
			continue
		}
		cold := now.Before(x.coldUntil)
		if cold && !t.coldRoom(now, x) {
			continue
		}
		c := Choice{Target: x, Cold: cold, Miss: x.cache.missing(n.Prompt)}
		c.Expected = t.expected(x, n, c.Miss)
		if found.Target == nil || c.Expected < found.Expected ||
			c.Expected == found.Expected && x.ID < found.Target.ID {
			found = c
		}
	}
	return found, found.Target != nil
}

func (t *Table) usable(now time.Time, x *Target, last bool) bool {
	if x.Draining || t.evacuated[x.DataCentre] || now.Before(x.rest) {
		return false
	}
	if x.gone.IsZero() {
		return true
	}
	return last && now.Sub(x.gone) < goneUse
}

// coldRoom tells whether this node may send one more request to a cold target
// within a second.
func (t *Table) coldRoom(now time.Time, x *Target) bool {
	if t.Warmup == nil || t.Share == nil {
		return true
	}
	d, rate := t.Warmup(x.Service)
	if d == 0 || rate == 0 {
		return true
	}
	kept := x.coldSends[:0]
	for _, at := range x.coldSends {
		if now.Sub(at) < time.Second+50*time.Millisecond {
			kept = append(kept, at)
		}
	}
	x.coldSends = kept
	return float64(len(kept)+1) <= t.Share(x.Service, x.ID)
}

func (t *Table) expected(x *Target, n Need, miss int) time.Duration {
	ahead := x.calls
	waiting := 0
	if x.load.Slots > 0 {
		// What the others have there, as of its last answer.
		others := max(x.load.Running+x.load.Waiting-x.loadCalls, 0)
		ahead += others
		waiting = max(ahead-x.load.Slots+1, 0)
	} else if x.Slots > 0 {
		waiting = max(ahead-x.Slots+1, 0)
	}
	d := time.Duration(ahead)*slotDelay + time.Duration(waiting)*queueDelay
	if n.Prompt.Tokens > 0 {
		d += time.Duration(float64(x.work+miss) / t.rate(n.Service) * float64(time.Millisecond))
	}
	return time.Duration(float64(d) * x.slow)
}

func (t *Table) rate(service string) float64 {
	if p := t.rates[service]; p != nil && p.tokensPerMS > 0 {
		return p.tokensPerMS
	}
	return firstRate
}
