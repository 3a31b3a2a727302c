package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"jujubewheel/io/jwslope"
)

type slopesCommand struct {
	Part  []jwslope.Part `help:"Part to measure (exchange, revisions, transport, catalogue, claims, hosts, directory, loads); may be repeated, all by default."`
	Nodes []int          `help:"Sizes of the fleets; up to the target by default."`
	Warm  time.Duration  `default:"10s" help:"Time before a fleet is watched."`
	Watch time.Duration  `default:"10s" help:"Time for which it is watched."`
	JSON  bool           `name:"json" help:"Print the series as JSON."`
}

// Run measures and prints the series.
func (c *slopesCommand) Run(ctx context.Context) error {
	run := &jwslope.Run{
		Parts: c.Part, Nodes: c.Nodes, Warm: c.Warm, Watch: c.Watch,
		Log: func(line string) { _, _ = fmt.Fprintln(os.Stderr, line) },
	}
	if err := run.Run(ctx); err != nil {
		return err
	}
	if !c.JSON {
		return jwslope.WriteTable(os.Stdout, run.Series)
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(run.Series)
}
