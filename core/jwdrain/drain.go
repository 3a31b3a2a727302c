package jwdrain

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"jujubewheel/core/jwclaim"
)

// State tells how far a node's stop is.
type State string

// The states of a stop.
const (
	Serving    State = "serving"
	Leaving    State = "leaving"    // admits nothing new, finishes what runs
	HandedOver State = "handedOver" // a successor answers for its keys
	Gone       State = "gone"       // nothing is left to do
)

// Defaults of a Drain.
const (
	DefaultFlush    = 10 * time.Second
	DefaultHandover = 10 * time.Second
	DefaultLinger   = 5 * time.Second
)

// ErrNoSuccessor says that no node took the keys over: those of this process
// are unknown from now on.
var ErrNoSuccessor = errors.New("no successor took over")

// Keys is what a Drain needs of the keeper of claims and tickets.
type Keys interface {
	Close()
	Cut() int
	Flush(ctx context.Context) error
	Handover(ctx context.Context, s jwclaim.Successor) error
}

// Counts are totals of one stop.
type Counts struct {
	InFlight  int // calls that run now
	Turned    int // calls turned away since the stop began
	Cut       int // calls still in flight when Limit had passed or Run's ctx ended
	Lost      int // of these, calls with a key that may have run
	Unflushed int // 1 if claims or releases were still unwritten after Flush
	Failed    int // successors that did not take over
}

// Drain counts the work in flight and carries out the stop. Its zero value
// admits; set the fields before Run.
type Drain struct {
	Keys Keys
	// Successors returns the nodes of the same region that may take over, best
	// first; leaving ones left out. It is asked once nothing is in flight.
	Successors func() []jwclaim.Successor
	// Limit is the longest wait for calls in flight; 0 waits without end. What
	// it cuts is counted, and its keys are unknown.
	Limit    time.Duration
	Flush    time.Duration // longest wait for the store after the last call
	Handover time.Duration // longest wait for one successor
	// Linger is how long the node still answers after the handover, so that
	// others learn where its keys are now.
	Linger time.Duration
	// Changed is told each new state, in order; may be nil.
	Changed func(State)

	mu     sync.Mutex
	state  State
	counts Counts
	idle   chan struct{} // made by the stop, closed when nothing is in flight
}

// State returns how far the stop is.
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

// Counts returns the totals so far.
func (d *Drain) Counts() Counts {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.counts
}

// Enter counts one call in; done is to be called once when it has ended, and
// may be called again without effect. It is false once the node is leaving:
// the call has to be turned away to another host.
func (d *Drain) Enter() (done func(), ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	// The test and the count are one step under the lock. A call admitted
	// between the two would run on after the handover, unseen by the stop, and
	// be cut off by the end of the process.
	if d.current() != Serving {
		d.counts.Turned++
		return nil, false
	}
	d.counts.InFlight++
	return sync.OnceFunc(d.leave), true
}

func (d *Drain) leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counts.InFlight--
	if d.counts.InFlight == 0 && d.idle != nil {
		close(d.idle)
		d.idle = nil
	}
}

// Run carries out the stop and returns once the process may end. The end of
// ctx cuts off the calls in flight as Limit does; the steps after it are still
// taken, each within its own limit. The error says what was left undone.
func (d *Drain) Run(ctx context.Context) error {
	idle, first := d.stopAdmitting()
	if !first {
		return errors.New("drain: stop already under way")
	}
	d.Keys.Close()
	d.changed(Leaving)
	err := d.waitIdle(ctx, idle)
	if err != nil {
		// A call that ended after the handover would be unknown to the successor,
		// which could run it again. What is cut ends here, before the handover.
		d.cut()
	}
	err = firstOf(err, d.flush(context.WithoutCancel(ctx)))
	handed := d.handOver(context.WithoutCancel(ctx))
	if handed == nil {
		d.finish(HandedOver)
		pause(ctx, orDefault(d.Linger, DefaultLinger))
	}
	d.finish(Gone)
	return firstOf(err, handed)
}

func firstOf(a, b error) error {
	if a != nil {
		return a
	}
	return b
}

// stopAdmitting turns the node to leaving; the channel closes when nothing is
// in flight any more.
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
	var limit <-chan time.Time
	if d.Limit > 0 {
		t := time.NewTimer(d.Limit)
		defer t.Stop()
		limit = t.C
	}
	var cause error
	select {
	case <-idle:
		return nil
	case <-limit:
		cause = errors.Errorf("limit of %v passed", d.Limit)
	case <-ctx.Done():
		cause = ctx.Err()
	}
	return errors.Wrap(cause, "drain: calls cut off")
}

func (d *Drain) cut() {
	lost := d.Keys.Cut()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counts.Cut = d.counts.InFlight
	d.counts.Lost = lost
}

func (d *Drain) flush(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, orDefault(d.Flush, DefaultFlush))
	defer cancel()
	err := d.Keys.Flush(ctx)
	if err != nil {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.counts.Unflushed = 1
	}
	return errors.Wrap(err, "drain")
}

// handOver tries the successors in turn until one takes over.
func (d *Drain) handOver(ctx context.Context) error {
	last := ErrNoSuccessor
	var successors []jwclaim.Successor
	if d.Successors != nil {
		successors = d.Successors()
	}
	for _, s := range successors {
		err := d.handTo(ctx, s)
		if err == nil {
			return nil
		}
		last = errors.Wrapf(ErrNoSuccessor, "%v", err)
		d.mu.Lock()
		d.counts.Failed++
		d.mu.Unlock()
	}
	return errors.Wrap(last, "drain")
}

func (d *Drain) handTo(ctx context.Context, s jwclaim.Successor) error {
	ctx, cancel := context.WithTimeout(ctx, orDefault(d.Handover, DefaultHandover))
	defer cancel()
	return d.Keys.Handover(ctx, s)
}

func (d *Drain) finish(s State) {
	d.mu.Lock()
	d.state = s
	d.mu.Unlock()
	d.changed(s)
}

func (d *Drain) changed(s State) {
	if d.Changed != nil {
		d.Changed(s)
	}
}

func orDefault(t, other time.Duration) time.Duration {
	if t > 0 {
		return t
	}
	return other
}

func pause(ctx context.Context, t time.Duration) {
	timer := time.NewTimer(t)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
