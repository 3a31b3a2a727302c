package jwdrain

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"jujubewheel/core/jwclaim"
)

// State is the progress of a node's stop.
type State string

// The states of a stop, in order.
const (
	Serving    State = "serving"    // no stop has begun
	Leaving    State = "leaving"    // no new calls are admitted, those in flight go on
	HandedOver State = "handedOver" // a successor answers requests with this node's keys
	Gone       State = "gone"       // the stop is complete and the process may end
)

// Default durations of a Drain, used for fields that are not set.
const (
	DefaultFlushTimeout    = 10 * time.Second
	DefaultHandoverTimeout = 10 * time.Second
	DefaultLinger          = 5 * time.Second
)

// ErrNoSuccessor is returned by Run when no node took the keys over. The outcome
// of requests with keys of this process is unknown from then on.
var ErrNoSuccessor = errors.New("no successor took over")

// Keys holds the claims and tickets of the node; jwclaim.Keeper implements it.
type Keys interface {
	// Close rejects new keys. Calls in flight go on.
	Close()
	// SettleAll ends all calls in flight and returns how many of them may have run.
	SettleAll() int
	// Flush waits until all claims and releases are written to the store.
	Flush(ctx context.Context) error
	// Handover sends the tickets and answers to a successor. After an error it
	// may be called again with another one.
	Handover(ctx context.Context, s jwclaim.Successor) error
}

// Counts holds the number of calls in flight and the totals of one stop.
type Counts struct {
	InFlight        int // calls in flight now
	Rejected        int // calls rejected since the stop began
	Cut             int // calls still in flight when InFlightTimeout had passed or Run's ctx ended
	Unknown         int // those of SettleAll with a key that may have run
	Unflushed       int // 1 if claims or releases were still unwritten after FlushTimeout
	FailedHandovers int // successors that did not take over
}

// Drain counts the calls in flight and carries out the stop. The zero value
// admits calls; the exported fields must be set before Run.
type Drain struct {
	Keys Keys
	// Successors returns the nodes of the same region that may take over, in
	// order of preference, without those that are stopping. It is called once no
	// call is in flight.
	Successors func() []jwclaim.Successor
	// InFlightTimeout is the longest wait for calls in flight; 0 means no limit.
	// Calls cut off after it are counted, and the outcome of their keys is unknown.
	InFlightTimeout time.Duration
	FlushTimeout    time.Duration // longest wait for the store after the last call
	HandoverTimeout time.Duration // longest wait for one successor
	// Linger is how long the node still answers after the handover, so that
	// other nodes learn which node holds its keys now.
	Linger time.Duration
	// OnStateChange is called with each new state, in order; may be nil.
	OnStateChange func(State)

	mu     sync.Mutex
	state  State // empty for Serving
	counts Counts
	idle   chan struct{} // created when the stop begins, closed when no call is in flight
}

// State returns the progress of the stop.
func (d *Drain) State() State {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.current()
}

func (d *Drain) current() State {
	if d.state == "" {
		return Serving
	}
	return d.state
}

// Counts returns the current counts.
func (d *Drain) Counts() Counts {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.counts
}

// Enter registers one call. The caller calls done when the call has ended;
// calling it again has no effect. Once the stop has begun, ok is false and the
// call must be rejected and sent to another host.
func (d *Drain) Enter() (done func(), ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	// Check and increment under one lock. A call admitted between the two would
	// not be waited for: it would still run after the handover and be cut off by
	// the end of the process.
	if d.current() != Serving {
		d.counts.Rejected++
		return nil, false
	}
	d.counts.InFlight++
	return sync.OnceFunc(d.callDone), true
}

func (d *Drain) callDone() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counts.InFlight--
	if d.counts.InFlight == 0 && d.idle != nil {
		close(d.idle)
		d.idle = nil
	}
}

// Run carries out the stop and returns once the process may end. When ctx ends,
// calls in flight are cut off as after InFlightTimeout; the later steps are still
// taken, each with its own timeout. Run returns the first error: calls cut off,
// claims not written, or ErrNoSuccessor.
func (d *Drain) Run(ctx context.Context) error {
	idle, begun := d.stopAdmitting()
	if !begun {
		return errors.New("drain: stop has already begun")
	}
	d.Keys.Close()
	d.notify(Leaving)
	err := d.waitIdle(ctx, idle)
	if err != nil {
		// Cut off calls before the handover: the successor would not know of a
		// call that ended later and could run it again.
		d.cutCalls()
	}
	err = firstError(err, d.flush(context.WithoutCancel(ctx)))
	handoverErr := d.handOver(context.WithoutCancel(ctx))
	if handoverErr == nil {
		d.setState(HandedOver)
		sleep(ctx, orDefault(d.Linger, DefaultLinger))
	}
	d.setState(Gone)
	return firstError(err, handoverErr)
}

func firstError(a, b error) error {
	if a != nil {
		return a
	}
	return b
}

// stopAdmitting sets the state to Leaving. The channel is closed when no call is
// in flight. The second result is false if a stop had already begun.
func (d *Drain) stopAdmitting() (<-chan struct{}, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.current() != Serving {
		return nil, false
	}
	d.state = Leaving
	idle := make(chan struct{})
	if d.counts.InFlight == 0 {
		close(idle)
		return idle, true
	}
	d.idle = idle
	return idle, true
}

func (d *Drain) waitIdle(ctx context.Context, idle <-chan struct{}) error {
	var timeout <-chan time.Time
	if d.InFlightTimeout > 0 {
		t := time.NewTimer(d.InFlightTimeout)
		defer t.Stop()
		timeout = t.C
	}
	var cause error
	select {
	case <-idle:
		return nil
	case <-timeout:
		cause = errors.Errorf("calls still in flight after %v", d.InFlightTimeout)
	case <-ctx.Done():
		cause = ctx.Err()
	}
	return errors.Wrap(cause, "drain: calls cut off")
}

func (d *Drain) cutCalls() {
	lost := d.Keys.SettleAll()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counts.Cut = d.counts.InFlight
	d.counts.Unknown = lost
}

func (d *Drain) flush(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, orDefault(d.FlushTimeout, DefaultFlushTimeout))
	defer cancel()
	err := d.Keys.Flush(ctx)
	if err != nil {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.counts.Unflushed = 1
	}
	return errors.Wrap(err, "drain: write claims to the store")
}

// handOver tries the successors in order until one takes over.
func (d *Drain) handOver(ctx context.Context) error {
	lastErr := ErrNoSuccessor
	var successors []jwclaim.Successor
	if d.Successors != nil {
		successors = d.Successors()
	}
	for _, s := range successors {
		err := d.handOverTo(ctx, s)
		if err == nil {
			return nil
		}
		lastErr = errors.Wrapf(ErrNoSuccessor, "%v", err)
		d.mu.Lock()
		d.counts.FailedHandovers++
		d.mu.Unlock()
	}
	return errors.Wrap(lastErr, "drain")
}

func (d *Drain) handOverTo(ctx context.Context, s jwclaim.Successor) error {
	ctx, cancel := context.WithTimeout(ctx, orDefault(d.HandoverTimeout, DefaultHandoverTimeout))
	defer cancel()
	return d.Keys.Handover(ctx, s)
}

func (d *Drain) setState(s State) {
	d.mu.Lock()
	d.state = s
	d.mu.Unlock()
	d.notify(s)
}

func (d *Drain) notify(s State) {
	if d.OnStateChange != nil {
		d.OnStateChange(s)
	}
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return fallback
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
