package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"jujubewheel/io/jwcommand"
	"jujubewheel/io/jwdemo"
	"jujubewheel/io/jwnode"
)

func main() {
	// SIGHUP is caught from the start on, as it ends the process by default.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	p := &jwcommand.Program{
		Args:    os.Args[1:],
		Stdout:  os.Stdout,
		Stderr:  os.Stderr,
		Node:    node{},
		Gateway: gateway{hup: hup},
		Demo:    jwdemo.Demo{},
	}
	code := p.Run(ctx)
	stop()
	os.Exit(int(code))
}

// node runs a node that is configured without a gateway section.
type node struct{}

// Run implements jwcommand.Runner.
func (node) Run(ctx context.Context, n jwcommand.RunParams) error {
	server := &jwnode.Node{Settings: n.Settings, Log: n.Log, Meter: n.Meter, Audit: n.Audit}
	return server.Run(ctx)
}
