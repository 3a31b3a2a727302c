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
	// bytesPerToken turns a prompt's length into tokens.
	bytesPerToken = 4
	// blockTokens is the smallest piece of a prompt that the cache holds.
	blockTokens = 16
)

// Engine models a model engine that batches continuously: each request holds
// a slot from its prefill to its last token, and a token takes longer the more
// slots are held. All times are those of the model, kept by sleeping.
type Engine struct {
	Slots       int           // requests in one batch; 0 means 8
	MaxWaiting  int           // requests that may queue; 0 means 256
	Token       time.Duration // time of one token of a lone request
	Growth      float64       // share of Token that each further request of the batch adds
	Prefill     time.Duration // time of one prompt token that is not in the cache
	CacheTokens int           // prompt tokens the prefix cache holds; 0 means none
	Lag         time.Duration // age of the load report

	mu      sync.Mutex
	running int
	waiting waitQueue
	lastArrival uint64
	cache   prefixCache
	reports []Report
	totals   Totals
	timeFactor    float64 // factor on all times, 0 means 1
	heldSlots    int     // slots held since changed
	heldSince time.Time
}

// Report is the load of an engine at one moment.
type Report struct {
	Taken    time.Time
	Running  int
	Waiting  int
	Slots    int
	CacheUse float64       // share of the prefix cache in use
	Token    time.Duration // time between tokens at this batch
}

// Totals count the work of an engine since its start.
type Totals struct {
	Requests     uint64
	PromptTokens uint64
	CachedTokens uint64 // prompt tokens that were found in the cache
	Generated    uint64
	Requested        uint64        // tokens that the requests which got a slot asked for
	SlotTime         time.Duration // time of all slots together that was held by requests
}

// AcquireSlot waits for a slot, most urgent first (0 to 7) and oldest first among
// equals. It returns false when the queue is full or the context has ended;
// after true, Leave must be called once.
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
		e.releaseSlot() // the slot came at the same moment
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

func (e *Engine) releaseSlot() {
	e.running--
	for e.running < e.slots() && len(e.waiting) > 0 {
		w := heap.Pop(&e.waiting).(*waiter)
		e.running++
		close(w.admitted)
	}
	e.recordReport()
}

// PrefillPrompt spends the prefill of a prompt and returns how many of its tokens
// were cached.
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

// SetTimeFactor multiplies all times from now on; reports do not show it. 0 means 1.
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

// countAsked counts the tokens that a request asks for.
func (e *Engine) countAsked(tokens int) {
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

// Report returns the load as it was before the lag.
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

func (e *Engine) tokenTime() time.Duration {
	return e.Token + time.Duration(float64(e.Token)*e.Growth*float64(max(e.running-1, 0)))
}

// recordReport keeps the load of this moment for reports to come.
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

// prune drops reports that a newer one, itself old enough, has replaced.
func (e *Engine) prune(now time.Time) {
	for len(e.reports) > 1 && now.Sub(e.reports[1].Taken) >= e.Lag {
		e.reports = e.reports[1:]
	}
}

// waiter is one request that has no slot yet.
type waiter struct {
	urgency  int
	arrival  uint64
	admitted chan struct{}
	index    int // place in the queue, -1 once admitted
}

// waitQueue orders waiters by urgency, then arrival.
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

// prefixCache holds the hashes of prompt beginnings, the least recently used
// dropped first.
type prefixCache struct {
	blocks map[uint64]*list.Element
	order  list.List // most recently used first; values are hashes
}

func (c *prefixCache) len() int { return len(c.blocks) }

// use returns how many whole blocks at the start of a prompt were cached and
// caches all of its blocks, up to most in the cache.
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
