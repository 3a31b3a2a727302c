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

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"jujubewheel/core/jwrequest"
	"jujubewheel/core/jwstore"
)

// Verdict tells what to do with a call that has a key.
type Verdict string

// The verdicts on a call.
const (
	Run       Verdict = "run"       // this node alone may dispatch Decision.Call
	Join      Verdict = "join"      // the key is in flight here: wait for Decision.Call
	Replay    Verdict = "replay"    // Decision.Answer is the answer to the first call
	Elsewhere Verdict = "elsewhere" // ask Decision.Holder; if it is gone, unknown
	Mismatch  Verdict = "mismatch"  // the key came with another body before
	Unknown   Verdict = "unknown"   // the key may have run and never runs again
	NotRun    Verdict = "notRun"    // neither this call nor an earlier one of the key ran
	Unread    Verdict = "unread"    // this call was not run; an earlier one of the key may have
	Refused   Verdict = "refused"   // a ticket that no node minted
)

// Defaults and limits of a Keeper.
const (
	DefaultMemory       = time.Hour
	DefaultGroupWindow  = 100 * time.Millisecond
	DefaultClaimWait    = 2 * time.Second
	DefaultStoreTimeout = 2 * time.Second
	DefaultSkew         = 30 * time.Second
	DefaultSlots        = 4
	DefaultSegmentRows  = 64
	DefaultAnswerBytes  = 32 << 20
	DefaultSweep        = 5 * time.Minute
	DefaultRetryAfter   = time.Second

	keyMax       = 255 // bytes of an own key
	callOverhead = 400 // bytes counted for a kept call besides its answer
)

// The errors of Begin; compare with errors.Is.
var (
	ErrKey    = errors.New("key empty or too long")
	ErrRegion = errors.New("no home region")
)

// Peers tells which nodes of a region serve.
type Peers interface {
	Serving(region string) []string
}

// Ask is one call with a key.
type Ask struct {
	Workspace string
	Region    string // home region of the workspace, where its keys are claimed
	Key       string // idempotency key or ticket
	Body      [sha256.Size]byte
	Memory    time.Duration // how long the key is remembered, 0 for Keeper.Memory
}

// Decision is the answer to an Ask.
type Decision struct {
	Verdict    Verdict
	Call       *Call  // for Run and Join
	Answer     Answer // for Replay
	Holder     Holder // for Elsewhere
	RetryAfter time.Duration
}

// Counts are running totals of a keeper since its start.
type Counts struct {
	Claims            uint64 // own keys claimed for a call
	Tickets           uint64 // tickets run
	Releases          uint64 // calls given back as not run
	Unknowns          uint64 // verdicts and calls that ended unknown
	Unreads           uint64 // own keys turned away unread
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

	Memory       time.Duration // of keys whose Ask names none, and of adopted tickets
	GroupWindow  time.Duration // least time between two writes of a slot
	ClaimWait    time.Duration // longest wait of a call for its claim
	StoreTimeout time.Duration // longest wait for one call of the store
	Skew         time.Duration // most by which the clocks of two nodes differ
	Sweep        time.Duration // between two searches for what has expired
	RetryAfter   time.Duration // advice to callers turned away
	Slots        int           // logs a region; the same on all nodes, fixed for good
	SegmentRows  int           // rows after which a segment is sealed
	AnswerBytes  int           // most bytes of kept answers
	Now          func() time.Time

	mu           sync.Mutex
	running      bool
	closed       bool
	ctx          context.Context // of Run, for the goroutines of slots
	workers      sync.WaitGroup
	ticketSecret []byte
	slots        map[string]*slot
	calls        map[callRef]*Call // in flight or kept
	claims       map[claimID]*Call // of calls, those with an own key
	kept         list.List         // of *Call, oldest answer first
	tickets      serials
	adopted      map[string]*adoption // by incarnation
	moved        map[string]move      // by incarnation
	handing      handing
	counts       Counts
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
	t := time.NewTicker(k.Sweep)
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
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.Store == nil || k.Node == "" || k.Region == "" || k.Incarnation == "" || len(k.Salt) == 0 {
		return errors.New("run claims: store, node, region, incarnation and salt must be set")
	}
	setDefault(&k.Memory, DefaultMemory)
	setDefault(&k.GroupWindow, DefaultGroupWindow)
	setDefault(&k.ClaimWait, DefaultClaimWait)
	setDefault(&k.StoreTimeout, DefaultStoreTimeout)
	setDefault(&k.Skew, DefaultSkew)
	setDefault(&k.Sweep, DefaultSweep)
	setDefault(&k.RetryAfter, DefaultRetryAfter)
	setDefault(&k.Slots, DefaultSlots)
	setDefault(&k.SegmentRows, DefaultSegmentRows)
	setDefault(&k.AnswerBytes, DefaultAnswerBytes)
	k.ticketSecret = k.mac("ticket")
	k.slots = map[string]*slot{}
	k.calls = map[callRef]*Call{}
	k.claims = map[claimID]*Call{}
	k.adopted = map[string]*adoption{}
	k.moved = map[string]move{}
	k.tickets.runnable = true
	k.ctx = ctx
	k.running = true
	return nil
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
	if a.Key == "" || (len(a.Key) > keyMax && !IsTicket(a.Key)) {
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
	return k.beginOwn(ctx, a), nil
}

func (k *Keeper) keyHash(a Ask) (h keyHash) {
	copy(h[:], k.mac("key", a.Workspace, a.Key))
	return h
}

// bodyMark covers the workspace too, so that a ticket that falls into other
// hands brings nobody the answer of someone else.
func (k *Keeper) bodyMark(a Ask) (m bodyMark) {
	copy(m[:], k.mac("body", a.Workspace, a.Key, string(a.Body[:])))
	return m
}

func (k *Keeper) beginOwn(ctx context.Context, a Ask) Decision {
	ref := callRef{key: k.keyHash(a)}
	mark := k.bodyMark(a)
	it, d := k.queueOwn(ref, mark, a)
	if it == nil {
		return d
	}
	t := time.NewTimer(k.ClaimWait)
	defer t.Stop()
	select {
	case <-it.done:
	case <-ctx.Done():
	case <-t.C:
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.outcome(it, mark)
}

// queueOwn decides on an own key at once if it is known here, and otherwise
// queues its claim and returns the item to wait for.
func (k *Keeper) queueOwn(ref callRef, mark bodyMark, a Ask) (*item, Decision) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.running {
		return nil, k.unread()
	}
	now := k.now()
	c := k.calls[ref]
	if c != nil && c.state == finished && !now.Before(c.until) {
		k.forget(c)
		c = nil
	}
	if c != nil && (c.state != claiming || c.body != mark) {
		return nil, k.known(c, mark)
	}
	if c != nil {
		c.item.waiters++
		return c.item, Decision{}
	}
	s := k.slotOf(a.Region, ref.key)
	if s.down(now) {
		d := k.unread()
		d.RetryAfter = max(d.RetryAfter, s.retryAt.Sub(now))
		return nil, d
	}
	it := &item{kind: lookItem, key: ref.key, memory: a.Memory, waiters: 1}
	if !k.closed {
		it.kind = claimItem
		rand.Read(it.id[:])
		it.call = &Call{k: k, ref: ref, body: mark, claim: it.id, slot: s, item: it, done: make(chan struct{}), state: claiming}
		k.calls[ref] = it.call
		k.claims[it.id] = it.call
	}
	s.add(it)
	return it, Decision{}
}

// outcome is the verdict of an item, resolved or given up; k.mu is held.
func (k *Keeper) outcome(it *item, mark bodyMark) Decision {
	switch it.result {
	case won:
		if it.taken || it.call.state != held {
			return k.known(it.call, mark)
		}
		it.taken = true
		return Decision{Verdict: Run, Call: it.call}
	case occupied:
		return k.byClaim(it.other, mark)
	case free:
		return k.notRun()
	case unread:
		return k.unread()
	}
	it.waiters--
	return k.unread()
}

// byClaim is the verdict on a key that another claim holds; k.mu is held.
func (k *Keeper) byClaim(other claimed, mark bodyMark) Decision {
	if other.body != mark {
		return Decision{Verdict: Mismatch}
	}
	if c := k.claims[other.id]; c != nil {
		return k.known(c, mark)
	}
	if other.holder.Incarnation == k.Incarnation || k.adopted[other.holder.Incarnation] != nil {
		return k.unknown()
	}
	return k.elsewhere(*other.holder)
}

// known is the verdict on a call that is in memory; k.mu is held.
func (k *Keeper) known(c *Call, mark bodyMark) Decision {
	if c.body != mark {
		return Decision{Verdict: Mismatch}
	}
	switch c.state {
	case finished:
		return Decision{Verdict: Replay, Answer: c.answer}
	case claiming, held, dispatched:
		return Decision{Verdict: Join, Call: c}
	case released:
		return k.notRun()
	}
	return k.unknown()
}

func (k *Keeper) beginTicket(ctx context.Context, a Ask) Decision {
	t, err := k.ParseTicket(a.Key)
	if err != nil {
		return Decision{Verdict: Refused}
	}
	mark := k.bodyMark(a)
	for {
		d, wait := k.tryTicket(t, mark, a.Memory)
		if wait == nil {
			return d
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return k.unknownTicket()
		}
	}
}

// tryTicket decides on a ticket, or returns what has to end first.
func (k *Keeper) tryTicket(t Ticket, mark bodyMark, memory time.Duration) (Decision, <-chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.running {
		return k.unknown(), nil
	}
	s := k.serialsOf(t.Incarnation)
	if s == nil {
		return k.elsewhere(t.Holder), nil
	}
	if t.Serial > s.minted {
		return Decision{Verdict: Refused}, nil
	}
	ref := callRef{incarnation: t.Incarnation, serial: t.Serial}
	if c := k.calls[ref]; c != nil {
		return k.known(c, mark), nil
	}
	if s.isUsed(t.Serial) {
		return k.unknown(), nil
	}
	if k.closed {
		return k.closedTicket(s)
	}
	if !s.runnable {
		return k.unknown(), nil
	}
	s.set(t.Serial)
	c := &Call{k: k, ref: ref, body: mark, until: k.now().Add(memory), done: make(chan struct{}), state: held}
	k.calls[ref] = c
	k.counts.Tickets++
	return Decision{Verdict: Run, Call: c}, nil
}

func (k *Keeper) serialsOf(incarnation string) *serials {
	if incarnation == k.Incarnation {
		return &k.tickets
	}
	if a := k.adopted[incarnation]; a != nil {
		return &a.serials
	}
	return nil
}

// Preferred names the node of a region to which the calls of a key are best
// sent, so that its slot has one writer; empty when none is known. Any other
// node decides as rightly, at the cost of lost swaps.
func (k *Keeper) Preferred(a Ask) string {
	if k.Peers == nil {
		return ""
	}
	return preferred(slotPrefix(a.Region, k.slotNumber(k.keyHash(a))), k.Peers.Serving(a.Region))
}

// preferred is the node with the highest hash for the slot, so that few slots
// move when nodes come and go.
func preferred(prefix string, nodes []string) string {
	var best string
	var most uint64
	for _, n := range nodes {
		h := xxhash.Sum64String(prefix + "\x00" + n)
		if best == "" || h > most || (h == most && n < best) {
			best, most = n, h
		}
	}
	return best
}

func (k *Keeper) slotNumber(h keyHash) int {
	return int(binary.BigEndian.Uint64(h[:]) % uint64(max(k.Slots, 1)))
}

func (k *Keeper) slotOf(region string, h keyHash) *slot {
	return k.slotAt(slotPrefix(region, k.slotNumber(h)))
}

func (k *Keeper) slotAt(prefix string) *slot {
	s := k.slots[prefix]
	if s == nil {
		s = &slot{k: k, prefix: prefix, view: view{prefix: prefix}}
		k.slots[prefix] = s
	}
	return s
}

// keep holds a finished call for those who ask again, and evicts the oldest
// answers past AnswerBytes; k.mu is held.
func (k *Keeper) keep(c *Call) {
	c.size = callOverhead + len(c.answer.Body) + len(c.answer.ContentType)
	k.counts.AnswerBytes += uint64(c.size)
	c.element = k.kept.PushBack(c)
	for k.counts.AnswerBytes > uint64(k.AnswerBytes) {
		k.counts.Evicted++
		k.forget(k.kept.Front().Value.(*Call))
	}
}

// forget takes a call out of memory. Its ticket stays used and its claim stays
// in the log, so that the key is unknown from now on; k.mu is held.
func (k *Keeper) forget(c *Call) {
	if c.element != nil {
		k.kept.Remove(c.element)
		k.counts.AnswerBytes -= uint64(c.size)
		c.element = nil
	}
	k.drop(c)
}

// drop takes a call out of the tables; k.mu is held.
func (k *Keeper) drop(c *Call) {
	if k.calls[c.ref] == c {
		delete(k.calls, c.ref)
	}
	if k.claims[c.claim] == c {
		delete(k.claims, c.claim)
	}
}

// giveBack frees the key of a call that was certainly not run; k.mu is held.
func (k *Keeper) giveBack(c *Call) {
	k.counts.Releases++
	k.drop(c)
	if c.slot != nil {
		c.slot.add(&item{kind: releaseItem, id: c.claim, key: c.ref.key})
		return
	}
	if s := k.serialsOf(c.ref.incarnation); s != nil {
		s.clear(c.ref.serial)
	}
}

// expire forgets what is past its memory and has the slots that are this
// node's to tend look for segments to delete.
func (k *Keeper) expire() {
	var nodes []string
	if k.Peers != nil {
		nodes = k.Peers.Serving(k.Region)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	for e := k.kept.Front(); e != nil; {
		c := e.Value.(*Call)
		e = e.Next()
		if !now.Before(c.until) {
			k.forget(c)
		}
	}
	k.expireMoves(now)
	for n := range k.Slots {
		prefix := slotPrefix(k.Region, n)
		if len(nodes) == 0 || preferred(prefix, nodes) == k.Node {
			s := k.slotAt(prefix)
			s.sweep = true
			s.used = now
			s.kick()
		}
	}
	for prefix, s := range k.slots {
		if !s.busy && now.Sub(s.used) > 2*k.Sweep {
			delete(k.slots, prefix)
		}
	}
}

// Counts returns the totals so far.
func (k *Keeper) Counts() Counts {
	k.mu.Lock()
	defer k.mu.Unlock()
	n := k.counts
	n.Calls = uint64(k.inFlight())
	return n
}

func (k *Keeper) inFlight() int {
	return len(k.calls) - k.kept.Len()
}

func (k *Keeper) notRun() Decision {
	return Decision{Verdict: NotRun, RetryAfter: k.RetryAfter}
}

func (k *Keeper) unread() Decision {
	k.counts.Unreads++
	return Decision{Verdict: Unread, RetryAfter: k.RetryAfter}
}

func (k *Keeper) unknown() Decision {
	k.counts.Unknowns++
	return Decision{Verdict: Unknown}
}

func notRunAnswer() Answer {
	return Answer{Outcome: jwrequest.NotRun}
}
