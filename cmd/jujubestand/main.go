package main

import (
	"context"
	"encoding/json"
	"net/netip"
	"os"
	"os/signal"
	"strings"
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
	Link    linkCommand    `cmd:"" help:"TCP relays with delay, loss, cuts and silence."`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var cmd commands
	k := kong.Parse(&cmd, kong.Description("Stand-ins for the platform and the targets."),
		kong.BindTo(ctx, (*context.Context)(nil)))
	k.FatalIfErrorf(k.Run())
}

// ports holds the address flags that the stand-ins share.
type ports struct {
	Address netip.AddrPort `default:"127.0.0.1:0" help:"Address to serve on; port 0 picks one."`
	Control netip.AddrPort `default:"127.0.0.1:0" help:"Address of the control port; port 0 picks one."`
}

// run serves a stand-in until ctx ends; it prints its addresses once it listens.
func (p ports) run(ctx context.Context, kind string, program jwstand.Program) error {
	standIn := &jwstand.StandIn{Kind: kind, Address: p.Address, Control: p.Control, Program: program}
	if err := standIn.Listen(); err != nil {
		return err
	}
	if err := json.NewEncoder(os.Stdout).Encode(standIn.Ready()); err != nil {
		return errors.Wrap(err, "print addresses")
	}
	return standIn.Run(ctx)
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
	Lag  time.Duration `help:"Time until a change appears in the list."`
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
	Token       time.Duration `default:"15ms" help:"Time per token of a request that runs alone."`
	Growth      float64       `default:"0.05" help:"Share of the token time that each further request adds."`
	Prefill     time.Duration `default:"200us" help:"Time per prompt token that is not cached."`
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

type linkCommand struct {
	Links   []string       `arg:"" name:"link" help:"NAME=LISTEN,DIAL, such as ab=127.0.0.1:0,127.0.0.1:8080."`
	Control netip.AddrPort `default:"127.0.0.1:0" help:"Address of the control port; port 0 picks one."`
	Delay   time.Duration  `help:"One-way delay."`
	Jitter  time.Duration  `help:"Maximum time added to the delay."`
	Loss    float64        `help:"Share of chunks that are delayed as after a lost segment."`
	Rate    int64          `help:"Bytes a second each way; 0 for no limit."`
	Seed    uint64         `default:"1" help:"Seed of jitter and loss."`
}

// Run relays between the given addresses.
func (c *linkCommand) Run(ctx context.Context) error {
	conditions := jwstand.Conditions{
		Delay:  jwstand.Duration(c.Delay),
		Jitter: jwstand.Duration(c.Jitter),
		Loss:   c.Loss,
		Rate:   c.Rate,
	}
	links := &jwstand.Links{Control: c.Control}
	for i, text := range c.Links {
		link, err := parseLink(text)
		if err != nil {
			return err
		}
		link.Seed = c.Seed + uint64(i)
		link.SetConditions(conditions)
		links.Links = append(links.Links, link)
	}
	if err := links.Open(); err != nil {
		return err
	}
	if err := json.NewEncoder(os.Stdout).Encode(links.Ready()); err != nil {
		return errors.Wrap(err, "print addresses")
	}
	return links.Run(ctx)
}

// parseLink parses a link of the form NAME=LISTEN,DIAL.
func parseLink(text string) (*jwstand.Link, error) {
	name, addresses, named := strings.Cut(text, "=")
	listenText, dialText, paired := strings.Cut(addresses, ",")
	if !named || !paired {
		return nil, errors.Errorf("link %q is not NAME=LISTEN,DIAL", text)
	}
	listen, err := netip.ParseAddrPort(listenText)
	if err != nil {
		return nil, errors.Wrapf(err, "link %s", name)
	}
	dial, err := netip.ParseAddrPort(dialText)
	return &jwstand.Link{Name: name, Listen: listen, Dial: dial}, errors.Wrapf(err, "link %s", name)
}

// readFile decodes a JSON file into value; if name is empty, value is unchanged.
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
