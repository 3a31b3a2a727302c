package jwmemory

import (
	"net/netip"
	"sync"
	"sync/atomic"
)

const (
	// incomingShare is the share of the process's memory that Incoming may use.
	incomingShare = 0.125
	// defaultIncomingBytes is the budget of a process without a limit on its memory.
	defaultIncomingBytes = 64 << 20
	// FreeBytes is what each answer may hold in any case.
	FreeBytes = 8 << 10
)

// IncomingBudget returns the budget for answers that can't be passed on yet of a process that may
// use the given number of bytes, 0 for no limit.
func IncomingBudget(process int64) int64 {
	if process <= 0 {
		return defaultIncomingBytes
	}
	return int64(incomingShare * float64(process))
}

// Incoming limits the bytes that are held of all answers together because they can't be passed on
// yet. What an answer holds beyond FreeBytes counts against the budget. When that is used up, the
// peer whose answers hold most loses the largest of them. Set Budget before use. It is safe for
// concurrent use; a nil Incoming has no limit.
type Incoming struct {
	Budget   int64
	OnGiveUp func() // called for each answer that is given up; may be nil

	mu    sync.Mutex
	total int64
	peers map[netip.AddrPort]*peerHoldings
}

// peerHoldings are the answers of one peer that hold more than FreeBytes.
type peerHoldings struct {
	total    int64
	holdings map[*Holding]struct{}
}

// Holding is what is held of one answer. Its methods may be called on nil. Set, TrySet and Release may
// be called by one goroutine at a time.
type Holding struct {
	in      *Incoming
	peer    netip.AddrPort
	giveUp  func()
	counted atomic.Bool // it was larger than FreeBytes once

	// guarded by in.mu
	bytes int64 // beyond FreeBytes
	lost  bool
}

// Hold returns the holding of an answer of a peer. giveUp is called once if the answer has to be given
// up, by whichever goroutine needs the memory.
func (in *Incoming) Hold(peer netip.AddrPort, giveUp func()) *Holding {
	if in == nil {
		return nil
	}
	return &Holding{in: in, peer: peer, giveUp: giveUp}
}

// Set sets the number of bytes held. It returns false if the answer is given up.
func (h *Holding) Set(n int64) bool {
	if h == nil {
		return true
	}
	if n <= FreeBytes && !h.counted.Load() {
		return true
	}
	h.counted.Store(true)
	victims, ok := h.in.set(h, max(n-FreeBytes, 0), true)
	for _, v := range victims {
		h.in.lose(v)
	}
	return ok
}

// TrySet sets the number of bytes held if the budget allows it, or else changes nothing and returns
// false. No other answer is given up.
func (h *Holding) TrySet(n int64) bool {
	if h == nil || n <= FreeBytes && !h.counted.Load() {
		return true
	}
	h.counted.Store(true)
	_, ok := h.in.set(h, max(n-FreeBytes, 0), false)
	return ok
}

// Release ends the holding. It returns false if the answer was given up.
func (h *Holding) Release() bool { return h.Set(0) }

// Lost reports whether the answer is given up.
func (h *Holding) Lost() bool {
	if h == nil || !h.counted.Load() {
		return false
	}
	h.in.mu.Lock()
	defer h.in.mu.Unlock()
	return h.lost
}

// set changes the number of bytes of a holding. It returns the answers to be given up for that, and
// whether the bytes may be held.
func (in *Incoming) set(h *Holding, n int64, evict bool) (victims []*Holding, ok bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if h.lost {
		return nil, false
	}
	grows := n > h.bytes
	if grows && !evict && in.total+n-h.bytes > in.Budget {
		return nil, false
	}
	in.move(h, n)
	for grows && in.total > in.Budget {
		v := in.largest()
		in.move(v, 0)
		v.lost = true
		victims = append(victims, v)
		if v == h {
			return victims, false
		}
	}
	return victims, true
}

// lose gives an answer up.
func (in *Incoming) lose(h *Holding) {
	if in.OnGiveUp != nil {
		in.OnGiveUp()
	}
	h.giveUp()
}

// move changes the number of bytes of a holding.
func (in *Incoming) move(h *Holding, n int64) {
	if n == h.bytes {
		return
	}
	p := in.peers[h.peer]
	if p == nil {
		if in.peers == nil {
			in.peers = make(map[netip.AddrPort]*peerHoldings)
		}
		p = &peerHoldings{holdings: make(map[*Holding]struct{})}
		in.peers[h.peer] = p
	}
	in.total += n - h.bytes
	p.total += n - h.bytes
	h.bytes = n
	if n > 0 {
		p.holdings[h] = struct{}{}
		return
	}
	delete(p.holdings, h)
	if len(p.holdings) == 0 {
		delete(in.peers, h.peer)
	}
}

// largest returns the largest holding of the peer that holds most. There must be one.
func (in *Incoming) largest() *Holding {
	var worst *peerHoldings
	for _, p := range in.peers {
		if worst == nil || p.total > worst.total {
			worst = p
		}
	}
	var largest *Holding
	for h := range worst.holdings {
		if largest == nil || h.bytes > largest.bytes {
			largest = h
		}
	}
	return largest
}

// Held returns the number of bytes held beyond FreeBytes for each answer.
func (in *Incoming) Held() int64 {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.total
}
