package main

import (
	"context"
	"encoding/json"
	"net/netip"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"
	"github.com/zeromicro/go-zero/core/logx"

	"jujubewheel/io/jwload"
	"jujubewheel/io/jwstand"
)

type commands struct {
	Load     loadCommand     `cmd:"" help:"Sends a load and reports latencies and outcomes."`
	Clients  clientsCommand  `cmd:"" help:"Prints the workspaces of a load for the client directory stand-in."`
	Policies policiesCommand `cmd:"" help:"Compares the decisions of a node with simple rules, in virtual time."`
	System   systemCommand   `cmd:"" help:"Measures nodes over sockets under load and faults."`
	Subsets  subsetsCommand  `cmd:"" help:"Compares numbers of targets that each node uses and intervals at which it polls their load."`
	Day      dayCommand      `cmd:"" help:"Draws a day's requests and node states from the logs of nodes, as SVG."`
}

func main() {
	logx.Disable()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var cmd commands
	k := kong.Parse(&cmd, kong.Description("Load and measurements."), kong.BindTo(ctx, (*context.Context)(nil)))
	k.FatalIfErrorf(k.Run())
}

type loadCommand struct {
	Mix        string             `default:"zaitoun" help:"Built-in mix (zaitoun, cladagh) or a JSON file."`
	Rate       float64            `default:"20" help:"Requests a second, however fast answers come."`
	Duration   time.Duration      `default:"30s" help:"How long to send."`
	Seed       uint64             `default:"1" help:"Seed of times, kinds, workspaces and bodies."`
	Host       []string           `help:"Node to send to, as IP:PORT or REGION=IP:PORT; may be repeated."`
	Region     map[string]float64 `help:"Share of a region's callers, as REGION=SHARE."`
	Workspaces int                `default:"100" help:"Workspaces in each region."`
	Bound      float64            `default:"0.12" help:"Share of workspaces whose data is bound to their region."`
	Swing      float64            `help:"How far a region's rate swings about its average, 0 to 1."`
	Day        time.Duration      `default:"1m" help:"Length of one swing; the regions' peaks are spread over it."`
	Again      float64            `help:"Share of requests with a key that are sent twice."`
	Journal    []string           `help:"Control port of a target whose runs are audited, as IP:PORT or REGION=IP:PORT."`
	Direct     []netip.AddrPort   `help:"Model engine for direct calls, which take half of the load; all of it without --host."`
	DirectTo   []netip.AddrPort   `name:"direct-service" help:"Plain service for direct calls."`
	Follow     bool               `default:"true" negatable:"" help:"Retry after the time in Retry-After and at the hosts that an answer names."`
	JSON       bool               `name:"json" help:"Print the report as JSON."`
}

// Run sends the load and prints the report.
func (c *loadCommand) Run(ctx context.Context) error {
	mix, err := readMix(c.Mix)
	if err != nil {
		return err
	}
	hosts, err := parseHosts(c.Host)
	if err != nil {
		return err
	}
	load := &jwload.Load{
		Schedule: jwload.Schedule{
			Mix:            mix,
			Regions:        regionShares(c.Region, hosts),
			Workspaces:     c.Workspaces,
			Bound:          c.Bound,
			Rate:           c.Rate,
			RateSwing:      c.Swing,
			Day:            c.Day,
			SendTwiceShare: c.Again,
			Direct:         directShare(len(c.Direct)+len(c.DirectTo) > 0, len(hosts) > 0),
			Seed:           c.Seed,
		},
		Duration:      c.Duration,
		Hosts:         hosts,
		Targets:       map[jwload.Target][]netip.AddrPort{jwload.Runner: c.Direct, jwload.Service: c.DirectTo},
		FollowRetries: c.Follow,
	}
	journals, err := parseHosts(c.Journal)
	if err != nil {
		return err
	}
	if err := load.Run(ctx); err != nil {
		return err
	}
	report := load.Report()
	if len(journals) > 0 {
		if report.Audit, err = load.Audit(ctx, journals); err != nil {
			return err
		}
	}
	if !c.JSON {
		return report.WriteTable(os.Stdout)
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(report)
}

// directShare returns the share of requests that are sent directly to targets
// instead of nodes.
func directShare(targets, nodes bool) float64 {
	switch {
	case !targets:
		return 0
	case !nodes:
		return 1
	default:
		return 0.5
	}
}

// readMix returns the built-in mix of that name or reads one from a JSON file.
func readMix(name string) (jwload.Mix, error) {
	if mix, found := jwload.Mixes[name]; found {
		return mix, nil
	}
	body, err := os.ReadFile(name)
	if err != nil {
		return jwload.Mix{}, errors.Wrap(err, "read mix")
	}
	return jwload.ParseMix(body)
}

// parseHosts parses texts of the form IP:PORT or REGION=IP:PORT and returns the
// hosts by region; the region of a host without one is empty.
func parseHosts(texts []string) (map[string][]netip.AddrPort, error) {
	hosts := make(map[string][]netip.AddrPort)
	for _, text := range texts {
		region, address, named := strings.Cut(text, "=")
		if !named {
			region, address = "", text
		}
		host, err := netip.ParseAddrPort(address)
		if err != nil {
			return nil, errors.Wrapf(err, "host %q", text)
		}
		hosts[region] = append(hosts[region], host)
	}
	return hosts, nil
}

// regionShares returns the regions with their shares of the load, sorted by
// name. Without shares it returns the regions of the hosts with equal shares.
func regionShares(shares map[string]float64, hosts map[string][]netip.AddrPort) []jwload.Region {
	var regions []jwload.Region
	for name, share := range shares {
		regions = append(regions, jwload.Region{Name: name, Share: share})
	}
	if len(shares) == 0 {
		for name := range hosts {
			regions = append(regions, jwload.Region{Name: name, Share: 1})
		}
	}
	slices.SortFunc(regions, func(a, b jwload.Region) int { return strings.Compare(a.Name, b.Name) })
	return regions
}

type clientsCommand struct {
	Region     []string `required:"" help:"Region; may be repeated."`
	Workspaces int      `default:"100" help:"Workspaces in each region."`
	Bound      float64  `default:"0.12" help:"Share of workspaces whose data is bound to their region."`
	Owner      string   `default:"load" help:"Owner of the workspaces."`
}

// Run prints the workspaces as JSON.
func (c *clientsCommand) Run() error {
	var clients []jwstand.Client
	for _, region := range c.Region {
		for n := range c.Workspaces {
			clients = append(clients, jwstand.Client{
				Name:   jwload.WorkspaceName(region, n),
				Region: region,
				Bound:  jwload.Bound(n, c.Bound),
				Owner:  c.Owner,
			})
		}
	}
	return json.NewEncoder(os.Stdout).Encode(clients)
}
