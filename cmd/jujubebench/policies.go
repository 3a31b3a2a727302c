package main

import (
	"os"

	"github.com/pkg/errors"

	"jujubewheel/io/jwbench"
)

// policiesCommand compares the node's policy with simple rules in a simulation.
type policiesCommand struct {
	Seed       []uint64 `help:"Seeds; three of them if left out."`
	Scenario   []string `help:"Scenarios by name; all if left out."`
	Deployment []string `help:"Deployments by name; all if left out."`
	Policy     []string `help:"Policies by name; all if left out."`
	Ablations  bool     `help:"Also the node's decisions without one part each."`
	Plot       string   `type:"path" help:"Draw the measures to this SVG file instead of printing tables."`
}

// Run runs the scenarios in virtual time and prints a table for each, or writes
// a chart if Plot is set.
func (c *policiesCommand) Run() error {
	cfg := jwbench.Config{
		Seeds: c.Seed, Scenarios: c.Scenario, Deployments: c.Deployment, Policies: c.Policy, Ablations: c.Ablations,
	}
	if c.Plot == "" {
		return jwbench.Policies(os.Stdout, cfg)
	}
	f, err := os.Create(c.Plot)
	if err != nil {
		return errors.Wrap(err, "plot")
	}
	if err := jwbench.Plot(f, cfg); err != nil {
		_ = f.Close()
		return err
	}
	return errors.Wrap(f.Close(), "plot")
}

// subsetsCommand compares sizes of the subset of targets that a node uses, and
// intervals at which it polls their load.
type subsetsCommand struct {
	Seed []uint64 `help:"Seeds; one if left out."`
}

// Run runs the comparison in virtual time and prints a table.
func (c *subsetsCommand) Run() error {
	return jwbench.Subsets(os.Stdout, jwbench.Config{Seeds: c.Seed})
}
