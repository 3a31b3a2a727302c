package jwlimit

import (
	"sync"
	"time"

	"jujubewheel/core/jwcatalogue"
	"jujubewheel/core/jwtarget"
)

// Reason is why a request was refused.
type Reason string

// The reasons for a refusal.
const (
	EntryRate       Reason = "entryRate"       // the entry's requests a second
	EntryConcurrent Reason = "entryConcurrent" // the entry's requests running
	OwnerShare      Reason = "ownerShare"      // the owner runs more than its share while others wait
	TooLate         Reason = "tooLate"         // it cannot end before its deadline
	Crowded         Reason = "crowded"         // the class gives way to more urgent ones
	NodeFull        Reason = "nodeFull"        // this node runs all that it can
	NoTarget        Reason = "noTarget"        // no target may get it
)

// Room reports whether a refusal is for want of room in this region, so that
// another region may yet take the request.
func (r Reason) Room() bool {
	return r == OwnerShare || r == TooLate || r == Crowded || r == NoTarget
}

// Refusal says that a request was not taken on and when to come back.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration
}

// Query is one request as far as its admission matters.
type Query struct {
	Entry   *jwcatalogue.Entry
	Owner   string        // of the workspace
	Caller  uint64        // the same for each try of one request, 0 for unknown
	Foreign bool          // sent here by another region
	Bound   bool          // cannot run in another region
	Away    bool          // about to be sent to another region: Room is not of this one
	Left    time.Duration // time to the deadline, 0 for none
	Work    time.Duration // expected time of the call
	Room    jwtarget.Room // of the service in the region that is to run it
	Now     time.Time
	Random  float64 // in [0, 1)
}

// Token is one request taken on; Release takes it back.
type Token struct {
	entry   string
	pool    poolKey
	class   jwcatalogue.Class
	foreign bool // counted against the entry's limits where it came from
}

// Limiter admits requests on one node. Its fields are set before use. One
// mutex guards it, and no other lock is taken under it.
type Limiter struct {
	Node    string // name of this node
	Running int    // requests that this node runs at once, 0 for no limit
	Policy  Policy

	mu       sync.Mutex
	running  int
	members  []string // live nodes of the region, this one included
	entries  map[string]*meter
	pools    map[poolKey]*pool
	services map[string]*pool // by service, over all owners
}

// Policy switches parts of the admission off, for measuring what each earns.
type Policy struct {
	NoDeadline bool // what cannot be in time is taken on all the same
	NoClasses  bool // all classes are treated alike
	NoOwners   bool // owners may displace each other
	NoBooking  bool // refused callers get no turn kept
}

// poolKey names what one owner runs on one service.
type poolKey struct{ service, owner string }

// pool counts requests of one service on this node.
type pool struct {
	running         int
	urgent          int       // those of the classes confirmation and lookup
	lastRequest     time.Time // when a request last came
	owners          int       // that run or asked, counted at the time below; of a whole service only
	ownersCountedAt time.Time
	lastRetryAt     time.Time // when the last of those refused for want of room is to come back
}

// Admit takes a request on or refuses it. A request taken on must be released.
func (l *Limiter) Admit(q *Query) (t Token, refusal Refusal, admitted bool) {
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
	return t, Refusal{}, true
}

// Release takes back a request that has ended.
func (l *Limiter) Release(t Token) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.adjust(t, -1)
}

// adjust adds n to all the counts that a request belongs to.
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

// ownerIdleTimeout is how long an owner that asks nothing is kept in memory.
const ownerIdleTimeout = time.Minute

// Forget drops owners that run nothing and have not asked for a while; without
// it the table would grow with every owner ever seen. It is called now and
// then, about once a minute.
func (l *Limiter) Forget(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, p := range l.pools {
		if p.running == 0 && now.Sub(p.lastRequest) > ownerIdleTimeout {
			delete(l.pools, key)
		}
	}
}
