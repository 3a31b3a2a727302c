package jwbench

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
)

// Config says what Policies runs; the zero value runs everything with the
// default seeds.
type Config struct {
	Seeds       []uint64
	Scenarios   []string // names, empty for all
	Deployments []string // names, empty for all
	Policies    []string // names, empty for all
	Ablations   bool     // also the project's policy without one part each
}

// defaultSeeds are used where a Config names none.
var defaultSeeds = []uint64{1, 2, 3}

// Policies runs the scenarios with every policy and writes one table for each
// deployment and scenario. Times are in seconds, shares in percent, and the
// cost is in runner-seconds for one answer in time.
func Policies(w io.Writer, cfg Config) error {
	seeds := cfg.Seeds
	if len(seeds) == 0 {
		seeds = defaultSeeds
	}
	fmt.Fprintf(w, "seeds %v; a model with fake runners, no fleet\n", seeds)
	ran := 0
	for _, d := range deployments() {
		for _, s := range scenarios() {
			if !named(cfg.Deployments, d.Name) || !named(cfg.Scenarios, s.Name) {
				continue
			}
			ran++
			if err := table(w, d, s, cfg.policies(), seeds); err != nil {
				return errors.Wrapf(err, "table: %s", s.Name)
			}
		}
	}
	if ran == 0 {
		return errors.Errorf("no scenario is named %s", strings.Join(cfg.Scenarios, ", "))
	}
	return nil
}

func named(list []string, name string) bool {
	if len(list) == 0 {
		return true
	}
	for _, s := range list {
		if s == name {
			return true
		}
	}
	return false
}

func (c Config) policies() []policy {
	all := append([]policy{ours}, baselines...)
	if c.Ablations {
		all = append(all, ablations...)
	}
	var out []policy
	for _, p := range all {
		if named(c.Policies, p.name) {
			out = append(out, p)
		}
	}
	return out
}

// table writes the results of one scenario, a line for each policy.
func table(w io.Writer, d Deployment, s Scenario, policies []policy, seeds []uint64) error {
	fmt.Fprintf(w, "\n%s %s\n", d.Name, s.Name)
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "policy\tcost\taway\tinTime\tlate\tnotRun\ttaken\tfair\tcrashes\tfirst50\t95\t99\t99.9\tdraft50\t95\t99\t99.9\tquick50\t95\t99\t99.9\t")
	for _, p := range policies {
		sum := newResult()
		for _, seed := range seeds {
			sum.add(run(d, s, p, seed))
		}
		fmt.Fprintf(tw, "%s\t%.3f\t%.1f\t%.1f\t%.1f\t%.1f\t%.0f\t%.3f\t%d\t%s\t%s\t%s\t\n",
			p.name, sum.CostEach(), sum.share(sum.Away), sum.share(sum.InTime), sum.share(sum.Late),
			sum.share(sum.NotRun), 100*float64(sum.Taken)/float64(max(sum.Told, 1)), sum.Fairness(), sum.Crashes,
			quantiles(sum.First), quantiles(sum.Drafts), quantiles(sum.Quick))
	}
	return tw.Flush()
}

// quantiles writes the quantiles of a histogram in seconds.
func quantiles(h *hdrhistogram.Histogram) string {
	var out []string
	for _, q := range []float64{50, 95, 99, 99.9} {
		out = append(out, fmt.Sprintf("%.2f", float64(h.ValueAtQuantile(q))/1e6))
	}
	return strings.Join(out, "\t")
}
