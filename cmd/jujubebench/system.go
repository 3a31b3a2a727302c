package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/pkg/errors"

	"jujubewheel/io/jwfleet"
)

// systemCommand measures nodes over sockets, with stand-ins for the platform and
// the targets.
type systemCommand struct {
	Deployment []string        `default:"zaitoun,cladagh" help:"Deployments by name."`
	Load       []float64       `default:"0.8,1.3,2" help:"Shares of the capacity of the model runners."`
	Fault      []jwfleet.Fault `default:"none" help:"none, loss, keyValueDown, poorLinks, slowRunner, poison, burst or all."`
	Length     time.Duration   `default:"20s" help:"Length of the counted part of each trial."`
	Seed       uint64          `default:"1" help:"Seed of the load."`
	JSON       bool            `name:"json" help:"Print one JSON object for each trial."`
}

// Run runs one trial after the other and prints the result of each.
func (c *systemCommand) Run(ctx context.Context) error {
	faults := c.Fault
	if len(faults) == 1 && faults[0] == "all" {
		faults = jwfleet.Faults
	}
	for _, name := range c.Deployment {
		deployment, known := jwfleet.Deployments[name]
		if !known {
			return errors.Errorf("unknown deployment %q", name)
		}
		for _, load := range c.Load {
			for _, fault := range faults {
				t := &jwfleet.Trial{Deployment: deployment, Load: load, Fault: fault, Duration: c.Length, Seed: c.Seed}
				if err := c.run(ctx, t); err != nil {
					return errors.Wrapf(err, "trial: %s, load %v, fault %s", name, load, fault)
				}
			}
		}
	}
	return nil
}

// run runs a trial and prints its result.
func (c *systemCommand) run(ctx context.Context, t *jwfleet.Trial) error {
	result, err := t.Run(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(result)
	}
	if err := result.Write(os.Stdout); err != nil {
		return err
	}
	_, err = fmt.Println()
	return err
}
