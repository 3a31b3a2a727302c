package jwcommand

import (
	"context"

	"github.com/go-logr/logr"

	"jujubewheel/io/jwaudit"
	"jujubewheel/io/jwlog"
	"jujubewheel/io/jwmeter"
	"jujubewheel/io/jwsettings"
)

// Runner runs a node until ctx ends and its requests have finished.
type Runner interface {
	Run(ctx context.Context, n RunParams) error
}

// RunParams holds the settings and shared parts that a Runner uses. For a gateway,
// Log, Meter and Audit are unset; for a node, File and Verbose.
type RunParams struct {
	Settings *jwsettings.Settings
	File     string // from which the settings were read
	Verbose  int
	Log      logr.Logger
	Meter    *jwmeter.Meter
	Audit    *jwaudit.Trail
}

// serveCommand runs a node.
type serveCommand struct {
	File    string `arg:"" type:"path" env:"JUJUBEWHEEL_SETTINGS" help:"Settings file: JSON with comments."`
	Verbose int    `short:"v" type:"counter" help:"More log lines: once for those of libraries, twice for single requests."`
}

// Run runs the node.
func (c *serveCommand) Run(ctx context.Context, p *Program) error {
	s, err := loadSettings(c.File)
	if err != nil {
		return err
	}
	log := jwlog.New(p.Stderr, c.Verbose).WithValues("node", s.Node)
	jwlog.CaptureGRPC(log)
	if s.Gateway != nil {
		return p.Gateway.Run(ctx, RunParams{Settings: s, File: c.File, Verbose: c.Verbose})
	}
	meter := &jwmeter.Meter{Log: log.WithName("meter")}
	defer meter.Close()
	return p.Node.Run(ctx, RunParams{
		Settings: s,
		Log:      log,
		Meter:    meter,
		Audit:    &jwaudit.Trail{Node: s.Node, Log: log.WithName("audit")},
	})
}
