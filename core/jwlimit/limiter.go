package jwlimit

import (
	"sync"
	"time"

	"jujubewheel/core/jwcatalogue"
	"jujubewheel/core/jwtarget"
)

// Reason states why a request was rejected.
type Reason string

// The reasons for a rejection.
const (
	EntryRate       Reason = "entryRate"       // the entry's limit on requests per second
	EntryConcurrent Reason = "entryConcurrent" // the entry's limit on concurrent requests
	OwnerShare      Reason = "ownerShare"      // the owner has more requests than its share, and the service is busy
	// TooLate: the request cannot end before its deadline, or begin in the time that its
	// entry allows for the first token.
	TooLate Reason = "tooLate"
	// QueueFull: the queue is too long for the request's class, or the region too busy for
	// other regions' requests.
	QueueFull Reason = "crowded"
	NodeFull  Reason = "nodeFull" // this node runs as many requests as it can
	NoTarget  Reason = "noTarget" // no target may get the request
)

// LacksCapacity reports whether the request was rejected for lack of capacity in this
// region, so that another region may still take it.
func (r Reason) LacksCapacity() bool {
	return r == OwnerShare || r == TooLate || r == QueueFull || r == NoTarget
}

// Rejection states why a request was not admitted and when to retry it.
type Rejection struct {
	Reason     Reason
	RetryAfter time.Duration
}

// Query holds what the limiter needs to know of one request.
type Query struct {
	Entry    *jwcatalogue.Entry
	Owner    string            // owner of the workspace
	Caller   uint64            // equal for all tries of one request, 0 if unknown
	Foreign  bool              // the request was sent here by another region
	Bound    bool              // the request cannot run in another region
	Away     bool              // the request is to be sent to another region, so Capacity does not limit it
	TimeLeft time.Duration     // time until the deadline, 0 for none
	CallTime time.Duration     // expected duration of the call
	Capacity jwtarget.Capacity // capacity and load of the service in this region
	Now      time.Time
	Random   float64 // in [0, 1)
}

// Token stands for one admitted request; Release returns it.
type Token struct {
	entry   string
	pool    poolKey
	class   jwcatalogue.Class
	foreign bool // admitted for another region, which counted it against the entry's limits
}

// Limiter admits requests on one node. Its fields are set before use. One mutex
// guards it, and no other lock is taken while it is held.
type Limiter struct {
	Node       string // name of this node
	MaxRunning int    // maximum number of concurrent requests on this node, 0 for no limit
	Policy     Policy

	mu       sync.Mutex
	running  int
	members  []string // live nodes of the region, this one included
	entries  map[string]*meter
	pools    map[poolKey]*pool
	services map[string]*pool // by service, all owners together
}

// Policy disables parts of the admission, to measure the effect of each.
type Policy struct {
	NoDeadline     bool // requests that would miss their deadline are admitted too
	NoClasses      bool // all classes have the limits and the expected wait of drafts
	NoOwners       bool // owners have no shares and may displace each other
	NoReservations bool // no places are reserved for rejected callers
}

// poolKey identifies the requests of one owner to one service.
type poolKey struct{ service, owner string }

// pool counts the requests to one service on this node, of one owner or of all.
type pool struct {
	running         int
	urgent          int       // running requests of the classes confirmation and lookup
	lastRequest     time.Time // when the last request arrived
	owners          int       // number of active owners as of ownersCountedAt; only for a pool of all owners
	ownersCountedAt time.Time
	lastRetryAt     time.Time // latest retry time given to a caller that was rejected for lack of capacity
}

// Admit admits a request or rejects it. The Token of an admitted request must
// be released.
func (l *Limiter) Admit(q *Query) (t Token, refusal Rejection, admitted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := poolKey{service: q.Entry.Service, owner: q.Owner}
	a := admission{
		Query:      q,
		limiter:    l,
		entryMeter: l.meterFor(q.Entry.Name),
		owner:      l.ownerPool(key),
		service:    l.servicePool(q.Entry.Service),
	}
	a.owner.lastRequest = q.Now
	if !q.Foreign {
		a.entryMeter.recordRequest(q.Now)
	}
	if refusal, refused := a.check(); refused {
		return Token{}, refusal, false
	}
	t = Token{entry: q.Entry.Name, pool: key, class: q.Entry.Class, foreign: q.Foreign}
	l.adjust(t, 1)
	if !q.Foreign {
		a.entryMeter.tokens--
	}
	return t, Rejection{}, true
}

// Release returns the Token of a request that has ended.
func (l *Limiter) Release(t Token) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.adjust(t, -1)
}

// adjust adds n to all counts that include the request.
func (l *Limiter) adjust(t Token, n int) {
	l.running += n
	if !t.foreign {
		l.meterFor(t.entry).running += n
	}
	for _, p := range [...]*pool{l.ownerPool(t.pool), l.servicePool(t.pool.service)} {
		p.running += n
		if t.class != jwcatalogue.Draft {
			p.urgent += n
		}
	}
}

// meterFor returns the meter of an entry and creates it if needed.
func (l *Limiter) meterFor(name string) *meter {
	m := l.entries[name]
	if m == nil {
		if l.entries == nil {
			l.entries = make(map[string]*meter)
		}
		m = &meter{}
		l.entries[name] = m
	}
	return m
}

// ownerPool returns the pool of an owner's requests to a service and creates it
// if needed.
func (l *Limiter) ownerPool(key poolKey) *pool {
	p := l.pools[key]
	if p == nil {
		if l.pools == nil {
			l.pools = make(map[poolKey]*pool)
		}
		p = &pool{}
		l.pools[key] = p
	}
	return p
}

// servicePool returns the pool of all requests to a service and creates it if
// needed.
func (l *Limiter) servicePool(name string) *pool {
	p := l.services[name]
	if p == nil {
		if l.services == nil {
			l.services = make(map[string]*pool)
		}
		p = &pool{}
		l.services[name] = p
	}
	return p
}

// ownerIdleTimeout is how long an owner without requests is kept in memory.
const ownerIdleTimeout = time.Minute

// Forget removes owners that run nothing and have sent no request for a while;
// otherwise the table would grow with every owner ever seen. It is called about
// once a minute.
func (l *Limiter) Forget(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, p := range l.pools {
		if p.running == 0 && now.Sub(p.lastRequest) > ownerIdleTimeout {
			delete(l.pools, key)
		}
	}
}
