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
	defaultLossDelay = 200 * time.Millisecond
	dialTimeout      = 5 * time.Second
)

// OneWay names the direction of a link.
type OneWay string

// The directions of a link.
const (
	Forward OneWay = "forward" // from the caller to the dialled end
	Back    OneWay = "back"
)

// Weather is what a link does to what passes; the zero value is a perfect
// link. Lost segments of TCP come later, not never, so loss is a delay here.
type Weather struct {
	Delay     Duration `json:"delay"`     // one way
	Jitter    Duration `json:"jitter"`    // the most that is added to Delay, evenly drawn
	Loss      float64  `json:"loss"`      // share of chunks that LossDelay is added to
	LossDelay Duration `json:"lossDelay"` // 0 means 200ms
	Rate      int64    `json:"rate"`      // bytes a second each way, shared by all connections; 0 for no limit
	Cut       bool     `json:"cut"`       // refuses connections and has reset those that were open
	Hold      OneWay   `json:"hold"`      // bytes of this direction wait until it is lifted
	Silent    bool     `json:"silent"`    // setting it silences the connections open now, for good
	SilentNew bool     `json:"silentNew"` // new connections are silent too while it is set
}

// Link relays TCP connections from one address to another.
type Link struct {
	Name   string
	Listen netip.AddrPort // zero, or a port of 0, picks a free one of loopback
	Dial   netip.AddrPort
	Seed   uint64

	mu       sync.Mutex
	weather  Weather
	changed  chan struct{} // closed at the next change of weather
	random   *rand.Rand
	listener net.Listener
	conns    map[*relay]struct{}
	busy     map[OneWay]time.Time // when the last chunk under Rate has left
	passed   map[OneWay]uint64
}

// open listens for the first time.
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
	l.conns = make(map[*relay]struct{})
	l.busy = make(map[OneWay]time.Time)
	l.passed = make(map[OneWay]uint64)
	return nil
}

// Weather returns what the link does now.
func (l *Link) Weather() Weather {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.weather
}

// Passed returns the bytes that were delivered in a direction.
func (l *Link) Passed(way OneWay) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.passed[way]
}

// SetWeather changes what the link does from now on.
func (l *Link) SetWeather(weather Weather) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.weather = weather
	if l.changed == nil {
		return // not open yet
	}
	close(l.changed)
	l.changed = make(chan struct{})
	if weather.Silent {
		for r := range l.conns {
			r.silence()
		}
	}
	if !weather.Cut {
		return
	}
	if l.listener != nil {
		_ = l.listener.Close()
	}
	for r := range l.conns {
		r.reset()
	}
}

// run relays until the context ends.
func (l *Link) run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	stop := context.AfterFunc(ctx, l.close)
	defer stop()
	for ctx.Err() == nil {
		l.mu.Lock()
		listener, changed, cut := l.listener, l.changed, l.weather.Cut
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

func (l *Link) accept(ctx context.Context, listener net.Listener, wg *sync.WaitGroup) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			break // closed by a cut or the stop
		}
		wg.Go(func() { l.relay(ctx, conn) })
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listener = nil
}

func (l *Link) reopen(ctx context.Context) {
	listener, err := listen(l.Listen)
	if err != nil {
		_ = jwclock.Sleep(ctx, reopenPause)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.weather.Cut || ctx.Err() != nil {
		_ = listener.Close()
		return
	}
	l.listener = listener
}

func (l *Link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener != nil {
		_ = l.listener.Close()
	}
	for r := range l.conns {
		r.reset()
	}
}

// relay carries one connection until both directions have ended.
func (l *Link) relay(ctx context.Context, near net.Conn) {
	r := &relay{link: l, near: near, silenced: make(chan struct{}), ended: make(chan struct{})}
	if !l.add(ctx, r) {
		r.reset()
		return
	}
	defer l.remove(r)
	// The kernel here has answered the caller at once; a real handshake takes
	// one way there and one back before the first byte can leave.
	w := l.Weather()
	if jwclock.Sleep(ctx, 2*time.Duration(w.Delay)) != nil {
		r.reset()
		return
	}
	dialer := &net.Dialer{Timeout: dialTimeout}
	far, err := dialer.DialContext(ctx, "tcp", l.Dial.String())
	if err != nil {
		r.reset()
		return
	}
	if !r.join(far) {
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { r.carry(Forward, near, far) })
	wg.Go(func() { r.carry(Back, far, near) })
	wg.Wait()
	r.end(false)
}

func (l *Link) add(ctx context.Context, r *relay) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.weather.Cut || ctx.Err() != nil {
		return false
	}
	l.conns[r] = struct{}{}
	if l.weather.SilentNew {
		r.silence()
	}
	return true
}

func (l *Link) remove(r *relay) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, r)
}

// due returns when a chunk that comes now is delivered; before is when the
// chunk ahead of it is, since TCP keeps the order.
func (l *Link) due(way OneWay, size int, before time.Time) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.weather
	at := time.Now()
	if w.Rate > 0 {
		at = latest(at, l.busy[way]).Add(time.Duration(float64(size) / float64(w.Rate) * float64(time.Second)))
		l.busy[way] = at
	}
	at = at.Add(time.Duration(w.Delay))
	if w.Jitter > 0 {
		at = at.Add(time.Duration(l.random.Int64N(int64(w.Jitter))))
	}
	if w.Loss > 0 && l.random.Float64() < w.Loss {
		late := time.Duration(w.LossDelay)
		if late == 0 {
			late = defaultLossDelay
		}
		at = at.Add(late)
	}
	return latest(at, before)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (l *Link) count(way OneWay, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.passed[way] += uint64(n)
}
