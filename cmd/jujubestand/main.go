package main

import (
	"context"
	"encoding/json"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"

	"jujubewheel/io/jwstand"
)

type commands struct {
	KV      kvCommand      `cmd:"" help:"Key-value service (Consul HTTP API)."`
	Hosts   hostsCommand   `cmd:"" help:"List of hosts (Prometheus HTTP service discovery)."`
	Clients clientsCommand `cmd:"" help:"Client directory (SCIM 2.0)."`
	Runner  runnerCommand  `cmd:"" help:"Model engine."`
	Service serviceCommand `cmd:"" help:"Plain service that echoes each POST."`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var cmd commands
	k := kong.Parse(&cmd, kong.Description("Stand-ins for the platform and the targets."),
		kong.BindTo(ctx, (*context.Context)(nil)))
	k.FatalIfErrorf(k.Run())
}

// ports are the flags of every stand-in.
type ports struct {
	Address netip.AddrPort `default:"127.0.0.1:0" help:"Address to serve on; port 0 picks one."`
	Control netip.AddrPort `default:"127.0.0.1:0" help:"Address of the control port; port 0 picks one."`
}

func (p ports) run(ctx context.Context, kind string, program jwstand.Program) error {
	stand := &jwstand.Stand{Kind: kind, Address: p.Address, Control: p.Control, Program: program}
	if err := stand.Listen(); err != nil {
		return err
	}
	if err := json.NewEncoder(os.Stdout).Encode(stand.Ready()); err != nil {
		return errors.Wrap(err, "print addresses")
	}
	return stand.Run(ctx)
}

type kvCommand struct {
	ports
}

// Run serves the key-value service.
func (c *kvCommand) Run(ctx context.Context) error {
	return c.run(ctx, "kv", &jwstand.KeyValue{})
}

type hostsCommand struct {
	ports
	File string        `type:"existingfile" help:"JSON file with the first list."`
	Lag  time.Duration `help:"How long a change takes to be shown."`
}

// Run serves the list of hosts.
func (c *hostsCommand) Run(ctx context.Context) error {
	hosts := &jwstand.Hosts{Lag: c.Lag}
	var groups []jwstand.HostGroup
	if err := readFile(c.File, &groups); err != nil {
		return err
	}
	if c.File != "" {
		hosts.Set(groups)
	}
	return c.run(ctx, "hosts", hosts)
}

type clientsCommand struct {
	ports
	File string `type:"existingfile" help:"JSON file with the workspaces."`
}

// Run serves the client directory.
func (c *clientsCommand) Run(ctx context.Context) error {
	clients := &jwstand.Clients{}
	var list []jwstand.Client
	if err := readFile(c.File, &list); err != nil {
		return err
	}
	if c.File != "" {
		clients.Set(list)
	}
	return c.run(ctx, "clients", clients)
}

type runnerCommand struct {
	ports
	Slots       int           `default:"8" help:"Requests in one batch."`
	MaxWaiting  int           `default:"256" help:"Requests that may queue."`
	Token       time.Duration `default:"15ms" help:"Time of a token of a lone request."`
	Growth      float64       `default:"0.05" help:"Share of the token time that each further request adds."`
	Prefill     time.Duration `default:"200us" help:"Time of a prompt token that is not cached."`
	CacheTokens int           `default:"65536" help:"Prompt tokens that the prefix cache holds."`
	Lag         time.Duration `default:"1s" help:"Age of the load report."`
}

// Run serves a model engine.
func (c *runnerCommand) Run(ctx context.Context) error {
	return c.run(ctx, "runner", &jwstand.Runner{Engine: jwstand.Engine{
		Slots:       c.Slots,
		MaxWaiting:  c.MaxWaiting,
		Token:       c.Token,
		Growth:      c.Growth,
		Prefill:     c.Prefill,
		CacheTokens: c.CacheTokens,
		Lag:         c.Lag,
	}})
}

type serviceCommand struct {
	ports
	Work time.Duration `default:"5ms" help:"How long each call runs."`
}

// Run serves a plain service.
func (c *serviceCommand) Run(ctx context.Context) error {
	return c.run(ctx, "service", &jwstand.Service{Work: c.Work})
}

// readFile reads a JSON file into value; an empty name leaves it as it is.
func readFile(name string, value any) error {
	if name == "" {
		return nil
	}
	body, err := os.ReadFile(name)
	if err != nil {
		return errors.Wrap(err, "read list")
	}
	return errors.Wrapf(json.Unmarshal(body, value), "read list: %s", name)
}
