package jwinstance

import (
	"math"
	"time"
)

// fetchCost is what a fetch counts beside its time: the price of the memory
// moved, which is a twentieth of the worth of a prompt of some thousand tokens. It
// is saved while there is time to wait for the holder, and not near the goal,
// where an answer that comes late loses most of its worth.
func fetchCost(n Need, c Choice) time.Duration {
	spare := n.Goal/2 - c.Expected
	if !c.Fetch.IsValid() || spare <= 0 {
		return 0
	}
	return time.Duration(float64(mostFetchCost) * float64(spare) / float64(n.Goal/2))
}

// expected returns the wait for the first event of an engine or the answer of
// a plain service.
func (p *pace) expected(x *Target, n Need, miss int, b load) time.Duration {
	slots := max(x.Slots, 1)
	if n.Prompt.Tokens == 0 && !p.engine {
		d := float64(p.plain) * max(1, float64(b.calls+1)/float64(slots))
		return time.Duration(d * x.slow)
	}
	d := p.curve.expect(b.work, miss) + p.batchDelay(slots, b.calls)
	return time.Duration(float64(d) * x.slow)
}

// batchDelay returns what the calls at an engine add to the wait for a first event: each
// that runs slows the steps of the batch, and of those beyond its slots each waits
// until one ends.
func (p *pace) batchDelay(slots, calls int) time.Duration {
	waiting := max(calls-slots+1, 0)
	return time.Duration(calls)*slotDelay + time.Duration(waiting)*p.hold/time.Duration(slots)
}

// later returns what counts beside the first event: the pace of the request's
// own events, and the delay of all that run there while its prompt is read.
func (p *pace) later(now time.Time, x *Target, n Need, miss int, b load) time.Duration {
	if n.Prompt.Tokens == 0 {
		return 0
	}
	d := PaceWeight * float64(n.Events) * float64(x.gapNow(now))
	d += InterferenceWeight * float64(b.calls) * float64(p.curve.read(0, miss))
	if n.Capacity > 0 && float64(b.held+n.Prompt.held()) > fullShare*float64(n.Capacity) {
		d += float64(fullDelay)
	}
	return time.Duration(d)
}

// gapNow returns the estimated time between two events.
func (x *Target) gapNow(now time.Time) time.Duration {
	gap, at := x.gap, x.gapAt
	if x.reportedGapAt.After(at) {
		gap, at = x.reportedGap, x.reportedGapAt
	}
	if at.IsZero() {
		return firstGap
	}
	if now.Sub(at) > 8*gapFade {
		return firstGap
	}
	fade := math.Exp(-float64(now.Sub(at)) / float64(gapFade))
	return firstGap + time.Duration(fade*float64(gap-firstGap))
}

// pace returns what calls showed of a service.
func (t *Table) pace(service string) *pace {
	if t.paces == nil {
		t.paces = make(map[string]*pace)
	}
	p := t.paces[service]
	if p == nil {
		p = &pace{plain: firstPlain, hold: firstHold}
		t.paces[service] = p
	}
	return p
}
