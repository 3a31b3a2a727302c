package jwslope

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// Part names a group of series that can be measured alone.
type Part string

// The parts.
const (
	Exchange  Part = "exchange"
	Revisions Part = "revisions"
	Transport Part = "transport"
	Catalogue Part = "catalogue"
	Claims    Part = "claims"
	HostList  Part = "hosts"
	Directory Part = "directory"
	Loads     Part = "loads"
)

// Parts are all parts in the order in which they are measured.
var Parts = []Part{Exchange, Revisions, Transport, Catalogue, Claims, HostList, Directory, Loads}

// Run measures slopes; set its fields first.
type Run struct {
	Parts  []Part        // empty for all
	Nodes  []int         // sizes of fleets, empty for those that end at the target
	Warm   time.Duration // before a fleet is watched
	Watch  time.Duration // how long a fleet or the claims are watched
	Log    func(string)  // told of each step; may be nil
	Series []Series      // what was measured
}

// Run measures the parts one after the other.
func (r *Run) Run(ctx context.Context) error {
	measure := map[Part]func(context.Context) error{
		Exchange: r.exchange, Revisions: r.revisions, Transport: r.transport, Catalogue: r.catalogue,
		Claims: r.claims, HostList: r.hosts, Directory: r.directory, Loads: r.loads,
	}
	for _, part := range Parts {
		if len(r.Parts) > 0 && !slices.Contains(r.Parts, part) {
			continue
		}
		if err := measure[part](ctx); err != nil {
			return errors.Wrapf(err, "measure %s", part)
		}
	}
	return nil
}

func (r *Run) log(format string, args ...any) {
	if r.Log != nil {
		r.Log(fmt.Sprintf(format, args...))
	}
}

// shape is a series without its points.
type shape struct {
	role           Role
	what, unit, by string
	size           float64
}

// sweep measures all shapes at each size; at returns one value for each.
func sweep[X int | float64](r *Run, sizes []X, shapes []shape, at func(x X) ([]float64, error)) error {
	series := make([]Series, len(shapes))
	for i, s := range shapes {
		series[i] = Series{Role: s.role, What: s.what, Unit: s.unit, By: s.by, Size: s.size}
	}
	for _, x := range sizes {
		values, err := at(x)
		if err != nil {
			return err
		}
		r.log("%s %v: %v", shapes[0].by, x, values)
		for i, v := range values {
			series[i].Points = append(series[i].Points, Point{float64(x), v})
		}
	}
	for i := range series {
		series[i].fit()
	}
	r.Series = append(r.Series, series...)
	return nil
}

// exchange measures quiet fleets: no node restarts, no change is made.
func (r *Run) exchange(context.Context) error {
	sizes := r.Nodes
	if len(sizes) == 0 {
		sizes = nodeSizes
	}
	return sweep(r, sizes, []shape{
		{Node, "exchange, messages", "1/s", "nodes", Nodes},
		{Node, "exchange, payload", "B/s", "nodes", Nodes},
		{Relay, "exchange, messages", "1/s", "nodes", Nodes},
		{Relay, "exchange, payload", "B/s", "nodes", Nodes},
		{Relay, "exchange, payload of the busiest", "B/s", "nodes", Nodes},
		{Node, "exchange, processor (mean, no transport)", "core", "nodes", Nodes},
		{Node, "exchange, state", "B", "nodes", Nodes},
		{Node, "peers heard of by their own word", "share", "nodes", Nodes},
	}, func(n int) ([]float64, error) {
		before := heap()
		f := newFleet(n)
		stop := f.run()
		time.Sleep(r.Warm)
		w := f.measure(r.Watch)
		stop()
		state := (heap() - before) / float64(n)
		return []float64{
			w.plainMessages, w.plainBytes, w.relayMessages, w.relayBytes, w.worstBytes, w.cpu, state, w.knownShare,
		}, nil
	})
}

// fleetOfRevisions is the size at which rates of changes are measured.
const fleetOfRevisions = 300

// revisions measures a fleet in which changes come into force.
func (r *Run) revisions(context.Context) error {
	f := newFleet(fleetOfRevisions)
	stop := f.run()
	defer stop()
	time.Sleep(r.Warm)
	revision := uint64(0)
	perMinute := float64(ChangesADay) / (secondsADay / 60)
	by := fmt.Sprintf("changes a minute, %d nodes", fleetOfRevisions)
	return sweep(r, append([]int{0}, changeRates...), []shape{
		{Node, "exchange with changes, payload", "B/s", by, perMinute},
		{Relay, "exchange with changes, payload", "B/s", by, perMinute},
		{Relay, "exchange with changes, messages", "1/s", by, perMinute},
		{Node, "exchange with changes, processor", "core", by, perMinute},
	}, func(rate int) ([]float64, error) {
		// A whole number of changes falls into the time that is watched.
		watch := r.Watch
		done := make(chan struct{})
		if rate > 0 {
			every := time.Minute / time.Duration(rate)
			watch = every * max(time.Duration(1), (r.Watch+every-1)/every)
			go func() {
				defer close(done)
				for range watch / every {
					revision++
					f.change(revision)
					time.Sleep(every)
				}
			}()
		} else {
			close(done)
		}
		w := f.measure(watch)
		<-done
		return []float64{w.plainBytes, w.relayBytes, w.relayMessages, w.cpu}, nil
	})
}

// transport measures what one exchange costs, and what gRPC adds to it.
func (r *Run) transport(ctx context.Context) error {
	err := sweep(r, nodeSizes, []shape{
		{Relay, "one exchange answered, no transport", "s", "nodes", Nodes},
	}, func(n int) ([]float64, error) {
		cpu, err := newFleet(n).answer()
		return []float64{cpu.Seconds()}, err
	})
	if err != nil {
		return err
	}
	return sweep(r, []int{0, 10, 30, 100, 300, Nodes}, []shape{
		{Node, "one exchange over gRPC, both sides", "s", "peers told each way", 0},
		{Node, "one exchange over gRPC, both ways", "B", "peers told each way", 0},
	}, func(n int) ([]float64, error) {
		a, err := exchangeOver(ctx, n)
		return []float64{a.cpu.Seconds(), a.bytes}, err
	})
}

func (r *Run) catalogue(ctx context.Context) error {
	err := sweep(r, changeRates, []shape{
		{Watcher, "calls of the service by one watcher", "calls", "changes", float64(ChangesADay)},
	}, func(n int) ([]float64, error) {
		c, err := watcherCalls(ctx, n)
		return []float64{c}, err
	})
	if err != nil {
		return err
	}
	return sweep(r, memberSizes, []shape{
		{Gatherer, "calls of the service for one change", "calls", "nodes of the region", 230},
		{Gatherer, "processor for one change", "s", "nodes of the region", 230},
	}, func(n int) ([]float64, error) {
		g, err := gather(ctx, n, 20)
		return []float64{g.calls, g.cpu.Seconds()}, err
	})
}

func (r *Run) claims(ctx context.Context) error {
	for _, keepers := range []int{1, 4} {
		by := fmt.Sprintf("keyed calls a second in a region, %d nodes", keepers)
		err := sweep(r, claimRates, []shape{
			{Claimer, "writes", "1/s", by, 100},
			{Claimer, "reads and waits", "1/s", by, 100},
			{Claimer, "writes lost to another node", "share", by, 100},
			{Claimer, "calls without a claim", "1/s", by, 100},
			{Claimer, "processor", "core", by, 100},
		}, func(rate int) ([]float64, error) {
			c, err := claim(ctx, keepers, rate, r.Watch/2)
			return []float64{c.writes, c.reads, c.lost, c.failed, c.cpu}, err
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func (r *Run) hosts(ctx context.Context) error {
	for what, changes := range map[string]bool{"unchanged": false, "changed": true} {
		err := sweep(r, runnerSizes, []shape{
			{Lists, "host list " + what + ", one read", "B", "runners", Runners},
			{Lists, "host list " + what + ", processor with the stand-in", "s", "runners", Runners},
			{Lists, "host list " + what + ", kept", "B", "runners", Runners},
		}, func(n int) ([]float64, error) {
			a, err := askHosts(ctx, n, changes)
			return []float64{a.bytes, a.cpu.Seconds(), a.heap}, err
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func (r *Run) directory(ctx context.Context) error {
	return sweep(r, workspaceSizes, []shape{
		{Lists, "directory whole, one read", "B", "workspaces", Workspaces},
		{Lists, "directory whole, processor with the stand-in", "s", "workspaces", Workspaces},
		{Lists, "directory, kept", "B", "workspaces", Workspaces},
		{Lists, "directory unchanged, one read", "B", "workspaces", Workspaces},
	}, func(n int) ([]float64, error) {
		whole, unchanged, err := askDirectory(ctx, n)
		return []float64{whole.bytes, whole.cpu.Seconds(), whole.heap, unchanged.bytes}, err
	})
}

func (r *Run) loads(ctx context.Context) error {
	err := sweep(r, reportSizes, []shape{
		{Target, "one load report", "B", "bytes of the report", 700},
		{Target, "one load report, both sides", "s", "bytes of the report", 700},
	}, func(size int) ([]float64, error) {
		a, err := askLoad(ctx, size)
		return []float64{a.bytes, a.cpu.Seconds()}, err
	})
	if err != nil {
		return err
	}
	return sweep(r, runnerSizes, []shape{
		{Target, "targets asked by one node, three services", "targets", "runners", Runners},
	}, func(n int) ([]float64, error) { return []float64{float64(polled(n))}, nil })
}
