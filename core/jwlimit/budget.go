package jwlimit

import "sync"

// Defaults for the fields of Budget that are zero.
const (
	DefaultRetryShare      = 0.1
	DefaultMaxSavedRetries = 10
)

// Budget limits the retries of each entry to a fraction of its first tries. In
// an outage every try fails, and unlimited retries would multiply the load just
// when the capacity is lowest. The zero value uses the defaults; one mutex
// guards it.
type Budget struct {
	Share    float64 // retries allowed per first try
	MaxSaved float64 // maximum number of retries that can be saved up; also the initial number

	mu       sync.Mutex
	balances map[string]float64
	count    BudgetCounts
}

// BudgetCounts counts the tries and retries that a Budget has seen.
type BudgetCounts struct {
	Tries    uint64 // first tries
	Retries  uint64
	Rejected uint64 // retries that the budget did not allow
}

// Counts returns the counts since the Budget was created.
func (b *Budget) Counts() BudgetCounts {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.count
}

// Try counts a first try of an entry.
func (b *Budget) Try(entry string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.count.Tries++
	b.set(entry, min(b.available(entry)+b.retryShare(), b.maxSaved()))
}

// Retry reports whether a request of an entry may be retried, and counts the
// retry if so.
func (b *Budget) Retry(entry string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.available(entry)
	if n < 1 {
		b.count.Rejected++
		return false
	}
	b.count.Retries++
	b.set(entry, n-1)
	return true
}

// available returns the number of retries that an entry may make now.
func (b *Budget) available(entry string) float64 {
	if n, known := b.balances[entry]; known {
		return n
	}
	return b.maxSaved()
}

func (b *Budget) set(entry string, n float64) {
	if b.balances == nil {
		b.balances = make(map[string]float64)
	}
	b.balances[entry] = n
}

func (b *Budget) retryShare() float64 {
	if b.Share <= 0 {
		return DefaultRetryShare
	}
	return b.Share
}

func (b *Budget) maxSaved() float64 {
	if b.MaxSaved <= 0 {
		return DefaultMaxSavedRetries
	}
	return b.MaxSaved
}
