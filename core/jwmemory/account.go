package jwmemory

import "sync"

// Kind is what memory is held for.
type Kind string

// The kinds of memory held.
const (
	Requests Kind = "requests" // connections, headers and stacks of requests in flight
	Bodies   Kind = "bodies"   // buffered bodies of requests
	Answers  Kind = "answers"  // answers that callers have not read
)

// Kinds lists all kinds.
func Kinds() []Kind { return []Kind{Requests, Bodies, Answers} }

const (
	// budgetShare is the share of the process's memory that may be held for requests: half
	// of what the runtime is limited to, because the rest of the node and garbage that is
	// not yet collected need as much again.
	budgetShare = 0.25
	// admissionShare is the share of the budget up to which new requests are
	// admitted; the rest is left for the answers of those in flight.
	admissionShare = 0.75
)

// Budget returns how many bytes may be held for requests by a process that may use
// the given number of bytes; 0, for no limit, if that is 0.
func Budget(process int64) int64 { return int64(budgetShare * float64(process)) }

// Account counts the bytes held by a node. Set Budget before use. The zero value has no
// limit. It is safe for concurrent use.
type Account struct {
	Budget int64 // max bytes held; 0 for no limit

	mu    sync.Mutex
	held  map[Kind]int64
	total int64
}

// Admit reserves what a new request needs, or nothing and returns false if admitting it
// would leave too little for the answers of others.
func (a *Account) Admit(request, body int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.Budget > 0 && a.total+request+body > int64(admissionShare*float64(a.Budget)) {
		return false
	}
	a.add(Requests, request)
	a.add(Bodies, body)
	return true
}

// Reserve reserves bytes of a kind, or nothing and returns false if they exceed the
// budget.
func (a *Account) Reserve(k Kind, n int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.Budget > 0 && a.total+n > a.Budget {
		return false
	}
	a.add(k, n)
	return true
}

// Release returns bytes that Admit or Reserve has reserved.
func (a *Account) Release(k Kind, n int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.add(k, -n)
}

func (a *Account) add(k Kind, n int64) {
	if a.held == nil {
		a.held = make(map[Kind]int64)
	}
	a.held[k] += n
	a.total += n
}

// Held returns the number of bytes held of a kind.
func (a *Account) Held(k Kind) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.held[k]
}

// Total returns the number of bytes held.
func (a *Account) Total() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.total
}
