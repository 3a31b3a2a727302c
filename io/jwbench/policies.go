package jwbench

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
)

// Config selects what Policies, Plot and Subsets run; the zero value selects
// everything but the ablations, with the default seeds.
type Config struct {
	Seeds       []uint64
	Scenarios   []string // names, empty for all
	Deployments []string // names, empty for all
	Policies    []string // names, empty for all
	Ablations   bool     // also run the project's policy without each of its parts
}

// defaultSeeds are used if Config.Seeds is empty.
var defaultSeeds = []uint64{1, 2, 3}

// Policies runs the scenarios with every selected policy and writes one table
// for each deployment and scenario. Times are in seconds, shares in percent, and
// the cost is in runner-seconds for each answer that came in time. It returns an
// error if no deployment and scenario has the given names.
func Policies(w io.Writer, cfg Config) error {
	seeds := cfg.Seeds
	if len(seeds) == 0 {
		seeds = defaultSeeds
	}
	fmt.Fprintf(w, "seeds %v; a model with simulated runners, no fleet\n", seeds)
	tables := 0
	for _, d := range deployments() {
		for _, s := range scenarios() {
			if !matchesName(cfg.Deployments, d.Name) || !matchesName(cfg.Scenarios, s.Name) {
				continue
			}
			tables++
			if err := writeTable(w, d, s, cfg.policies(), seeds); err != nil {
				return errors.Wrapf(err, "table: %s", s.Name)
			}
		}
	}
	if tables == 0 {
		return errors.Errorf("no scenario is named %s", strings.Join(cfg.Scenarios, ", "))
	}
	return nil
}

func matchesName(list []string, name string) bool {
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
	all := append([]policy{projectPolicy}, baselines...)
	if c.Ablations {
		all = append(all, ablations...)
	}
	var out []policy
	for _, p := range all {
		if matchesName(c.Policies, p.name) {
			out = append(out, p)
		}
	}
	return out
}

// Subsets compares sizes of the subset of targets that each node uses, and
// intervals at which it polls their load, in a region of 250 model runners and
// 75 nodes. The load is nine tenths of the capacity. Config.Seeds alone is used.
func Subsets(w io.Writer, cfg Config) error {
	seeds := cfg.Seeds
	if len(seeds) == 0 {
		seeds = defaultSeeds[:1]
	}
	d := deployments()[1]
	d.Regions = []Region{{Name: "large", Nodes: 75, WriterRunners: 250, DeskRunners: 60, Workspaces: 2900}}
	s := Scenario{Name: "subsets", Load: constantLoad(0.9), MaxLoad: 0.9, WarmUp: 20 * time.Second, RunTime: 80 * time.Second}
	fmt.Fprintf(w, "seeds %v; a model with simulated runners, no fleet\n", seeds)
	var policies []policy
	for _, n := range []int{4, 8, 16, 32, 64, -1} {
		policies = append(policies, policy{name: fmt.Sprintf("subset%d", n), subsetSize: n})
	}
	for _, n := range []int{8, 16} {
		for _, report := range []time.Duration{3 * time.Second, 6 * time.Second} {
			policies = append(policies, policy{name: fmt.Sprintf("subset%d/%v", n, report), subsetSize: n, loadInterval: report})
		}
	}
	policies = append(policies, policy{name: "subset16/anyNode", subsetSize: 16, anyNode: true})
	policies = append(policies, policy{name: "random", choose: chooseRandom, subsetSize: -1})
	return errors.Wrap(writeTable(w, d, s, policies, seeds), "table: subsets")
}

// writeTable runs one scenario with each policy and writes a line for each.
func writeTable(w io.Writer, d Deployment, s Scenario, policies []policy, seeds []uint64) error {
	fmt.Fprintf(w, "\n%s %s\n", d.Name, s.Name)
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "policy\tcost\taway\tinTime\tlate\tnotRun\ttaken\tfair\tcrashes\tfirst50\t95\t99\t99.9\tdraft50\t95\t99\t99.9\tquick50\t95\t99\t99.9\t")
	for _, p := range policies {
		sum := newResult()
		for _, seed := range seeds {
			sum.add(runScenario(d, s, p, seed))
		}
		fmt.Fprintf(tw, "%s\t%.3f\t%.1f\t%.1f\t%.1f\t%.1f\t%.0f\t%.3f\t%d\t%s\t%s\t%s\t\n",
			p.name, sum.CostPerAnswer(), sum.percent(sum.Away), sum.percent(sum.InTime), sum.percent(sum.Late),
			sum.percent(sum.NotRun), 100*float64(sum.RetriesAdmitted)/float64(max(sum.Retries, 1)), sum.Fairness(), sum.Crashes,
			quantiles(sum.FirstTokenTimes), quantiles(sum.DraftTimes), quantiles(sum.ShortTimes))
	}
	return tw.Flush()
}

// quantiles returns the quantiles of a histogram in seconds, as table cells.
func quantiles(h *hdrhistogram.Histogram) string {
	var out []string
	for _, q := range []float64{50, 95, 99, 99.9} {
		out = append(out, fmt.Sprintf("%.2f", float64(h.ValueAtQuantile(q))/1e6))
	}
	return strings.Join(out, "\t")
}
