package jwclaim

import (
	"container/list"
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"sync"
	"time"

	"github.com/pkg/errors"

	"jujubewheel/core/jwrequest"
	"jujubewheel/core/jwstore"
)

// Defaults and limits of a Keeper.
const (
	DefaultMemory         = time.Hour
	DefaultGroupWindow    = 100 * time.Millisecond
	DefaultClaimTimeout   = 2 * time.Second
	DefaultStoreTimeout   = 2 * time.Second
	DefaultMaxClockSkew   = 30 * time.Second
	DefaultSlotsPerRegion = 4
	DefaultMaxSegmentRows = 64
	DefaultMaxAnswerBytes = 32 << 20
	DefaultSweepInterval  = 5 * time.Minute
	DefaultRetryAfter     = time.Second

	maxKeyLength = 255 // bytes of an own key
	callOverhead = 400 // bytes counted for a kept call besides its answer
)

// The errors of Begin; compare with errors.Is.
var (
	ErrKey    = errors.New("key empty or too long")
	ErrRegion = errors.New("no home region")
)

// Counts are running totals of a keeper since its start.
type Counts struct {
	Claims            uint64 // own keys claimed for a call
	Tickets           uint64 // tickets run
	Releases          uint64 // calls given back as not run
	Unknowns          uint64 // verdicts and calls that ended unknown
	Unreads           uint64 // own keys rejected unread
	Evicted           uint64 // answers forgotten for want of memory
	Writes            uint64 // writes of the store
	LostSwaps         uint64 // of these, lost to another node
	StoreFailures     uint64 // groups that failed at the store
	Deleted           uint64 // expired segments deleted
	UnwrittenReleases uint64 // releases still unwritten when the process stopped
	AnswerBytes       uint64 // bytes of kept answers now
	Calls             uint64 // calls in flight now
}

// Keeper decides which calls may run, by claims in the store and by the
// tickets that it minted. Set the fields before Run; all but Store, Node,
// Region, Incarnation and Salt have defaults.
type Keeper struct {
	Store       jwstore.Store
	Node        string
	Region      string
	Incarnation string // new at every start of the process
	// Salt hides keys and bodies in the store and signs tickets; it is the same
	// on all nodes and secret.
	Salt  []byte
	Peers Peers // for Preferred; may be nil

	Memory         time.Duration // of keys whose Ask names none, and of adopted tickets
	GroupWindow    time.Duration // least time between two groups of a slot
	ClaimTimeout   time.Duration // longest wait of a call for its claim
	StoreTimeout   time.Duration // longest wait for one call of the store
	MaxClockSkew   time.Duration // most by which the clocks of two nodes differ
	SweepInterval  time.Duration // between two searches for what has expired
	RetryAfter     time.Duration // advice to rejected callers
	SlotsPerRegion int           // logs a region; the same on all nodes, fixed for good
	MaxSegmentRows int           // rows after which a segment is sealed
	MaxAnswerBytes int           // most bytes of kept answers
	Now            func() time.Time

	initOnce       sync.Once // prepare
	mu             sync.Mutex
	running        bool
	closed         bool
	ctx            context.Context // of Run, for the goroutines of slots
	workers        sync.WaitGroup
	ticketSecret   []byte
	slots          map[string]*slot
	calls          map[callRef]*Call // in flight or kept
	claims         map[claimID]*Call // of calls, those with an own key
	unsettledCalls int               // calls that are not settled
	keptCalls      list.List         // of *Call, oldest answer first
	ownSerials     serials
	adopted        map[string]*adoptedProcess // by incarnation
	moved          map[string]movedProcess    // by incarnation
	handover       handoverState
	counts         Counts
}

// callRef names a call in memory: a ticket by its process and serial, an own
// key by its hash.
type callRef struct {
	incarnation string
	serial      uint64
	key         keyHash
}

// Run writes claims in groups and forgets what has expired, until ctx ends.
// Begin and Mint give nothing out before Run and after it.
func (k *Keeper) Run(ctx context.Context) error {
	if err := k.start(ctx); err != nil {
		return err
	}
	t := time.NewTicker(k.SweepInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			k.expire()
		case <-ctx.Done():
			k.mu.Lock()
			k.running = false
			k.mu.Unlock()
			k.workers.Wait()
			return nil
		}
	}
}

func (k *Keeper) start(ctx context.Context) error {
	k.initOnce.Do(k.initialize)
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.Store == nil || k.Node == "" || k.Region == "" || k.Incarnation == "" || len(k.Salt) == 0 {
		return errors.New("run claims: store, node, region, incarnation and salt must be set")
	}
	k.ctx = ctx
	k.running = true
	return nil
}

// initialize sets what is not set. Callers may ask before Run has begun, and must
// find the same settings then.
func (k *Keeper) initialize() {
	k.mu.Lock()
	defer k.mu.Unlock()
	setDefault(&k.Memory, DefaultMemory)
	setDefault(&k.GroupWindow, DefaultGroupWindow)
	setDefault(&k.ClaimTimeout, DefaultClaimTimeout)
	setDefault(&k.StoreTimeout, DefaultStoreTimeout)
	setDefault(&k.MaxClockSkew, DefaultMaxClockSkew)
	setDefault(&k.SweepInterval, DefaultSweepInterval)
	setDefault(&k.RetryAfter, DefaultRetryAfter)
	setDefault(&k.SlotsPerRegion, DefaultSlotsPerRegion)
	setDefault(&k.MaxSegmentRows, DefaultMaxSegmentRows)
	setDefault(&k.MaxAnswerBytes, DefaultMaxAnswerBytes)
	k.ticketSecret = k.mac("ticket")
	k.slots = map[string]*slot{}
	k.calls = map[callRef]*Call{}
	k.claims = map[claimID]*Call{}
	k.adopted = map[string]*adoptedProcess{}
	k.moved = map[string]movedProcess{}
	k.ownSerials.runnable = true
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

func (k *Keeper) now() time.Time {
	if k.Now == nil {
		return time.Now()
	}
	return k.Now()
}

func (k *Keeper) self() Holder {
	return Holder{Node: k.Node, Region: k.Region, Incarnation: k.Incarnation}
}

// mac is a salted hash of strings, each with its length.
func (k *Keeper) mac(parts ...string) []byte {
	h := hmac.New(sha256.New, k.Salt)
	for _, p := range parts {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(p)))
		h.Write(n[:])
		h.Write([]byte(p))
	}
	return h.Sum(nil)
}

// Begin decides on one call. It waits for the store only for an own key that
// is not known here, and no longer than ClaimWait.
func (k *Keeper) Begin(ctx context.Context, a Ask) (Decision, error) {
	k.initOnce.Do(k.initialize)
	if a.Key == "" || (len(a.Key) > maxKeyLength && !IsTicket(a.Key)) {
		return Decision{}, errors.Wrapf(ErrKey, "begin: %s", k.Node)
	}
	if a.Memory <= 0 {
		a.Memory = k.Memory
	}
	if IsTicket(a.Key) {
		return k.beginTicket(ctx, a), nil
	}
	if a.Region == "" {
		return Decision{}, errors.Wrapf(ErrRegion, "begin: %s", k.Node)
	}
	return k.beginCallerKey(ctx, a), nil
}

func (k *Keeper) keyHash(a Ask) (h keyHash) {
	copy(h[:], k.mac("key", a.Workspace, a.Key))
	return h
}

// bodyHash covers the workspace too, so that a ticket that falls into other
// hands brings nobody the answer of someone else.
func (k *Keeper) bodyHash(a Ask) (h bodyHash) {
	copy(h[:], k.mac("body", a.Workspace, a.Key, string(a.Body[:])))
	return h
}

func (k *Keeper) beginCallerKey(ctx context.Context, a Ask) Decision {
	ref := callRef{key: k.keyHash(a)}
	hash := k.bodyHash(a)
	it, d := k.queueCallerKey(ref, hash, a)
	if it == nil {
		return d
	}
	t := time.NewTimer(k.ClaimTimeout)
	defer t.Stop()
	select {
	case <-it.done:
	case <-ctx.Done():
	case <-t.C:
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.decideItem(it, hash)
}

// queueCallerKey decides on an own key at once if it is known here, and otherwise
// queues its claim and returns the item to wait for.
func (k *Keeper) queueCallerKey(ref callRef, hash bodyHash, a Ask) (*item, Decision) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.running {
		return nil, k.unreadDecision()
	}
	now := k.now()
	c := k.calls[ref]
	if c != nil && c.state == stateFinished && !now.Before(c.until) {
		k.forget(c)
		c = nil
	}
	if c != nil && (c.state != stateClaiming || c.bodyHash != hash) {
		return nil, k.decideByCall(c, hash)
	}
	if c != nil {
		c.item.waiters++
		return c.item, Decision{}
	}
	s := k.slotForKey(a.Region, ref.key)
	if s.rejecting(now) {
		d := k.unreadDecision()
		d.RetryAfter = max(d.RetryAfter, s.retryAt.Sub(now))
		return nil, d
	}
	it := &item{kind: lookupItem, key: ref.key, keyMemory: a.Memory, waiters: 1}
	if !k.closed {
		it.kind = claimItem
		rand.Read(it.id[:])
		it.call = &Call{k: k, ref: ref, bodyHash: hash, claim: it.id, slot: s, item: it, done: make(chan struct{}), state: stateClaiming}
		k.unsettledCalls++
		k.calls[ref] = it.call
		k.claims[it.id] = it.call
	}
	s.enqueue(it)
	return it, Decision{}
}

func (k *Keeper) slotNumber(h keyHash) int {
	return int(binary.BigEndian.Uint64(h[:]) % uint64(k.SlotsPerRegion))
}

func (k *Keeper) slotForKey(region string, h keyHash) *slot {
	return k.slotForPrefix(slotPrefix(region, k.slotNumber(h)))
}

func (k *Keeper) slotForPrefix(prefix string) *slot {
	s := k.slots[prefix]
	if s == nil {
		s = &slot{k: k, prefix: prefix, view: view{prefix: prefix}}
		k.slots[prefix] = s
	}
	return s
}

// Counts returns the totals so far.
func (k *Keeper) Counts() Counts {
	k.mu.Lock()
	defer k.mu.Unlock()
	n := k.counts
	n.Calls = uint64(k.unsettledCalls)
	return n
}

func notRunAnswer() Answer {
	return Answer{Outcome: jwrequest.NotRun}
}
