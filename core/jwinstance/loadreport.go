package jwinstance

import "time"

// LoadReport is the load that a target reports in an answer. The zero value reports none.
type LoadReport struct {
	Reported bool
	Running  int     // requests that are running
	Waiting  int     // requests in the target's queue
	Slots    int     // requests that it runs at once
	Pace     float64 // time that work takes now, relative to the usual time; 0 if not reported
}

// SetLoad records the load that a target reported in an answer.
func (t *Table) SetLoad(now time.Time, x *Target, l LoadReport) {
	if !l.Reported {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	x.load, x.loadAt = l, now
	if l.Pace > 0 && !t.pacedServices[x.Service] {
		if t.pacedServices == nil {
			t.pacedServices = make(map[string]bool)
		}
		t.pacedServices[x.Service] = true
	}
}

// ReportsPace reports whether targets of a service have reported their pace.
func (t *Table) ReportsPace(service string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pacedServices[service]
}
