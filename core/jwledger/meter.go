package jwledger

import (
	"math"
	"time"
)

const (
	// rateWindow is the time constant of the rates. A workspace that returns after a pause shows with
	// two thirds of its demand after that time.
	rateWindow = time.Second
	// decayStep is the shortest time after which rates are scaled again.
	decayStep = 20 * time.Millisecond
	// meterKeys is how many keys of a service a node names for itself.
	meterKeys = 64
)

// Outcome is how an admitted request ended.
type Outcome string

// Outcomes of admitted requests.
const (
	Useful Outcome = "useful" // served within its goal
	Lost   Outcome = "lost"   // rejected or refused for want of room, or late
	Other  Outcome = "other"  // says nothing about room: failed, or the caller left
)

// Flight is an admitted request in the ledger, from Admit to End.
type Flight struct {
	service string
	key     Key
	work    float64
	started bool
}

// meter measures the requests of this node for one service.
type meter struct {
	at       time.Time
	rates    Sketch
	inFlight map[Key]*Sums // Running and Waiting
}

func (m *meter) advance(now time.Time) {
	dt := now.Sub(m.at)
	if dt < 0 || m.at.IsZero() {
		m.at = now
		return
	}
	if dt < decayStep {
		return
	}
	m.rates.decay(math.Exp(-dt.Seconds() / rateWindow.Seconds()))
	m.at = now
}

// rate returns what an amount of work adds to a rate.
func rate(work float64) float64 { return work / rateWindow.Seconds() }

// snapshot returns the rates with the work in flight.
func (m *meter) snapshot(now time.Time) *Sketch {
	m.advance(now)
	s := &Sketch{Size: meterKeys}
	s.merge(&m.rates)
	for key, d := range m.inFlight {
		s.Add(key, Sums{Running: d.Running, Waiting: d.Waiting})
	}
	return s
}

// Offer records a request that arrived.
func (t *Table) Offer(now time.Time, service string, key Key, work float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.meter(now, service)
	m.rates.Add(key, Sums{Offered: rate(work)})
}

// Admit records that a request was admitted. End must be called for the Flight.
func (t *Table) Admit(now time.Time, service string, key Key, work float64) *Flight {
	t.mu.Lock()
	defer t.mu.Unlock()
	work = max(work, minWork)
	m := t.meter(now, service)
	m.rates.Add(key, Sums{Admitted: rate(work)})
	if m.inFlight == nil {
		m.inFlight = make(map[Key]*Sums)
	}
	if m.inFlight[key] == nil {
		m.inFlight[key] = new(Sums)
	}
	m.inFlight[key].Waiting += work
	return &Flight{service: service, key: key, work: work}
}

// Start records the first event of a request.
func (t *Table) Start(f *Flight) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if f.started {
		return
	}
	f.started = true
	d := t.meters[f.service].inFlight[f.key]
	d.Waiting -= f.work
	d.Running += f.work
}

// End records the end of a request.
func (t *Table) End(now time.Time, f *Flight, o Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.meter(now, f.service)
	d := m.inFlight[f.key]
	if f.started {
		d.Running -= f.work
	} else {
		d.Waiting -= f.work
	}
	const rounding = 1e-9
	if d.Running+d.Waiting < rounding {
		delete(m.inFlight, f.key)
	}
	switch o {
	case Useful:
		m.rates.Add(f.key, Sums{Useful: rate(f.work)})
	case Lost:
		m.rates.Add(f.key, Sums{Lost: rate(f.work)})
	}
}

// meter returns the meter of a service, advanced to now.
func (t *Table) meter(now time.Time, service string) *meter {
	m := t.meters[service]
	if m == nil {
		if t.meters == nil {
			t.meters = make(map[string]*meter)
		}
		m = &meter{rates: Sketch{Size: meterKeys}}
		t.meters[service] = m
	}
	m.advance(now)
	return m
}
