package jwtarget

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"
)

// LoadSource fetches the load reports of targets.
type LoadSource interface {
	// Load requests the load report of a target. It returns leaving as true if
	// the target announces that it is leaving.
	Load(ctx context.Context, addr netip.AddrPort) (load Load, leaving bool, err error)
}

// Poller periodically requests the load reports of the targets that this node
// uses and writes them to the table. Workers requests run at the same time.
type Poller struct {
	Table   *Table
	Source  LoadSource
	Period  time.Duration // min time between two requests to one target
	Timeout time.Duration // for one request
	Workers int
	Now     func() time.Time
	Leaving func(addr netip.AddrPort) // called when a target announces that it is leaving; may be nil
	// Busy reports whether this node has a high load of other work, so that it
	// polls less often; may be nil.
	Busy func() bool
}

// pollIntervalPerTarget is the time that each target in use adds to the time
// between two requests to one target. A report of 1 KB that takes 0.1 ms then
// costs a node about 7 KB/s and a thousandth of a core, however many targets it
// uses.
const pollIntervalPerTarget = 150 * time.Millisecond

// busyFactor is the factor by which a busy node lengthens its poll period where
// the number of targets determines that period.
const busyFactor = 3

func (p *Poller) period(n int) time.Duration {
	if p.Busy != nil && p.Busy() {
		n *= busyFactor
	}
	return PollPeriod(p.Period, n)
}

// PollPeriod returns the average time between two requests to one target, for a
// node that polls n targets; it is at least minPeriod.
func PollPeriod(minPeriod time.Duration, n int) time.Duration {
	return max(minPeriod, pollIntervalPerTarget*time.Duration(n))
}

// Run polls until ctx ends and returns the error of ctx.
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
		targets := p.Table.Polled()
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
	load.RequestedAt = requestedAt
	p.Table.Report(t.Address, load)
	if leaving {
		p.Table.MarkLeaving(t.Address, now, now)
		if p.Leaving != nil {
			p.Leaving(t.Address)
		}
	}
}
