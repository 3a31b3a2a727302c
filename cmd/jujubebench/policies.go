package main

import (
	"os"

	"jujubewheel/io/jwbench"
)

// policiesCommand compares the node's decisions with simple rules.
type policiesCommand struct {
	Seed       []uint64 `help:"Seeds; three of them if left out."`
	Scenario   []string `help:"Scenarios by name; all if left out."`
	Deployment []string `help:"Deployments by name; all if left out."`
	Policy     []string `help:"Policies by name; all if left out."`
	Ablations  bool     `help:"Also the node's decisions without one part each."`
}

// Run runs the scenarios in virtual time and prints a table for each.
func (c *policiesCommand) Run() error {
	return jwbench.Policies(os.Stdout, jwbench.Config{
		Seeds: c.Seed, Scenarios: c.Scenario, Deployments: c.Deployment, Policies: c.Policy, Ablations: c.Ablations,
	})
}
