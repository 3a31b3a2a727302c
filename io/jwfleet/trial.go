package jwfleet

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"jujubewheel/io/jwload"
	"jujubewheel/io/jwmeter"
	"jujubewheel/io/jwrest"
	"jujubewheel/io/jwstand"
)

// Trial is one run of a deployment under a load and a fault.
type Trial struct {
	Deployment Deployment    // the system to run
	Load       float64       // share of Deployment.Capacity
	Fault      Fault         // empty means None
	Duration   time.Duration // length of the measured part
	Seed       uint64        // seed of the load

	bursts   []jwload.Line
	poisoned int
}

// maxWarmUp is the maximum length of the load before the measured part.
const maxWarmUp = 5 * time.Second

// warmUp returns the length of the load before the measured part.
func (t *Trial) warmUp() time.Duration { return min(maxWarmUp, t.Duration/3) }

// counterLag is the maximum time by which the counters of nodes lag behind.
const counterLag = 2*time.Second + 2*meterInterval

// Run starts the system, sends the load and returns the measurements.
func (t *Trial) Run(ctx context.Context) (Result, error) {
	jwrest.DisableGoZeroDefaults()
	f, err := start(ctx, t.Deployment)
	if err != nil {
		return Result{}, errors.Wrap(err, "start")
	}
	result, err := t.measure(ctx, f)
	if closeErr := f.close(); err == nil {
		err = closeErr
	}
	return result, err
}

// measure sends the load, applies the fault and collects the results.
func (t *Trial) measure(ctx context.Context, f *fleet) (Result, error) {
	operator := newOperator()
	defer operator.close()
	if err := operator.prepareFleet(ctx, f); err != nil {
		return Result{}, err
	}
	before := f.engineTotals()
	load := t.load(f)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return load.Run(ctx) })
	group.Go(func() error { return errors.Wrapf(t.inject(ctx, f), "fault %s", t.Fault) })
	if err := group.Wait(); err != nil {
		return Result{}, err
	}
	time.Sleep(counterLag)
	report := load.Report()
	var err error
	if report.Audit, err = load.Audit(context.WithoutCancel(ctx), f.journals); err != nil {
		return Result{}, err
	}
	return t.result(f, report, before), nil
}

// load returns the main load of the trial.
func (t *Trial) load(f *fleet) *jwload.Load {
	var regions []jwload.Region
	for _, name := range f.Regions {
		regions = append(regions, jwload.Region{Name: name, Share: 1})
	}
	return &jwload.Load{
		Schedule: jwload.Schedule{
			Mix: f.Mix, Regions: regions, Workspaces: workspacesPerRegion, Bound: boundShare,
			Rate: t.Load * f.Capacity(), SendTwiceShare: sendTwiceShare, Seed: t.Seed,
		},
		Duration:      t.warmUp() + t.Duration,
		WarmUp:        t.warmUp(),
		Hosts:         f.callerAddresses(),
		FollowRetries: true,
	}
}

// sendTwiceShare is the share of requests with an idempotency key that are sent
// twice, as by a user who reloads a page that hangs.
const sendTwiceShare = 0.1

// result combines the measurements of callers, targets and nodes.
func (t *Trial) result(f *fleet, report jwload.Report, before jwstand.Totals) Result {
	r := Result{
		Deployment: f.Name, Load: t.Load, Fault: t.Fault, Seed: t.Seed, Rate: t.Load * f.Capacity(),
		Report: report, Bursts: t.bursts, Poisoned: t.poisoned,
		Tries:       f.sumCounter("tries_total", jwmeter.Tags{"kind": "first"}),
		Retries:     f.sumCounter("tries_total", jwmeter.Tags{"kind": "retry"}),
		OverBudget:  f.sumCounter("tries_total", jwmeter.Tags{"kind": "overBudget"}),
		LinkBytes:   f.sumCounter("sent_away_bytes_total", nil),
		LinkPrice:   f.sumCounter("sent_away_cost_nanos_total", nil) / 1e9,
		Nodes:       len(f.Regions) * nodesPerRegion,
		ReasonsSeen: f.countReasons(),
	}
	after := f.engineTotals()
	r.Generated = after.Generated - before.Generated
	r.Saved = int64(after.Requested-before.Requested) - int64(r.Generated)
	r.RunnerSeconds = (after.SlotTime - before.SlotTime).Seconds() / runnerSlots
	r.Cached = float64(after.CachedTokens-before.CachedTokens) / max(float64(after.PromptTokens-before.PromptTokens), 1)
	sentAway := f.sumCounter("sent_away_total", nil)
	inTime := 0.0
	for _, l := range report.Lines {
		if l.Entry != "" {
			inTime += float64(l.InTime)
		}
	}
	// The work includes the warm-up, but the answers in time do not.
	workRatio := (t.warmUp() + t.Duration).Seconds() / t.Duration.Seconds()
	r.Cost = (r.RunnerSeconds + f.SentAwayCost*sentAway) / max(inTime*workRatio, 1)
	return r
}
