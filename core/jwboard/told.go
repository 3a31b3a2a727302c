package jwboard

import "time"

const (
	// tellAgain is when a partner is told anew of what it has been told, in case
	// it has lost it in a way that nobody noticed.
	tellAgain = time.Minute
	// wordOfNode is how much longer each node of the fleet makes the time
	// between two words to a partner about loads and use, up to mostWords.
	wordOfNode = 10 * time.Millisecond
	mostWords  = 5 * time.Second
)

// wordsEvery is the time between two words to one partner about loads and use,
// with n nodes known.
func wordsEvery(n int) time.Duration { return min(wordOfNode*time.Duration(n), mostWords) }

// told is what one partner was told.
type told struct {
	words time.Time            // when it was last told loads and use
	at    map[string]time.Time // when it was told of each thing that is told once
}

// partner returns what a partner was told; r.mu is held.
func (r *Reporter) partner(name string, now time.Time) *told {
	t := r.told[name]
	if t == nil {
		if r.told == nil {
			r.told = make(map[string]*told)
		}
		t = &told{at: make(map[string]time.Time)}
		r.told[name] = t
	}
	for key, at := range t.at {
		if now.Sub(at) >= tellAgain {
			delete(t.at, key)
		}
	}
	return t
}

// first reports whether the partner is to be told of a thing, and books it.
func (t *told) first(key string, now time.Time) bool {
	if _, known := t.at[key]; known {
		return false
	}
	t.at[key] = now
	return true
}

// due reports whether it is time for loads and use, and books it.
func (t *told) due(now time.Time, every time.Duration) bool {
	if now.Sub(t.words) < every {
		return false
	}
	t.words = now
	return true
}
