package jwtarget

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"
)

// LoadSource asks a target for its load; leaving is the target's own word that
// it wants no new work.
type LoadSource interface {
	Load(ctx context.Context, addr netip.AddrPort) (load Load, leaving bool, err error)
}

// Poller asks the targets that this node uses for their load, with a few
// workers.
type Poller struct {
	Table   *Table
	Source  LoadSource
	Period  time.Duration // least time between two questions to one target
	Timeout time.Duration // for one answer
	Workers int
	Now     func() time.Time
	Leaving func(addr netip.AddrPort) // called when a target says that it leaves; may be nil
	// Busy tells that this node has much else to carry, and so asks less often;
	// may be nil.
	Busy func() bool
}

// pollIntervalPerTarget is how much longer each target makes the time between two questions
// to one. A report of a kilobyte that takes a tenth of a millisecond then costs
// a node about 7 KB/s and a thousandth of a core, however many targets it uses.
const pollIntervalPerTarget = 150 * time.Millisecond

// busyFactor is how much less often a busy node asks where the number of targets
// decides.
const busyFactor = 3

func (p *Poller) period(n int) time.Duration {
	if p.Busy != nil && p.Busy() {
		n *= busyFactor
	}
	return PollPeriod(p.Period, n)
}

// PollPeriod returns the time between two questions to one of n targets.
func PollPeriod(minPeriod time.Duration, n int) time.Duration {
	return max(minPeriod, pollIntervalPerTarget*time.Duration(n))
}

// Run asks until ctx ends; it returns the error of ctx.
func (p *Poller) Run(ctx context.Context) error {
	queue := make(chan Target)
	var wg sync.WaitGroup
	for range max(p.Workers, 1) {
		wg.Go(func() {
			for t := range queue {
				p.poll(ctx, t)
			}
		})
	}
	defer wg.Wait()
	defer close(queue)
	for {
		targets := p.Table.Used()
		rand.Shuffle(len(targets), func(i, k int) { targets[i], targets[k] = targets[k], targets[i] })
		period := p.period(len(targets))
		next := time.After(period/2 + time.Duration(rand.Int64N(int64(period))))
		for _, t := range targets {
			select {
			case queue <- t:
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		select {
		case <-next:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (p *Poller) poll(ctx context.Context, t Target) {
	ctx, cancel := context.WithTimeout(ctx, p.Timeout)
	defer cancel()
	requestedAt := p.Now()
	load, leaving, err := p.Source.Load(ctx, t.Address)
	now := p.Now()
	if err != nil {
		if ctx.Err() != context.Canceled {
			p.Table.Failed(t.Address, now)
		}
		return
	}
	load.Taken = requestedAt
	p.Table.Report(t.Address, load)
	if leaving {
		p.Table.MarkLeaving(t.Address, now, now)
		if p.Leaving != nil {
			p.Leaving(t.Address)
		}
	}
}
