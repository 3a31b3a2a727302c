package main

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"

	"jujubewheel/io/jwcommand"
	"jujubewheel/io/jwnode"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	p := &jwcommand.Program{
		Args:   os.Args[1:],
		Stdout: os.Stdout,
		Stderr: os.Stderr,
		Node:   node{},
		Demo:   demo{},
	}
	code := p.Run(ctx)
	stop()
	os.Exit(int(code))
}

// node runs a node with all its parts.
type node struct{}

// Run implements jwcommand.Runner.
func (node) Run(ctx context.Context, n jwcommand.Node) error {
	whole := &jwnode.Node{Settings: n.Settings, Log: n.Log, Meter: n.Meter, Audit: n.Audit}
	return whole.Run(ctx)
}

// demo runs the demo.
type demo struct{}

// Run implements jwcommand.Demo.
func (demo) Run(context.Context, io.Writer) error {
	return errors.New("the demo is not built in yet")
}
