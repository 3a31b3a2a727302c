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
	s := r.sent[name]
	if s == nil {
		if r.sent == nil {
			r.sent = make(map[string]*sent)
		}
		s = &sent{onceAt: make(map[string]time.Time)}
		r.sent[name] = s
	}
	for key, at := range s.onceAt {
		if now.Sub(at) >= resendAfter {
			delete(s.onceAt, key)
		}
	}
	return s
}

// markSent reports whether a thing is to be reported to the partner, and notes that it was.
func (s *sent) markSent(key string, now time.Time) bool {
	if _, found := s.onceAt[key]; found {
		return false
	}
	s.onceAt[key] = now
	return true
}

// loadsDue reports whether it is time for loads and use, and notes that it was.
func (s *sent) loadsDue(now time.Time, interval time.Duration) bool {
	if now.Sub(s.loadsAt) < interval {
		return false
	}
	s.loadsAt = now
	return true
}
