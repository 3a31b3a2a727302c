package jwstand

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"jujubewheel/core/jwclock"
)

const (
	defaultLossDelay = 200 * time.Millisecond // of a lost chunk if Conditions.LossDelay is 0
	dialTimeout      = 5 * time.Second        // for a connection to Link.Dial
)

// Direction is a direction of a link.
type Direction string

// The directions of a link.
const (
	Forward Direction = "forward" // from the caller to the dialled address
	Back    Direction = "back"    // from the dialled address to the caller
)

// Conditions is the simulated condition of a link. The zero value is a perfect
// link. TCP retransmits lost segments, so a loss only delays bytes here.
type Conditions struct {
	Delay     Duration  `json:"delay"`     // one way
	Jitter    Duration  `json:"jitter"`    // maximum that is added to Delay, uniformly distributed
	Loss      float64   `json:"loss"`      // share of the chunks that are delayed by LossDelay
	LossDelay Duration  `json:"lossDelay"` // 0 means 200ms
	Rate      int64     `json:"rate"`      // bytes per second in each direction, shared by all connections; 0 means no limit
	Cut       bool      `json:"cut"`       // connections are refused; setting it resets the open ones
	Hold      Direction `json:"hold"`      // bytes in this direction wait until it is unset
	Silent    bool      `json:"silent"`    // setting it silences the connections open now until they are closed
	SilentNew bool      `json:"silentNew"` // while it is set, new connections are silenced too
}

// Link relays TCP connections from one address to another.
type Link struct {
	Name   string         // name of the link on the control port
	Listen netip.AddrPort // if zero, or with port 0, a free loopback port is picked
	Dial   netip.AddrPort // address to which connections are relayed
	Seed   uint64         // of the random numbers for Jitter and Loss

	mu         sync.Mutex
	conditions Conditions
	changed    chan struct{} // closed at the next change of conditions
	random     *rand.Rand
	listener   net.Listener // nil while the link is cut
	relays     map[*relay]struct{}
	rateFreeAt map[Direction]time.Time // when the last chunk under Rate has been sent
	passed     map[Direction]uint64    // bytes delivered
}

// open initializes the link and starts to listen.
func (l *Link) open() error {
	listener, err := listen(l.Listen)
	if err != nil {
		return errors.Wrapf(err, "link %s: listen: %s", l.Name, l.Listen)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Listen = addressOf(listener)
	l.listener = listener
	l.changed = make(chan struct{})
	l.random = rand.New(rand.NewPCG(l.Seed, l.Seed))
	l.relays = make(map[*relay]struct{})
	l.rateFreeAt = make(map[Direction]time.Time)
	l.passed = make(map[Direction]uint64)
	return nil
}

// Conditions returns the present condition of the link.
func (l *Link) Conditions() Conditions {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conditions
}

// Passed returns the number of bytes delivered in a direction.
func (l *Link) Passed(direction Direction) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.passed[direction]
}

// SetConditions changes the condition of the link from now on.
func (l *Link) SetConditions(conditions Conditions) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conditions = conditions
	if l.changed == nil {
		return // not open yet
	}
	close(l.changed)
	l.changed = make(chan struct{})
	if conditions.Silent {
		for r := range l.relays {
			r.silence()
		}
	}
	if !conditions.Cut {
		return
	}
	if l.listener != nil {
		_ = l.listener.Close()
	}
	for r := range l.relays {
		r.reset()
	}
}

// run relays connections until the context ends.
func (l *Link) run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	stop := context.AfterFunc(ctx, l.close)
	defer stop()
	for ctx.Err() == nil {
		l.mu.Lock()
		listener, changed, cut := l.listener, l.changed, l.conditions.Cut
		l.mu.Unlock()
		if listener != nil {
			l.accept(ctx, listener, &wg)
			continue
		}
		if !cut {
			l.reopen(ctx)
			continue
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// accept relays the connections of one listener until it is closed.
func (l *Link) accept(ctx context.Context, listener net.Listener, wg *sync.WaitGroup) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			break // closed by a cut or by the shutdown
		}
		wg.Go(func() { l.relay(ctx, conn) })
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listener = nil
}

// reopen listens again after a cut. If the port is still busy, it pauses and
// returns, and the caller tries again.
func (l *Link) reopen(ctx context.Context) {
	listener, err := listen(l.Listen)
	if err != nil {
		_ = jwclock.Sleep(ctx, reopenRetryDelay)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conditions.Cut || ctx.Err() != nil {
		_ = listener.Close()
		return
	}
	l.listener = listener
}

// close stops listening and resets all connections.
func (l *Link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener != nil {
		_ = l.listener.Close()
	}
	for r := range l.relays {
		r.reset()
	}
}

// relay relays one connection until both directions have ended.
func (l *Link) relay(ctx context.Context, client net.Conn) {
	r := &relay{link: l, client: client, silenced: make(chan struct{}), ended: make(chan struct{})}
	if !l.add(ctx, r) {
		r.reset()
		return
	}
	defer l.remove(r)
	// The kernel has already accepted the caller's connection. A real handshake
	// takes a full round trip before the first byte can be sent.
	w := l.Conditions()
	if jwclock.Sleep(ctx, 2*time.Duration(w.Delay)) != nil {
		r.reset()
		return
	}
	dialer := &net.Dialer{Timeout: dialTimeout}
	server, err := dialer.DialContext(ctx, "tcp", l.Dial.String())
	if err != nil {
		r.reset()
		return
	}
	if !r.setServer(server) {
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { r.forward(Forward, client, server) })
	wg.Go(func() { r.forward(Back, server, client) })
	wg.Wait()
	r.closeConns(false)
}

// add registers a relay. It returns false if the link is cut or stopped.
func (l *Link) add(ctx context.Context, r *relay) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conditions.Cut || ctx.Err() != nil {
		return false
	}
	l.relays[r] = struct{}{}
	if l.conditions.SilentNew {
		r.silence()
	}
	return true
}

func (l *Link) remove(r *relay) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.relays, r)
}

// deliveryTime returns when a chunk that arrives now is delivered. It is never
// before previous, the delivery time of the chunk ahead, since TCP keeps the
// order of bytes.
func (l *Link) deliveryTime(direction Direction, size int, previous time.Time) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.conditions
	delivery := time.Now()
	if w.Rate > 0 {
		delivery = laterOf(delivery, l.rateFreeAt[direction]).Add(time.Duration(float64(size) / float64(w.Rate) * float64(time.Second)))
		l.rateFreeAt[direction] = delivery
	}
	delivery = delivery.Add(time.Duration(w.Delay))
	if w.Jitter > 0 {
		delivery = delivery.Add(time.Duration(l.random.Int64N(int64(w.Jitter))))
	}
	if w.Loss > 0 && l.random.Float64() < w.Loss {
		lossDelay := time.Duration(w.LossDelay)
		if lossDelay == 0 {
			lossDelay = defaultLossDelay
		}
		delivery = delivery.Add(lossDelay)
	}
	return laterOf(delivery, previous)
}

// laterOf returns the later of two times.
func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// countPassed adds n delivered bytes.
func (l *Link) countPassed(direction Direction, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.passed[direction] += uint64(n)
}
