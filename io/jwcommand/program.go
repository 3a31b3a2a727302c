package jwcommand

import (
	"context"
	"fmt"
	"io"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"

	"jujubewheel/io/jwrest"
)

// Program is one run of the command line; set its fields, then call Run.
type Program struct {
	Args    []string // without the program's name
	Stdout  io.Writer
	Stderr  io.Writer
	Node    Runner // run by serve
	Gateway Runner // run by serve if the settings are those of a gateway
	Demo    Demo
}

// Demo runs a small system in this process and writes what happens.
type Demo interface {
	Run(ctx context.Context, w io.Writer) error
}

// commands is the grammar of the command line.
type commands struct {
	Serve     serveCommand     `cmd:"" help:"Run a node until SIGTERM or SIGINT, then let its requests finish."`
	Check     checkCommand     `cmd:"" help:"Check settings files and name every fault with its line."`
	Hosts     hostsCommand     `cmd:"" help:"Show which hosts callers of a workspace should use."`
	Catalogue catalogueCommand `cmd:"" help:"Read and edit the catalogue."`
	Explain   explainCommand   `cmd:"" help:"Show what happened to a request or a catalogue revision, and why."`
	Demo      demoCommand      `cmd:"" help:"Run a small system of three regions in this process and show what it does."`
	Version   versionCommand   `cmd:"" help:"Show the version."`
}

// Run executes the command line and returns its exit code.
func (p *Program) Run(ctx context.Context) Exit {
	jwrest.DisableGoZeroDefaults()
	var cli commands
	exited := false
	parser, err := kong.New(&cli,
		kong.Name("jujubewheel"),
		kong.Description("A multi-region gateway for model engines and plain services.\n\n"+exitHelp),
		kong.Writers(p.Stdout, p.Stderr),
		kong.Exit(func(int) { exited = true }),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
		kong.BindTo(ctx, (*context.Context)(nil)),
		kong.Bind(p),
	)
	if err != nil {
		fmt.Fprintln(p.Stderr, "jujubewheel:", err)
		return Failed
	}
	command, err := parser.Parse(p.Args)
	if exited {
		return OK // --help has been shown
	}
	if err != nil {
		fmt.Fprintf(p.Stderr, "jujubewheel: %s (see --help)\n", err)
		return Usage
	}
	return p.report(command.Run())
}

// report prints an error that the output does not show yet and returns its exit
// code.
func (p *Program) report(err error) Exit {
	if err != nil && !errors.Is(err, errReported) {
		fmt.Fprintln(p.Stderr, "jujubewheel:", err)
	}
	return exitCodeOf(err)
}

// demoCommand runs the demo.
type demoCommand struct{}

// Run runs the demo.
func (*demoCommand) Run(ctx context.Context, p *Program) error {
	return p.Demo.Run(ctx, p.Stdout)
}
