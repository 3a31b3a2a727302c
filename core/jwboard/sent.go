package jwboard

import "time"

const (
	// resendAfter is when a partner is sent again what it was sent, in case
	// it has lost it in a way that nobody noticed.
	resendAfter = time.Minute
	// reportOfNode is how much longer each node of the fleet makes the time
	// between two reports of loads and use to a partner, up to mostReport.
	reportOfNode = 10 * time.Millisecond
	mostReport   = 5 * time.Second
)

// reportEvery is the time between two reports of loads and use to one partner,
// with n nodes known.
func reportEvery(n int) time.Duration { return min(reportOfNode*time.Duration(n), mostReport) }

// sent is what was reported to one partner.
type sent struct {
	loads time.Time            // when loads and use were last reported to it
	at    map[string]time.Time // when each thing was reported that is reported once
}

// partner returns what was reported to a partner; r.mu is held.
func (r *Reporter) partner(name string, now time.Time) *sent {
	t := r.sent[name]
	if t == nil {
		if r.sent == nil {
			r.sent = make(map[string]*sent)
		}
		t = &sent{at: make(map[string]time.Time)}
		r.sent[name] = t
	}
	for key, at := range t.at {
		if now.Sub(at) >= resendAfter {
			delete(t.at, key)
		}
	}
	return t
}

// first reports whether a thing is to be reported to the partner, and notes that it was.
func (t *sent) first(key string, now time.Time) bool {
	if _, known := t.at[key]; known {
		return false
	}
	t.at[key] = now
	return true
}

// due reports whether it is time for loads and use, and notes that it was.
func (t *sent) due(now time.Time, every time.Duration) bool {
	if now.Sub(t.loads) < every {
		return false
	}
	t.loads = now
	return true
}
