package main

import (
	"os"

	"github.com/pkg/errors"

	"jujubewheel/io/jwbench"
)

// policiesCommand compares the node's policy with simple rules in a simulation.
type policiesCommand struct {
	Seed       []uint64 `help:"Seeds; 1, 2 and 3 if omitted."`
	Scenario   []string `help:"Scenarios by name; all if omitted."`
	Deployment []string `help:"Deployments by name; all if omitted."`
	Policy     []string `help:"Policies by name; all if omitted."`
	Ablations  bool     `help:"Also run the node's policy without each of its parts."`
	Plot       string   `type:"path" help:"Write a chart to this SVG file instead of printing tables."`
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
	Seed []uint64 `help:"Seeds; 1 if omitted."`
}

// Run runs the comparison in virtual time and prints a table.
func (c *subsetsCommand) Run() error {
	return jwbench.Subsets(os.Stdout, jwbench.Config{Seeds: c.Seed})
}
