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
	DefaultKeyMemory      = time.Hour
	DefaultGroupWindow    = 100 * time.Millisecond
	DefaultClaimTimeout   = 2 * time.Second
	DefaultStoreTimeout   = 2 * time.Second
	DefaultMaxClockSkew   = 30 * time.Second
	DefaultSlotsPerRegion = 4
	DefaultMaxSegmentRows = 64
	DefaultMaxAnswerBytes = 32 << 20
	DefaultSweepInterval  = 5 * time.Minute
	DefaultRetryAfter     = time.Second

	maxKeyLength = 255 // maximum size of a caller key in bytes
	callOverhead = 400 // bytes counted for a kept call in addition to its answer
)

// Errors returned by Begin; compare with errors.Is.
var (
	ErrKey    = errors.New("key empty or too long")
	ErrRegion = errors.New("no home region")
)

// Counts holds totals since the start of a keeper, and the current values
// AnswerBytes and Calls.
type Counts struct {
	Claims            uint64 // caller keys claimed for a call
	Tickets           uint64 // tickets run
	Releases          uint64 // calls released as not run
	Unknowns          uint64 // verdicts and calls that ended as unknown
	UnreadableClaims  uint64 // caller keys rejected because their claims could not be read
	Evicted           uint64 // answers evicted to stay within MaxAnswerBytes
	Writes            uint64 // swaps sent to the store
	LostSwaps         uint64 // swaps lost to another node
	StoreFailures     uint64 // failed cycles and failed deletions of stray segments
	Deleted           uint64 // expired segments deleted
	UnwrittenReleases uint64 // releases still unwritten when the process stopped
	AnswerBytes       uint64 // current size of the kept answers in bytes
	Calls             uint64 // calls now in flight
}

// Keeper decides which calls may run, from the claims in the store and the
// tickets that it minted. Set the fields before Run; all but Store, Node,
// Region, Incarnation and Salt have defaults.
type Keeper struct {
	Store       jwstore.Store
	Node        string
	Region      string
	Incarnation string // new at every start of the process
	// Salt is the secret with which keys and bodies are hashed before they are
	// stored, and with which tickets are signed. It is the same on all nodes.
	Salt  []byte
	Peers Peers // for Preferred; may be nil

	KeyMemory      time.Duration // how long keys without KeyedCall.KeyMemory and adopted tickets are remembered
	GroupWindow    time.Duration // minimum time between two cycles of a slot
	ClaimTimeout   time.Duration // maximum wait of a call for its claim
	StoreTimeout   time.Duration // maximum duration of a store operation
	MaxClockSkew   time.Duration // maximum difference between the clocks of two nodes
	SweepInterval  time.Duration // time between two searches for expired calls and segments
	RetryAfter     time.Duration // retry delay suggested to rejected callers
	SlotsPerRegion int           // each has its own log; the same on all nodes, must never change
	MaxSegmentRows int           // a segment with this many rows is sealed
	MaxAnswerBytes int           // maximum size of the kept answers
	Now            func() time.Time

	initOnce       sync.Once // guards initialize
	mu             sync.Mutex
	running        bool
	closed         bool
	ctx            context.Context // context of Run, used by the goroutines of slots
	workers        sync.WaitGroup
	ticketSecret   []byte
	slots          map[string]*slot
	calls          map[callRef]*Call // calls in flight or with a kept answer
	claims         map[claimID]*Call // the calls that have a caller key
	unsettledCalls int
	keptCalls      list.List // of *Call, oldest answer first
	ownSerials     serials
	adopted        map[string]*adoptedProcess // by incarnation
	moved          map[string]movedProcess    // by incarnation
	handover       handoverState
	counts         Counts
}

// callRef identifies a call in memory: a ticket by its process and serial, a
// caller key by its hash.
type callRef struct {
	incarnation string
	serial      uint64
	key         keyHash
}

// Run writes claims in groups and drops what has expired, until ctx ends.
// Before and after that, Begin lets no call run and Mint returns an error.
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

// initialize sets defaults for unset fields and creates the tables. Begin may
// be called before Run and must then use the same settings.
func (k *Keeper) initialize() {
	k.mu.Lock()
	defer k.mu.Unlock()
	setDefault(&k.KeyMemory, DefaultKeyMemory)
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

// mac returns the HMAC of the parts with the salt as its key. The length of
// each part precedes it, so that different parts never give the same input.
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

// Begin decides on one call. It waits for the store only if the key is a caller
// key that is not known here, and no longer than ClaimTimeout. An unused ticket
// waits for the end of a handover in progress.
func (k *Keeper) Begin(ctx context.Context, a KeyedCall) (Decision, error) {
	k.initOnce.Do(k.initialize)
	if a.Key == "" || (len(a.Key) > maxKeyLength && !IsTicket(a.Key)) {
		return Decision{}, errors.Wrapf(ErrKey, "begin: %s", k.Node)
	}
	if a.KeyMemory <= 0 {
		a.KeyMemory = k.KeyMemory
	}
	if IsTicket(a.Key) {
		return k.beginTicket(ctx, a), nil
	}
	if a.Region == "" {
		return Decision{}, errors.Wrapf(ErrRegion, "begin: %s", k.Node)
	}
	return k.beginCallerKey(ctx, a), nil
}

func (k *Keeper) keyHash(a KeyedCall) (h keyHash) {
	copy(h[:], k.mac("key", a.Workspace, a.Key))
	return h
}

// bodyHash includes the workspace, so that a caller from another workspace who
// obtains a ticket can't read the answer to it.
func (k *Keeper) bodyHash(a KeyedCall) (h bodyHash) {
	copy(h[:], k.mac("body", a.Workspace, a.Key, string(a.Body[:])))
	return h
}

func (k *Keeper) beginCallerKey(ctx context.Context, a KeyedCall) Decision {
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

// queueCallerKey decides at once on a caller key that is known here. Otherwise
// it queues its claim, or a lookup if the keeper is closed, and returns the
// item to wait for.
func (k *Keeper) queueCallerKey(ref callRef, hash bodyHash, a KeyedCall) (*item, Decision) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.running {
		return nil, k.unreadableDecision()
	}
	now := k.now()
	c := k.calls[ref]
	if c != nil && c.state == stateFinished && !now.Before(c.until) {
		k.forget(c)
		c = nil
	}
	if c != nil && (c.state != stateClaiming || c.body != hash) {
		return nil, k.decideByCall(c, hash)
	}
	if c != nil {
		c.item.waiters++
		return c.item, Decision{}
	}
	s := k.slotForKey(a.Region, ref.key)
	if s.rejecting(now) {
		d := k.unreadableDecision()
		d.RetryAfter = max(d.RetryAfter, s.retryAt.Sub(now))
		return nil, d
	}
	it := &item{kind: lookupItem, key: ref.key, keyMemory: a.KeyMemory, waiters: 1}
	if !k.closed {
		it.kind = claimItem
		rand.Read(it.id[:])
		it.call = &Call{k: k, ref: ref, body: hash, claim: it.id, slot: s, item: it, done: make(chan struct{}), state: stateClaiming}
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
