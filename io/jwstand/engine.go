package jwstand

import (
	"container/heap"
	"container/list"
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"jujubewheel/core/jwclock"
)

const (
	// bytesPerToken converts the length of a prompt to tokens.
	bytesPerToken = 4
	// blockTokens is the number of prompt tokens in one block of the prefix cache.
	blockTokens = 16
)

// Engine simulates a model engine with continuous batching. Each request holds
// a slot from its prefill to its last token, and a token takes longer the more
// slots are held. The simulated times are spent by sleeping.
type Engine struct {
	Slots       int           // maximum number of requests in the batch; 0 means 8
	MaxWaiting  int           // maximum number of queued requests; 0 means 256
	Token       time.Duration // time of one token for a request that is alone in the batch
	Growth      float64       // share of Token that each further request in the batch adds
	Prefill     time.Duration // time of one prompt token that is not in the cache
	CacheTokens int           // capacity of the prefix cache in prompt tokens; 0 means no cache
	Lag         time.Duration // age of the load report

	mu          sync.Mutex
	running     int
	waiting     waitQueue
	lastArrival uint64 // number of the newest queued request
	cache       prefixCache
	reports     []Report // oldest first; the first one is what Report returns
	totals      Totals
	timeFactor  float64 // multiplies all times; 0 means 1
	heldSlots   int     // slots held since heldSince
	heldSince   time.Time
}

// Report is the load of an engine at one moment.
type Report struct {
	Taken    time.Time     // when the load was measured
	Running  int           // requests that hold a slot
	Waiting  int           // requests in the queue
	Slots    int           // maximum of Running
	CacheUse float64       // share of the prefix cache that is in use
	Token    time.Duration // time between tokens at this batch size
}

// Totals counts the work of an engine since its start.
type Totals struct {
	Requests     uint64        // requests whose prefill began
	PromptTokens uint64        // tokens of all prompts
	CachedTokens uint64        // prompt tokens that were in the cache
	Generated    uint64        // generated tokens
	Requested    uint64        // tokens requested by the requests that got a slot
	SlotTime     time.Duration // sum over all slots of the time in which a request held them
}

// AcquireSlot waits for a slot. The most urgent request (0 is most urgent, 7
// least) gets the next one, and among equals the oldest. It returns false if
// the queue is full or the context ends. After true, the caller must call
// ReleaseSlot once.
func (e *Engine) AcquireSlot(ctx context.Context, urgency int) bool {
	e.mu.Lock()
	if e.running < e.slots() && len(e.waiting) == 0 {
		e.running++
		e.recordReport()
		e.mu.Unlock()
		return true
	}
	limit := e.MaxWaiting
	if limit == 0 {
		limit = 256
	}
	if len(e.waiting) >= limit {
		e.mu.Unlock()
		return false
	}
	e.lastArrival++
	w := &waiter{urgency: urgency, arrival: e.lastArrival, admitted: make(chan struct{})}
	heap.Push(&e.waiting, w)
	e.recordReport()
	e.mu.Unlock()
	select {
	case <-w.admitted:
		return true
	case <-ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if w.index < 0 {
		e.releaseSlot() // the slot was granted as the context ended
		return false
	}
	heap.Remove(&e.waiting, w.index)
	e.recordReport()
	return false
}

// ReleaseSlot gives the slot back.
func (e *Engine) ReleaseSlot() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.releaseSlot()
}

// releaseSlot gives a slot back and admits waiting requests. The caller holds
// e.mu.
func (e *Engine) releaseSlot() {
	e.running--
	for e.running < e.slots() && len(e.waiting) > 0 {
		w := heap.Pop(&e.waiting).(*waiter)
		e.running++
		close(w.admitted)
	}
	e.recordReport()
}

// PrefillPrompt spends the prefill time of a prompt. It returns the number of
// its tokens and how many of them were cached.
func (e *Engine) PrefillPrompt(ctx context.Context, prompt string) (tokens, cached int, err error) {
	tokens = len(prompt)/bytesPerToken + 1
	e.mu.Lock()
	cached = min(e.cache.use(prompt, e.CacheTokens/blockTokens)*blockTokens, tokens)
	e.totals.Requests++
	e.totals.PromptTokens += uint64(tokens)
	e.totals.CachedTokens += uint64(cached)
	prefill := time.Duration(tokens-cached) * e.Prefill
	if e.timeFactor > 0 {
		prefill = time.Duration(float64(prefill) * e.timeFactor)
	}
	e.recordReport()
	e.mu.Unlock()
	return tokens, cached, jwclock.Sleep(ctx, prefill)
}

// SetTimeFactor multiplies all times from now on. Reports don't show it. 0
// means 1.
func (e *Engine) SetTimeFactor(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.timeFactor = factor
}

// ClearCache empties the prefix cache, as a restart does.
func (e *Engine) ClearCache() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache = prefixCache{}
}

// Totals returns the work up to now, without the lag of reports.
func (e *Engine) Totals() Totals {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recordReport()
	return e.totals
}

// countRequested adds the tokens that a request asks for to the totals.
func (e *Engine) countRequested(tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.totals.Requested += uint64(max(tokens, 0))
}

// GenerateToken spends the time of one token.
func (e *Engine) GenerateToken(ctx context.Context) error {
	e.mu.Lock()
	d := e.tokenTime()
	if e.timeFactor > 0 {
		d = time.Duration(float64(d) * e.timeFactor)
	}
	e.totals.Generated++
	e.mu.Unlock()
	return jwclock.Sleep(ctx, d)
}

// Report returns the load as it was Lag ago, and the totals of now.
func (e *Engine) Report() (Report, Totals) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.reports) == 0 {
		e.recordReport()
	}
	e.prune(time.Now())
	return e.reports[0], e.totals
}

func (e *Engine) slots() int {
	if e.Slots == 0 {
		return 8
	}
	return e.Slots
}

// tokenTime returns the time of one token at the present batch size.
func (e *Engine) tokenTime() time.Duration {
	return e.Token + time.Duration(float64(e.Token)*e.Growth*float64(max(e.running-1, 0)))
}

// recordReport stores the present load for later reports and adds the slot time
// since the last change. The caller holds e.mu.
func (e *Engine) recordReport() {
	now := time.Now()
	e.totals.SlotTime += time.Duration(e.heldSlots) * now.Sub(e.heldSince)
	e.heldSlots, e.heldSince = e.running, now
	e.prune(now)
	r := Report{Taken: now, Running: e.running, Waiting: len(e.waiting), Slots: e.slots(), Token: e.tokenTime()}
	if e.CacheTokens > 0 {
		r.CacheUse = float64(e.cache.len()*blockTokens) / float64(e.CacheTokens)
	}
	e.reports = append(e.reports, r)
}

// prune drops the reports that precede the newest one with an age of at least
// Lag.
func (e *Engine) prune(now time.Time) {
	for len(e.reports) > 1 && now.Sub(e.reports[1].Taken) >= e.Lag {
		e.reports = e.reports[1:]
	}
}

// waiter is one request that waits for a slot.
type waiter struct {
	urgency  int
	arrival  uint64
	admitted chan struct{}
	index    int // position in the queue; -1 once admitted
}

// waitQueue is a heap of waiters, ordered by urgency, then by arrival.
type waitQueue []*waiter

// Len implements sort.Interface.
func (q waitQueue) Len() int { return len(q) }

// Less implements sort.Interface.
func (q waitQueue) Less(i, j int) bool {
	if q[i].urgency != q[j].urgency {
		return q[i].urgency < q[j].urgency
	}
	return q[i].arrival < q[j].arrival
}

// Swap implements sort.Interface.
func (q waitQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push implements heap.Interface.
func (q *waitQueue) Push(x any) {
	w := x.(*waiter)
	w.index = len(*q)
	*q = append(*q, w)
}

// Pop implements heap.Interface.
func (q *waitQueue) Pop() any {
	last := len(*q) - 1
	w := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	w.index = -1
	return w
}

// prefixCache is an LRU cache of the hashes of prompt prefixes.
type prefixCache struct {
	blocks map[uint64]*list.Element
	order  list.List // most recently used first; values are hashes
}

func (c *prefixCache) len() int { return len(c.blocks) }

// use returns how many whole blocks at the start of a prompt were cached. It
// then caches all whole blocks of the prompt, and evicts the least recently
// used ones above maxBlocks.
func (c *prefixCache) use(prompt string, maxBlocks int) (found int) {
	if maxBlocks <= 0 {
		return 0
	}
	if c.blocks == nil {
		c.blocks = make(map[uint64]*list.Element)
	}
	const size = blockTokens * bytesPerToken
	digest := xxhash.New()
	prefixCached := true
	for n := 0; n+size <= len(prompt); n += size {
		_, _ = digest.WriteString(prompt[n : n+size]) // never fails
		sum := digest.Sum64()
		element, cached := c.blocks[sum]
		if !cached {
			prefixCached = false
			c.blocks[sum] = c.order.PushFront(sum)
			continue
		}
		c.order.MoveToFront(element)
		if prefixCached {
			found++
		}
	}
	for len(c.blocks) > maxBlocks {
		oldest := c.order.Back()
		delete(c.blocks, oldest.Value.(uint64))
		c.order.Remove(oldest)
	}
	return found
}
