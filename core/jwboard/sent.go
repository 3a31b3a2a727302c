package jwboard

import "time"

const (
	// resendAfter is when a partner is sent again what it was sent, in case
	// it has lost it in a way that nobody noticed.
	resendAfter = time.Minute
	// loadIntervalPerNode is how much longer each node of the fleet makes the time
	// between two reports of loads and use to a partner, up to mostReport.
	loadIntervalPerNode = 10 * time.Millisecond
	maxLoadInterval     = 5 * time.Second
)

// loadInterval is the time between two reports of loads and use to one partner,
// with n nodes known.
func loadInterval(n int) time.Duration {
	return min(loadIntervalPerNode*time.Duration(n), maxLoadInterval)
}

// sent is what was reported to one partner.
type sent struct {
	loadsAt time.Time            // when loads and use were last reported to it
	onceAt  map[string]time.Time // when each thing was reported that is reported once
}

// partner returns what was reported to a partner; r.mu is held.
func (r *Reporter) partner(name string, now time.Time) *sent {
	t := r.sent[name]
	if t == nil {
		if r.sent == nil {
			r.sent = make(map[string]*sent)
		}
		t = &sent{onceAt: make(map[string]time.Time)}
		r.sent[name] = t
	}
	for key, at := range t.onceAt {
		if now.Sub(at) >= resendAfter {
			delete(t.onceAt, key)
		}
	}
	return t
}

// markSent reports whether a thing is to be reported to the partner, and notes that it was.
func (t *sent) markSent(key string, now time.Time) bool {
	if _, known := t.onceAt[key]; known {
		return false
	}
	t.onceAt[key] = now
	return true
}

// loadsDue reports whether it is time for loads and use, and notes that it was.
func (t *sent) loadsDue(now time.Time, every time.Duration) bool {
	if now.Sub(t.loadsAt) < every {
		return false
	}
	t.loadsAt = now
	return true
}
