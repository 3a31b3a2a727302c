package jwboard

import "time"

const (
	// resendAfter is the time after which a partner is sent the same again,
	// in case it has lost it without either node noticing.
	resendAfter = time.Minute
	// loadIntervalPerNode is the time that each known node adds to the time
	// between two reports of loads and usages to a partner, up to
	// maxLoadInterval.
	loadIntervalPerNode = 10 * time.Millisecond
	maxLoadInterval     = 5 * time.Second
)

// loadInterval returns the time between two reports of loads and usages to one
// partner if n nodes are known.
func loadInterval(n int) time.Duration {
	return min(loadIntervalPerNode*time.Duration(n), maxLoadInterval)
}

// sent records what was reported to one partner.
type sent struct {
	loadsAt time.Time            // when loads and usages were last reported
	onceAt  map[string]time.Time // for each item that is reported only once, when it was reported
}

// partner returns the record of what was reported to a partner; r.mu must be held.
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

// markSent records an item as reported. It returns true if the item was not recorded
// before and so must be reported now.
func (s *sent) markSent(key string, now time.Time) bool {
	if _, found := s.onceAt[key]; found {
		return false
	}
	s.onceAt[key] = now
	return true
}

// loadsDue reports whether loads and usages must be reported now. If so, it records
// them as reported.
func (s *sent) loadsDue(now time.Time, interval time.Duration) bool {
	if now.Sub(s.loadsAt) < interval {
		return false
	}
	s.loadsAt = now
	return true
}
